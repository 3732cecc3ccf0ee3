package connlimit

import (
	"bytes"
	"container/list"
	"fmt"
	"net"
	"time"
)

// ExceededError reports a head for which the memory of all connections does not suffice.
type ExceededError struct {
	// Bytes is the memory that the head would take.
	Bytes int64
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("memory of connections exceeded: %d bytes for a request head", e.Bytes)
}

// conn is a connection that a guard bounds.
type conn struct {
	net.Conn
	guard *Guard

	// The fields below are guarded by guard.mu. queued is the place in the queue of the phase, nil in other phases.
	phase  phase
	since  time.Time
	queued *list.Element
	// held is the memory of the connection and of the head of its request, in bytes.
	held int64
	// headRead means that the head of the present request was read. Its body is not charged here.
	headRead bool
}

// enter changes the phase. The caller holds guard.mu.
func (c *conn) enter(p phase) {
	if c.queued != nil {
		c.guard.queues[c.phase].Remove(c.queued)
		c.queued = nil
	}
	c.phase, c.since = p, time.Now()
	if p < passedOn {
		c.queued = c.guard.queues[p].PushBack(c)
	}
}

// leave removes the connection from the guard. The caller holds guard.mu.
func (c *conn) leave() {
	if c.phase == closed {
		return
	}
	c.enter(closed)
	c.guard.open--
	c.guard.used -= c.held
	c.held = 0
}

// restart records that the last request has ended, and releases the memory of its head.
func (c *conn) restart() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase == closed {
		return
	}
	g.used -= c.held - connectionBytes
	c.held = connectionBytes
	c.headRead = false
	c.enter(idle)
}

// endHead records that the head of a request was read.
func (c *conn) endHead() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.headRead = true
}

// passOn records that the request is passed on.
func (c *conn) passOn() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.phase != closed {
		c.enter(passedOn)
	}
}

// Read implements net.Conn. It charges what is read of heads. The error is an
// *ExceededError if there is no memory for it, else that of the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.charge(p[:n]) {
		_ = c.Conn.Close()
		return 0, &ExceededError{Bytes: headBytes(p[:n])}
	}
	return n, err
}

// headBytes returns the memory that the part of a head takes with which what was read begins.
func headBytes(read []byte) int64 {
	head := read
	for _, end := range []string{"\r\n\r\n", "\n\n"} {
		if i := bytes.Index(head, []byte(end)); i >= 0 {
			head = head[:i]
		}
	}
	return headFactor*int64(len(head)) + lineBytes*int64(bytes.Count(head, []byte{'\n'}))
}

// charge charges a part of a head. It returns false if there is no memory for it.
func (c *conn) charge(part []byte) bool {
	g := c.guard
	g.mu.Lock()
	if c.phase == passedOn || c.headRead {
		g.mu.Unlock()
		return true
	}
	if c.phase == idle {
		c.enter(waiting)
	}
	need := headBytes(part)
	victims, ok := g.makeRoom(0, need, c)
	if ok = ok && c.phase != closed; ok {
		g.used += need
		c.held += need
	}
	g.mu.Unlock()
	g.close(victims)
	return ok
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	c.leave()
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, so that a client reads the whole response although the rest of its request is not
// read.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the connection that the guard bounds.
func (c *conn) NetConn() net.Conn { return c.Conn }
