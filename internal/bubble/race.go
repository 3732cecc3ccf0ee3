//go:build race

package bubble

import (
	"runtime"
	"sync"
)

// procs tracks running bubbles, during which GOMAXPROCS is 1.
//
// All timers of a bubble share one race detector context. Goroutines that receive from expired
// timer channels on several processors at once use this context concurrently, which crashes
// the detector. It finds races by happens-before order and needs no parallel execution.
var procs struct {
	mu      sync.Mutex
	bubbles int
	prev    int // GOMAXPROCS before the first bubble
}

// limitProcs sets GOMAXPROCS to 1 until restore has been called for every running bubble.
func limitProcs() (restore func()) {
	p := &procs
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bubbles == 0 {
		p.prev = runtime.GOMAXPROCS(1)
	}
	p.bubbles++
	return restoreProcs
}

// restoreProcs resets GOMAXPROCS when the last running bubble has ended.
func restoreProcs() {
	p := &procs
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bubbles--
	if p.bubbles == 0 {
		runtime.GOMAXPROCS(p.prev)
	}
}
