package peer

import (
	"bufio"
	"encoding/json"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Progress of one frame on its way out.
const (
	frameQueued int32 = iota
	// frameWriting means that bytes of the frame may have left.
	frameWriting
	// frameWithdrawn means that the frame will never be written.
	frameWithdrawn
	// frameBroken means that writing failed before the last byte, so that the
	// peer cannot have the whole frame.
	frameBroken
)

// progress tells a caller whether its frame can have reached the peer.
type progress struct{ state atomic.Int32 }

// withdraw gives the frame up. It reports whether the peer certainly does not
// have the whole frame and never will.
func (p *progress) withdraw() bool {
	if p.state.CompareAndSwap(frameQueued, frameWithdrawn) {
		return true
	}
	s := p.state.Load()
	return s == frameWithdrawn || s == frameBroken
}

// outFrame is a frame waiting to be written.
type outFrame struct {
	bytes    []byte
	progress *progress
}

// stream implements jsonrpc2.ObjectStream with bounded frames, a bounded write
// queue and a deadline on every step. Writes are done by one goroutine, so that
// a slow peer never blocks a handler or a caller.
type stream struct {
	conn   net.Conn
	r      *bufio.Reader
	limits Limits
	// quiet is called when no frame came for limits.Idle; it reports whether
	// the connection is still wanted.
	quiet func() bool
	// readLimit is the largest frame accepted; it rises after the hello.
	readLimit atomic.Int64

	// next is the progress of the frame about to be given to WriteObject.
	// jsonrpc2 sets it by its OnSend hook and calls WriteObject under one lock.
	next *progress

	mu       sync.Mutex
	queue    []outFrame
	queued   int
	draining bool
	closed   bool
	cause    error
	wake     chan struct{}
	done     chan struct{}
}

// newStream starts the writer of a connection.
func newStream(conn net.Conn, limits Limits, quiet func() bool) *stream {
	s := &stream{
		conn:   conn,
		r:      bufio.NewReader(conn),
		limits: limits,
		quiet:  quiet,
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),
	}
	s.readLimit.Store(int64(limits.HelloFrame))
	go s.writeLoop()
	return s
}

// trust raises the frame limit after the hello.
func (s *stream) trust() { s.readLimit.Store(int64(s.limits.Frame)) }

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	err := s.readObject(v)
	if err != nil {
		s.fail(err)
	}
	return err
}

// readObject reads one frame into v.
func (s *stream) readObject(v any) error {
	if err := s.awaitFrame(); err != nil {
		return err
	}
	s.readWithin(s.limits.Read)
	body, err := readFrame(s.r, int(s.readLimit.Load()))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return &FrameError{Part: "body"}
	}
	return nil
}

// readWithin bounds the next reads. A connection that is already closed refuses
// the deadline; that is no reason to lose a frame that has arrived, and reading
// beyond it reports the close.
func (s *stream) readWithin(d time.Duration) {
	_ = s.conn.SetReadDeadline(time.Now().Add(d))
}

// awaitFrame waits for the first byte of a frame for as long as the connection
// is wanted.
func (s *stream) awaitFrame() error {
	for {
		s.readWithin(s.limits.Idle)
		_, err := s.r.Peek(1)
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if !s.quiet() {
			return &IdleError{After: s.limits.Idle}
		}
	}
}

// WriteObject implements jsonrpc2.ObjectStream. It queues the object; an error
// means that nothing of it was or will be written. Errors are *TooLargeError,
// *BusyError and *ClosedError.
func (s *stream) WriteObject(obj any) error {
	p := s.next
	s.next = nil
	if p == nil {
		p = &progress{}
	}
	body, err := json.Marshal(obj)
	if err != nil {
		return &FrameError{Part: "body"}
	}
	if len(body) > s.limits.Frame {
		return &TooLargeError{Bytes: len(body), Limit: s.limits.Frame}
	}
	return s.enqueue(outFrame{bytes: appendFrame(nil, body), progress: p})
}

// enqueue adds a frame to the write queue.
func (s *stream) enqueue(f outFrame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return &ClosedError{Cause: s.cause}
	}
	if len(s.queue) >= s.limits.QueueFrames {
		return &BusyError{What: "frames waiting", Limit: s.limits.QueueFrames}
	}
	if s.queued > 0 && s.queued+len(f.bytes) > s.limits.QueueBytes {
		return &BusyError{What: "bytes waiting", Limit: s.limits.QueueBytes}
	}
	s.queue = append(s.queue, f)
	s.queued += len(f.bytes)
	s.signal()
	return nil
}

// signal wakes the writer. The caller holds mu.
func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// writeLoop writes queued frames until the stream closes.
func (s *stream) writeLoop() {
	defer close(s.done)
	for {
		f, state := s.dequeue()
		switch state {
		case queueClosed:
			return
		case queueDrained:
			s.fail(nil)
			return
		case queueEmpty:
			<-s.wake
		case queueFrame:
			if err := s.writeFrame(f); err != nil {
				s.fail(err)
				return
			}
		}
	}
}

// queueState is what the writer finds in its queue.
type queueState int

const (
	queueEmpty queueState = iota
	queueFrame
	queueDrained
	queueClosed
)

// dequeue takes the next frame, if there is one.
func (s *stream) dequeue() (outFrame, queueState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return outFrame{}, queueClosed
	case len(s.queue) > 0:
		f := s.queue[0]
		s.queue[0] = outFrame{}
		s.queue = s.queue[1:]
		s.queued -= len(f.bytes)
		return f, queueFrame
	case s.draining:
		return outFrame{}, queueDrained
	default:
		return outFrame{}, queueEmpty
	}
}

// writeFrame writes a frame that was not withdrawn.
func (s *stream) writeFrame(f outFrame) error {
	if !f.progress.state.CompareAndSwap(frameQueued, frameWriting) {
		return nil
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.limits.Write)); err != nil {
		f.progress.state.Store(frameBroken)
		return err
	}
	n, err := s.conn.Write(f.bytes)
	if err != nil && n < len(f.bytes) {
		// The network took fewer bytes than the frame has.
		f.progress.state.Store(frameBroken)
	}
	return err
}

// closeAfterWrites closes the stream when all queued frames are written.
func (s *stream) closeAfterWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.signal()
}

// fail closes the connection for the given cause; only the first one counts.
func (s *stream) fail(cause error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.cause = cause
	s.signal()
	s.mu.Unlock()
	// The connection is unusable in any case; there is nothing to do about a
	// failing close.
	_ = s.conn.Close()
}

// closedBy returns why the stream closed, as a *ClosedError.
func (s *stream) closedBy() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &ClosedError{Cause: s.cause}
}

// Close implements jsonrpc2.ObjectStream. It waits until the writer has ended,
// so that the progress of every frame is final afterwards.
func (s *stream) Close() error {
	s.fail(nil)
	<-s.done
	return nil
}
