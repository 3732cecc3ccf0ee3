package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// gate is a target that takes nothing until it is opened.
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

// TestFullPipeDropsLinesNotTime: with a reader that takes nothing, writing returns
// at once, and later a line says how many lines are missing.
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

func TestClosedByAFullPipe(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	b := NewBounded(g)
	for range boundedLines + 2 {
		_, _ = b.Write([]byte("line\n"))
	}
	b.Close()
	close(g.open)
}
