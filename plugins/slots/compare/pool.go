package main

import (
	"slices"
	"time"
)

// pool simulates the prefill engines. Each prefill runs on the engine that becomes
// free first. All instances know the state of the pool exactly, because only the
// policies for decode slots are compared.
type pool struct{ freeAt []time.Time }

func newPool(size int) pool { return pool{freeAt: make([]time.Time, max(size, 1))} }

// wait returns how long a prefill submitted now waits for an engine.
func (p *pool) wait(now time.Time) time.Duration {
	return max(slices.MinFunc(p.freeAt, time.Time.Compare).Sub(now), 0)
}

// start runs a prefill of duration d and returns when it ends.
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
