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

// States of an outgoing frame.
const (
	frameQueued int32 = iota
	// frameWriting means that bytes of the frame may have been sent.
	frameWriting
	// frameWithdrawn means that the frame will never be written.
	frameWithdrawn
	// frameTruncated means that writing failed before the last byte, so that the
	// peer cannot receive the whole frame.
	frameTruncated
)

// progress is the state of an outgoing frame. It tells the caller whether the
// frame can have reached the peer.
type progress struct{ state atomic.Int32 }

// withdraw removes the frame from sending if it is still queued. It reports
// whether it is certain that the peer never receives the whole frame.
func (p *progress) withdraw() bool {
	if p.state.CompareAndSwap(frameQueued, frameWithdrawn) {
		return true
	}
	s := p.state.Load()
	return s == frameWithdrawn || s == frameTruncated
}

// outgoingFrame is a frame in the write queue.
type outgoingFrame struct {
	bytes    []byte
	progress *progress
}

// stream implements jsonrpc2.ObjectStream with bounded frames, a bounded write
// queue and a deadline for each read and write. A single goroutine writes, so that
// a slow peer never blocks a handler or a caller.
type stream struct {
	conn   net.Conn
	r      *bufio.Reader
	limits Limits
	// keepOpen is called when no frame has arrived for limits.Idle. It reports
	// whether to keep the connection open.
	keepOpen func() bool
	// readLimit is the maximum size of a received frame. It is raised after the
	// hello.
	readLimit atomic.Int64

	// nextProgress is the progress of the frame that is passed to WriteObject
	// next. The OnSend hook sets it; jsonrpc2 calls the hook and WriteObject under
	// one lock.
	nextProgress *progress

	mu          sync.Mutex
	queue       []outgoingFrame
	queuedBytes int
	draining    bool
	closed      bool
	cause       error
	wake        chan struct{}
	done        chan struct{}
}

// newStream returns a stream on a connection and starts its writer.
func newStream(conn net.Conn, limits Limits, keepOpen func() bool) *stream {
	s := &stream{
		conn:     conn,
		r:        bufio.NewReader(conn),
		limits:   limits,
		keepOpen: keepOpen,
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
	}
	s.readLimit.Store(int64(limits.HelloFrame))
	go s.writeLoop()
	return s
}

// raiseReadLimit raises the read limit from limits.HelloFrame to limits.Frame.
func (s *stream) raiseReadLimit() { s.readLimit.Store(int64(s.limits.Frame)) }

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
	s.setReadTimeout(s.limits.Read)
	body, err := readFrame(s.r, int(s.readLimit.Load()))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return &FrameError{Part: "body"}
	}
	return nil
}

// setReadTimeout sets the deadline of the next reads. Setting it on a closed
// connection fails; the error is ignored, so that a frame that has already arrived
// is not lost. Reading past that frame reports that the connection is closed.
func (s *stream) setReadTimeout(d time.Duration) {
	_ = s.conn.SetReadDeadline(time.Now().Add(d))
}

// awaitFrame waits for the first byte of a frame for as long as keepOpen returns
// true.
func (s *stream) awaitFrame() error {
	for {
		s.setReadTimeout(s.limits.Idle)
		_, err := s.r.Peek(1)
		if err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if !s.keepOpen() {
			return &IdleError{After: s.limits.Idle}
		}
	}
}

// WriteObject implements jsonrpc2.ObjectStream. It queues the object for writing;
// an error means that no part of it was or will be written. Errors are *FrameError,
// *TooLargeError, *BusyError and *ClosedError.
func (s *stream) WriteObject(obj any) error {
	p := s.nextProgress
	s.nextProgress = nil
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
	return s.enqueue(outgoingFrame{bytes: appendFrame(nil, body), progress: p})
}

// enqueue adds a frame to the write queue. An empty queue takes a frame of any
// size.
func (s *stream) enqueue(f outgoingFrame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return &ClosedError{Cause: s.cause}
	}
	if len(s.queue) >= s.limits.QueueFrames {
		return &BusyError{Resource: "frames waiting", Limit: s.limits.QueueFrames}
	}
	if s.queuedBytes > 0 && s.queuedBytes+len(f.bytes) > s.limits.QueueBytes {
		return &BusyError{Resource: "bytes waiting", Limit: s.limits.QueueBytes}
	}
	s.queue = append(s.queue, f)
	s.queuedBytes += len(f.bytes)
	s.wakeWriter()
	return nil
}

// wakeWriter wakes the writer. The caller holds mu.
func (s *stream) wakeWriter() {
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

// queueState is the result of dequeue.
type queueState int

const (
	queueEmpty queueState = iota
	queueFrame
	queueDrained
	queueClosed
)

// dequeue removes and returns the next frame, if there is one.
func (s *stream) dequeue() (outgoingFrame, queueState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return outgoingFrame{}, queueClosed
	case len(s.queue) > 0:
		f := s.queue[0]
		s.queue[0] = outgoingFrame{}
		s.queue = s.queue[1:]
		s.queuedBytes -= len(f.bytes)
		return f, queueFrame
	case s.draining:
		return outgoingFrame{}, queueDrained
	default:
		return outgoingFrame{}, queueEmpty
	}
}

// writeFrame writes a frame unless it has been withdrawn.
func (s *stream) writeFrame(f outgoingFrame) error {
	if !f.progress.state.CompareAndSwap(frameQueued, frameWriting) {
		return nil
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.limits.Write)); err != nil {
		f.progress.state.Store(frameTruncated)
		return err
	}
	n, err := s.conn.Write(f.bytes)
	if err != nil && n < len(f.bytes) {
		// Fewer bytes were written than the frame has.
		f.progress.state.Store(frameTruncated)
	}
	return err
}

// closeAfterWrites makes the writer close the stream after all queued frames have
// been written.
func (s *stream) closeAfterWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.wakeWriter()
}

// fail closes the connection and records the cause. Later calls have no effect.
func (s *stream) fail(cause error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.cause = cause
	s.wakeWriter()
	s.mu.Unlock()
	// The connection is not used any more, so an error of Close does not matter.
	_ = s.conn.Close()
}

// closedError returns a *ClosedError with the cause of the close.
func (s *stream) closedError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &ClosedError{Cause: s.cause}
}

// Close implements jsonrpc2.ObjectStream. It waits until the writer has ended, so
// that the progress of every frame is final when it returns.
func (s *stream) Close() error {
	s.fail(nil)
	<-s.done
	return nil
}
