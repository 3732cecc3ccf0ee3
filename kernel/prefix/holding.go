package prefix

// ref refers to a holding in the slab by its index plus one.
type ref int32

// none is the zero ref, which refers to no holding.
const none ref = 0

// confirmed is the value of holding.validUntil for a block that an event of the
// engine has reported as stored.
const confirmed int64 = 0

// holding is the record that one engine holds one block. It contains no pointers,
// so that the garbage collector does not have to scan the slab, which can hold
// hundreds of thousands of them.
type holding struct {
	block  uint64
	engine int32
	// newer and older link the engine's holdings in the order of last use.
	newer, older ref
	// next links the holdings of the same block.
	next ref
	// validUntil is the time, in Unix nanoseconds, after which the holding is no
	// longer assumed to exist if the engine has not reported it, or confirmed.
	validUntil int64
}

// slab stores holdings in one slice and reuses freed entries.
type slab struct {
	entries []holding
	free    []ref
	used    int
}

// get returns the holding that r refers to. The pointer is valid until the next
// call of take.
func (s *slab) get(r ref) *holding { return &s.entries[r-1] }

// alloc returns a new holding.
func (s *slab) alloc() ref {
	s.used++
	if last := len(s.free) - 1; last >= 0 {
		r := s.free[last]
		s.free = s.free[:last]
		return r
	}
	s.entries = append(s.entries, holding{})
	return ref(len(s.entries))
}

// release frees a holding.
func (s *slab) release(r ref) {
	s.used--
	*s.get(r) = holding{}
	s.free = append(s.free, r)
}

// add records that engine n holds a block, and makes the block the engine's most
// recently used one. If the engine is at its limit, it first removes the least
// recently used blocks.
func (x *Index) add(n int32, block uint64, validUntil int64, limit int) {
	if r := x.find(block, n); r != none {
		x.refresh(r, validUntil)
		return
	}
	for x.engines[n].holdings >= limit {
		x.remove(x.engines[n].oldest)
	}
	r := x.slab.alloc()
	*x.slab.get(r) = holding{block: block, engine: n, next: x.firstHolding[block], validUntil: validUntil}
	x.firstHolding[block] = r
	x.engines[n].holdings++
	x.link(r)
}

// refresh makes a holding its engine's most recently used one and sets until,
// unless the holding is confirmed: it then stays confirmed.
func (x *Index) refresh(r ref, validUntil int64) {
	h := x.slab.get(r)
	if h.validUntil != confirmed {
		h.validUntil = validUntil
	}
	x.unlink(r)
	x.link(r)
}

// find returns engine n's holding of a block, none if there is none.
func (x *Index) find(block uint64, n int32) ref {
	for r := x.firstHolding[block]; r != none; {
		h := x.slab.get(r)
		if h.engine == n {
			return r
		}
		r = h.next
	}
	return none
}

// remove removes a holding from the index. It does nothing for none.
func (x *Index) remove(r ref) {
	if r == none {
		return
	}
	h := x.slab.get(r)
	x.unlink(r)
	x.unchain(r, h)
	x.engines[h.engine].holdings--
	x.slab.release(r)
}

// unchain removes a holding from its block's chain.
func (x *Index) unchain(r ref, h *holding) {
	at := x.firstHolding[h.block]
	if at == r {
		if h.next == none {
			delete(x.firstHolding, h.block)
			return
		}
		x.firstHolding[h.block] = h.next
		return
	}
	for x.slab.get(at).next != r {
		at = x.slab.get(at).next
	}
	x.slab.get(at).next = h.next
}

// link inserts a holding into its engine's list as the most recently used one.
func (x *Index) link(r ref) {
	h := x.slab.get(r)
	e := &x.engines[h.engine]
	h.older = e.newest
	h.newer = none
	if e.newest != none {
		x.slab.get(e.newest).newer = r
	}
	e.newest = r
	if e.oldest == none {
		e.oldest = r
	}
}

// unlink removes a holding from its engine's list.
func (x *Index) unlink(r ref) {
	h := x.slab.get(r)
	e := &x.engines[h.engine]
	if h.older != none {
		x.slab.get(h.older).newer = h.newer
	} else {
		e.oldest = h.newer
	}
	if h.newer != none {
		x.slab.get(h.newer).older = h.older
	} else {
		e.newest = h.older
	}
}
