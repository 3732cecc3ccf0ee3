package main

import (
	"slices"
	"time"
)

// pool is the prefill engines. Each prefill goes to the engine that is free
// first, which all instances know: what is compared is the decode slots.
type pool struct{ freeAt []time.Time }

func newPool(size int) pool { return pool{freeAt: make([]time.Time, max(size, 1))} }

// wait returns how long a prefill begun now waits for an engine.
func (p *pool) wait(now time.Time) time.Duration {
	return max(slices.MinFunc(p.freeAt, time.Time.Compare).Sub(now), 0)
}

// start runs a prefill and returns when it is done.
func (p *pool) start(now time.Time, d time.Duration) time.Time {
	first := 0
	for i := range p.freeAt {
		if p.freeAt[i].Before(p.freeAt[first]) {
			first = i
		}
	}
	begin := now
	if p.freeAt[first].After(now) {
		begin = p.freeAt[first]
	}
	p.freeAt[first] = begin.Add(d)
	return p.freeAt[first]
}
