// Package prefix keeps what is known of the prompt blocks that each engine
// holds in its prefix cache: what the engines' cache events say, late and with
// gaps, and what this instance itself has sent where.
package prefix

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/kernel/table"
)

const (
	// defaultCapacity bounds the holdings of all engines together.
	defaultCapacity = 1 << 19
	// defaultPieces bounds one engine's holdings where the bundle does not say
	// how much memory it has.
	defaultPieces = 2048
	// minPieces is what one engine may have however many engines there are.
	minPieces = 64
	// confirmWithin is how long a block that this instance sent to an engine is
	// believed to be there without an event that says so, if the engine
	// publishes events at all. It covers the events' lag and a queue's length.
	confirmWithin = 10 * time.Second
	// maxEngines bounds the engines known. Engines are replaced now and then
	// and not all are forgotten; beyond the bound the index starts afresh. It
	// is less than a table holds.
	maxEngines = 4096
)

// Index implements kernel.PrefixStore. Its memory is bounded: an engine can
// hold no more blocks than it has memory pieces, and the least recently used
// ones are dropped first, as in the engine itself. Use New.
type Index struct {
	capacity int
	// first finds the first of a block's holdings, which are chained.
	first map[uint64]ref
	slab  slab
	// engines finds an engine's number; numbers index byNumber.
	engines  table.Table[int32]
	byNumber []engine
	unused   []int32
	inUse    int
	// now is the latest time seen, in Unix nanoseconds.
	now  int64
	last lookup
}

var _ kernel.PrefixStore = (*Index)(nil)

// engine is one upstream's part of the index.
type engine struct {
	id ident.UpstreamID
	// newest and oldest end the list of its holdings, by last use.
	newest, oldest ref
	holdings       int
	// publishes is set by its first cache event.
	publishes bool
}

// New returns an empty index of the default capacity.
func New() *Index { return newIndex(defaultCapacity) }

func newIndex(capacity int) *Index {
	return &Index{capacity: capacity, first: map[uint64]ref{}}
}

// Apply implements kernel.PrefixStore. A change that is Cleared replaces what
// earlier ones said, which is how an engine adapter answers a gap in the
// engine's event numbers. Blocks that this instance sent there within the last
// seconds are kept: the engine's snapshot may be older.
func (x *Index) Apply(u *kernel.Upstream, c kernel.CacheChanged) {
	n := x.number(u)
	e := &x.byNumber[n]
	e.publishes = true
	x.last.invalidate()
	if c.Cleared {
		x.clear(n)
	}
	for _, b := range c.Removed {
		x.remove(x.find(b, n))
	}
	limit := x.limit(u)
	for _, b := range c.Stored {
		x.hold(n, b, confirmed, limit)
	}
}

// Placed implements kernel.PrefixStore.
func (x *Index) Placed(u *kernel.Upstream, blocks []uint64, now time.Time) {
	n := x.number(u)
	x.now = max(x.now, now.UnixNano())
	x.last.invalidate()
	limit := x.limit(u)
	until := now.Add(confirmWithin).UnixNano()
	// The last block is the first that an engine drops, since each depends on
	// those before it.
	for i := len(blocks) - 1; i >= 0; i-- {
		x.hold(n, blocks[i], until, limit)
	}
}

// Forget implements kernel.PrefixStore.
func (x *Index) Forget(id ident.UpstreamID) {
	n := x.engines.Get(id)
	if n == nil || *n == 0 {
		return
	}
	number := *n - 1
	x.last.invalidate()
	e := &x.byNumber[number]
	for e.oldest != none {
		x.remove(e.oldest)
	}
	*e = engine{}
	x.engines.Delete(id)
	x.unused = append(x.unused, number)
	x.inUse--
}

// Holdings returns the number of blocks held over all engines.
func (x *Index) Holdings() int { return x.slab.used }

// number returns u's number, giving it one if it has none.
func (x *Index) number(u *kernel.Upstream) int32 {
	// The table's zero value means none, so numbers are kept one higher.
	n := x.engines.At(u)
	if *n != 0 {
		return *n - 1
	}
	if x.inUse >= maxEngines {
		*x = *newIndex(x.capacity)
		n = x.engines.At(u)
	}
	x.inUse++
	if last := len(x.unused) - 1; last >= 0 {
		*n = x.unused[last] + 1
		x.unused = x.unused[:last]
	} else {
		x.byNumber = append(x.byNumber, engine{})
		*n = int32(len(x.byNumber))
	}
	x.byNumber[*n-1] = engine{id: u.ID}
	return *n - 1
}

// limit is the most blocks that u may have in the index.
func (x *Index) limit(u *kernel.Upstream) int {
	pieces := u.Spec.Pieces
	if pieces <= 0 {
		pieces = defaultPieces
	}
	return min(pieces, max(x.capacity/x.inUse, minPieces))
}

// clear drops an engine's holdings but for those that still await an event.
func (x *Index) clear(n int32) {
	for r := x.byNumber[n].oldest; r != none; {
		h := x.slab.at(r)
		next := h.newer
		if !x.awaited(h) {
			x.remove(r)
		}
		r = next
	}
}

// awaited reports whether a holding stands on this instance's own word and is
// recent enough to be believed.
func (x *Index) awaited(h *holding) bool {
	return h.until != confirmed && h.until > x.now
}

// valid reports whether a holding is believed.
func (x *Index) valid(h *holding) bool {
	if h.until == confirmed || !x.byNumber[h.engine].publishes {
		return true
	}
	return h.until > x.now
}
