package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// gate is a writer that blocks until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.Write(p)
}

// TestFullPipeDropsLinesNotTime checks that writing doesn't block while the target
// does, and that the number of dropped lines is logged afterwards.
func TestFullPipeDropsLinesNotTime(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	b := NewBounded(g)
	for range boundedLines + 100 {
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
	assert.Equal(t, int64(strings.Count(g.got.String(), "line\n")), boundedLines+100-dropped)
	assert.Assert(t, strings.Contains(g.got.String(), "log lines dropped"))
}

// TestClosedByAFullPipe checks that Close returns while the target blocks and the
// queue is full.
func TestClosedByAFullPipe(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	b := NewBounded(g)
	for range boundedLines + 2 {
		_, _ = b.Write([]byte("line\n"))
	}
	b.Close()
	close(g.open)
}
