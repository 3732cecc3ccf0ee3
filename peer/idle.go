package peer

import "time"

// watchIdle starts the timer that closes the connection when it is idle.
func (c *clientConn) watchIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = time.AfterFunc(c.cfg.Limits.Idle/2, c.retireIfIdle)
}

// retireIfIdle closes the connection if it is idle, and otherwise resets the
// timer.
func (c *clientConn) retireIfIdle() {
	limit := c.cfg.Limits.Idle / 2
	c.mu.Lock()
	if c.retired {
		c.mu.Unlock()
		return
	}
	rest := limit - time.Since(c.lastUsed)
	if rest > 0 || len(c.pending) > 0 {
		c.idle.Reset(max(rest, limit/4))
		c.mu.Unlock()
		return
	}
	c.retired = true
	c.mu.Unlock()
	c.stream.closeAfterWrites()
}
