package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockingWriter is a writer that blocks until it is opened.
type blockingWriter struct {
	open    chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (g *blockingWriter) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.written.Write(p)
}

// TestFullPipeDropsLinesNotTime checks that writing doesn't block while the target
// does, and that the number of dropped lines is logged afterwards.
func TestFullPipeDropsLinesNotTime(t *testing.T) {
	g := &blockingWriter{open: make(chan struct{})}
	b := NewNonBlockingWriter(g)
	for range maxQueuedLines + 100 {
		n, err := b.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	dropped := b.Dropped()
	assert.Assert(t, dropped >= 99 && dropped <= 100, "%d", dropped)
	close(g.open)
	b.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Equal(t, int64(strings.Count(g.written.String(), "line\n")), maxQueuedLines+100-dropped)
	assert.Assert(t, strings.Contains(g.written.String(), "log lines dropped"))
}

// TestClosedByAFullPipe checks that Close returns while the target blocks and the
// queue is full.
func TestClosedByAFullPipe(t *testing.T) {
	g := &blockingWriter{open: make(chan struct{})}
	b := NewNonBlockingWriter(g)
	for range maxQueuedLines + 2 {
		_, _ = b.Write([]byte("line\n"))
	}
	b.Close()
	close(g.open)
}
