package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// boundedLines is how many lines wait for a slow reader before further ones
	// are dropped; at 300 bytes a line they take 0.6 MB.
	boundedLines = 2048
	// closeTimeout bounds how long the end of a program waits for its log.
	closeTimeout = 200 * time.Millisecond
)

// Bounded is a writer that never blocks: lines that its target does not take in
// time are dropped and counted, and a line says how many. It is safe for
// concurrent use.
type Bounded struct {
	target  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewBounded returns a bounded writer to a target.
func NewBounded(target io.Writer) *Bounded {
	b := &Bounded{target: target, lines: make(chan []byte, boundedLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. It keeps a copy of the line.
func (b *Bounded) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case b.lines <- kept:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far and not reported yet.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// run writes lines until Close.
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

// put writes one line; a target that fails has it counted as dropped.
func (b *Bounded) put(line []byte) bool {
	if _, err := b.target.Write(line); err != nil {
		b.dropped.Add(1)
		return false
	}
	return true
}

// Close waits a short time for the lines that are still on their way.
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
