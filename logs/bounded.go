package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// boundedLines is the number of lines that are queued for a slow target
	// before further ones are dropped; at 300 bytes per line they use 0.6 MB.
	boundedLines = 2048
	// closeTimeout is the maximum time that Close delays the exit of a program
	// to flush its log.
	closeTimeout = 200 * time.Millisecond
)

// Bounded is a non-blocking writer with a bounded queue. When the target is too
// slow and the queue is full, lines are dropped; their number is logged once the
// target accepts lines again. It is safe for concurrent use.
type Bounded struct {
	target  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewBounded returns a bounded writer to a target and starts its goroutine,
// which Close ends.
func NewBounded(target io.Writer) *Bounded {
	b := &Bounded{target: target, lines: make(chan []byte, boundedLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. It queues a copy of the line, or drops the line if
// the queue is full.
func (b *Bounded) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case b.lines <- kept:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been logged yet.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// run writes queued lines to the target until Close queues a nil line.
func (b *Bounded) run() {
	defer close(b.done)
	for line := range b.lines {
		if line == nil {
			return
		}
		if !b.put(line) {
			continue
		}
		if n := b.dropped.Swap(0); n > 0 {
			b.put(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n))
		}
	}
}

// put writes one line to the target. A line that fails to be written counts as
// dropped.
func (b *Bounded) put(line []byte) bool {
	if _, err := b.target.Write(line); err != nil {
		b.dropped.Add(1)
		return false
	}
	return true
}

// Close waits for the queued lines to be written, at most for closeTimeout.
func (b *Bounded) Close() {
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
