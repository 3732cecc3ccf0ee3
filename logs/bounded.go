package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines that are queued for a slow target
	// before further ones are dropped; at 300 bytes per line they use 0.6 MB.
	maxQueuedLines = 2048
	// closeTimeout is the maximum time that Close delays the exit of a program
	// to flush its log.
	closeTimeout = 200 * time.Millisecond
)

// NonBlockingWriter is a writer that never blocks. It has a bounded queue: when the
// target is too slow and the queue is full, lines are dropped, and their number is
// logged once the target accepts lines again. It is safe for concurrent use.
type NonBlockingWriter struct {
	target  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewNonBlockingWriter returns a writer to a target and starts its goroutine, which
// Close ends.
func NewNonBlockingWriter(target io.Writer) *NonBlockingWriter {
	b := &NonBlockingWriter{target: target, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. It queues a copy of the line, or drops the line if
// the queue is full.
func (b *NonBlockingWriter) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	select {
	case b.lines <- queued:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been logged yet.
func (b *NonBlockingWriter) Dropped() int64 { return b.dropped.Load() }

// run writes queued lines to the target until Close queues a nil line.
func (b *NonBlockingWriter) run() {
	defer close(b.done)
	for line := range b.lines {
		if line == nil {
			return
		}
		if !b.writeLine(line) {
			continue
		}
		if n := b.dropped.Swap(0); n > 0 {
			b.writeLine(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n))
		}
	}
}

// writeLine writes one line to the target. A line that fails to be written counts as
// dropped.
func (b *NonBlockingWriter) writeLine(line []byte) bool {
	if _, err := b.target.Write(line); err != nil {
		b.dropped.Add(1)
		return false
	}
	return true
}

// Close waits for the queued lines to be written, at most for closeTimeout.
func (b *NonBlockingWriter) Close() {
	b.once.Do(func() {
		timer := time.NewTimer(closeTimeout)
		defer timer.Stop()
		select {
		case b.lines <- nil:
		case <-timer.C:
			return
		}
		select {
		case <-b.done:
		case <-timer.C:
		}
	})
}
