package prefix

import "github.com/wardspool/wardspool/kernel"

// lookup is the answer for one prompt over all engines. A decision asks for
// each of hundreds of engines with the same prompt; the chains are walked once.
type lookup struct {
	prompt *uint64
	blocks int
	valid  bool
	// cached is the number of leading blocks by engine number, and touched the
	// numbers for which it is not 0.
	cached  []int32
	touched []int32
}

// invalidate makes the next question walk the chains again.
func (l *lookup) invalidate() { l.valid = false }

// CachedBlocks implements kernel.PrefixIndex. The blocks must not be changed
// between calls with the same slice.
func (x *Index) CachedBlocks(u *kernel.Upstream, blocks []uint64) int {
	if len(blocks) == 0 {
		return 0
	}
	n := x.number(u)
	l := &x.last
	if !l.valid || l.prompt != &blocks[0] || l.blocks != len(blocks) {
		x.walk(blocks)
	}
	if int(n) >= len(l.cached) {
		return 0
	}
	return int(l.cached[n])
}

// walk counts each engine's leading blocks.
func (x *Index) walk(blocks []uint64) {
	l := &x.last
	for _, n := range l.touched {
		l.cached[n] = 0
	}
	l.touched = l.touched[:0]
	for len(l.cached) < len(x.byNumber) {
		l.cached = append(l.cached, 0)
	}
	l.prompt = &blocks[0]
	l.blocks = len(blocks)
	l.valid = true
	for i, b := range blocks {
		if !x.extend(int32(i), b) {
			return
		}
	}
}

// extend counts block i for the engines that hold all blocks before it, and
// reports whether there was any.
func (x *Index) extend(i int32, block uint64) bool {
	l := &x.last
	any := false
	for r := x.first[block]; r != none; {
		h := x.slab.at(r)
		r = h.next
		if l.cached[h.engine] != i || !x.valid(h) {
			continue
		}
		if i == 0 {
			l.touched = append(l.touched, h.engine)
		}
		l.cached[h.engine] = i + 1
		any = true
	}
	return any
}
