package peer

import "time"

// startIdleTimer starts the timer that closes the connection when it is idle.
func (c *clientConn) startIdleTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleTimer = time.AfterFunc(c.cfg.Limits.Idle/2, c.closeIfIdle)
}

// closeIfIdle closes the connection if it is idle, and otherwise resets the
// timer.
func (c *clientConn) closeIfIdle() {
	limit := c.cfg.Limits.Idle / 2
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return
	}
	rest := limit - time.Since(c.lastUsed)
	if rest > 0 || len(c.pending) > 0 {
		c.idleTimer.Reset(max(rest, limit/4))
		c.mu.Unlock()
		return
	}
	c.closing = true
	c.mu.Unlock()
	c.stream.closeAfterWrites()
}
