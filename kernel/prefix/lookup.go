package prefix

import "github.com/wardspool/wardspool/kernel"

// lookup is the cached result of looking up one prompt for all engines. A
// decision looks up the same prompt for each of hundreds of engines; with the
// cache, the chains are walked only once.
type lookup struct {
	// prompt and blocks identify the slice that was looked up, by the address of
	// its first element and its length.
	prompt *uint64
	blocks int
	valid  bool
	// cached is the number of leading blocks that each engine holds, by engine
	// number, and nonZero lists the engines for which it is not 0.
	cached  []int32
	nonZero []int32
}

// invalidate makes the next call of CachedBlocks walk the chains again.
func (l *lookup) invalidate() { l.valid = false }

// CachedBlocks implements kernel.PrefixIndex. The caller must not change the
// content of blocks between calls with the same slice, since the result for a
// slice is cached by its address.
func (x *Index) CachedBlocks(u *kernel.Upstream, blocks []uint64) int {
	if len(blocks) == 0 {
		return 0
	}
	n := x.number(u)
	l := &x.lastLookup
	if !l.valid || l.prompt != &blocks[0] || l.blocks != len(blocks) {
		x.walk(blocks)
	}
	if int(n) >= len(l.cached) {
		return 0
	}
	return int(l.cached[n])
}

// walk counts the leading blocks that each engine holds.
func (x *Index) walk(blocks []uint64) {
	l := &x.lastLookup
	for _, n := range l.nonZero {
		l.cached[n] = 0
	}
	l.nonZero = l.nonZero[:0]
	for len(l.cached) < len(x.engines) {
		l.cached = append(l.cached, 0)
	}
	l.prompt = &blocks[0]
	l.blocks = len(blocks)
	l.valid = true
	for i, b := range blocks {
		if !x.countBlock(int32(i), b) {
			return
		}
	}
}

// countBlock increments the count of the engines that hold block i and all blocks
// before it, and reports whether there is any such engine.
func (x *Index) countBlock(i int32, block uint64) bool {
	l := &x.lastLookup
	any := false
	for r := x.firstHolding[block]; r != none; {
		h := x.slab.get(r)
		r = h.next
		if l.cached[h.engine] != i || !x.valid(h) {
			continue
		}
		if i == 0 {
			l.nonZero = append(l.nonZero, h.engine)
		}
		l.cached[h.engine] = i + 1
		any = true
	}
	return any
}
