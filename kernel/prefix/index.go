// Package prefix keeps an index of the prompt blocks that each engine holds in
// its prefix cache. Its sources are the engines' cache events, which arrive
// with delay and may be lost, and the requests that this instance has sent to
// the engines.
package prefix

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/kernel/table"
)

const (
	// defaultCapacity bounds the holdings of all engines together: each engine
	// may have an equal share of it, but at least minPieces.
	defaultCapacity = 1 << 19
	// defaultPieces is the maximum number of holdings of one engine if the
	// bundle does not declare the engine's memory.
	defaultPieces = 2048
	// minPieces is the number of holdings that each engine may have regardless
	// of the number of engines.
	minPieces = 64
	// confirmTimeout is how long a block that this instance sent to an engine is
	// assumed to be there without a cache event that reports it. It applies only
	// to engines that publish events. It covers the delay of events and the wait
	// in the engine's queue.
	confirmTimeout = 10 * time.Second
	// maxEngines is the maximum number of engines in the index. Engines are
	// replaced from time to time, and Forget is not called for all of them. At
	// the maximum the index is emptied. It is less than the maximum size of a
	// table.Table, so that the table never empties itself before.
	maxEngines = 4096
)

// Index implements kernel.PrefixStore. Its memory is bounded: each engine has at
// most as many blocks in the index as it has memory pieces, and the least
// recently used ones are removed first, as in the engine itself. Create it with
// New.
type Index struct {
	capacity int
	// firstHolding maps a block to the first of its holdings, which are chained
	// by holding.next.
	firstHolding map[uint64]ref
	slab         slab
	// numbers holds each engine's number plus one, where the number is the
	// engine's index in engines. freeNumbers are the numbers not in use.
	numbers     table.Table[int32]
	engines     []engine
	freeNumbers []int32
	inUse       int
	// now is the latest time passed to Placed, in Unix nanoseconds.
	now        int64
	lastLookup lookup
}

var _ kernel.PrefixStore = (*Index)(nil)

// engine is the entry of one upstream in the index.
type engine struct {
	id ident.UpstreamID
	// newest and oldest are the ends of the list of the engine's holdings, which
	// is ordered by last use.
	newest, oldest ref
	holdings       int
	// publishes is set once the engine has published a cache event.
	publishes bool
}

// New returns an empty index of the default capacity.
func New() *Index { return newIndex(defaultCapacity) }

func newIndex(capacity int) *Index {
	return &Index{capacity: capacity, firstHolding: map[uint64]ref{}}
}

// Apply implements kernel.PrefixStore. A change with Cleared set replaces all
// earlier changes; engine adapters send it as a snapshot after a gap in the
// engine's event numbers. Blocks that this instance sent to the engine within
// confirmTimeout are kept, since the snapshot may be older than them.
func (x *Index) Apply(u *kernel.Upstream, c kernel.CacheChanged) {
	n := x.number(u)
	e := &x.engines[n]
	e.publishes = true
	x.lastLookup.invalidate()
	if c.Cleared {
		x.clear(n)
	}
	for _, b := range c.Removed {
		x.remove(x.find(b, n))
	}
	limit := x.limit(u)
	for _, b := range c.Stored {
		x.add(n, b, confirmed, limit)
	}
}

// Placed implements kernel.PrefixStore.
func (x *Index) Placed(u *kernel.Upstream, blocks []uint64, now time.Time) {
	n := x.number(u)
	x.now = max(x.now, now.UnixNano())
	x.lastLookup.invalidate()
	limit := x.limit(u)
	validUntil := now.Add(confirmTimeout).UnixNano()
	// The last block becomes the least recently used one: engines evict it
	// first, since each block is useless without those before it.
	for i := len(blocks) - 1; i >= 0; i-- {
		x.add(n, blocks[i], validUntil, limit)
	}
}

// Forget implements kernel.PrefixStore.
func (x *Index) Forget(id ident.UpstreamID) {
	n := x.numbers.Get(id)
	if n == nil || *n == 0 {
		return
	}
	number := *n - 1
	x.lastLookup.invalidate()
	e := &x.engines[number]
	for e.oldest != none {
		x.remove(e.oldest)
	}
	*e = engine{}
	x.numbers.Delete(id)
	x.freeNumbers = append(x.freeNumbers, number)
	x.inUse--
}

// Holdings returns the number of blocks in the index, summed over all engines.
func (x *Index) Holdings() int { return x.slab.used }

// number returns u's number, assigning one if it has none.
func (x *Index) number(u *kernel.Upstream) int32 {
	// The table stores the number plus one, since its zero value means that
	// there is none.
	n := x.numbers.At(u)
	if *n != 0 {
		return *n - 1
	}
	if x.inUse >= maxEngines {
		*x = *newIndex(x.capacity)
		n = x.numbers.At(u)
	}
	x.inUse++
	if last := len(x.freeNumbers) - 1; last >= 0 {
		*n = x.freeNumbers[last] + 1
		x.freeNumbers = x.freeNumbers[:last]
	} else {
		x.engines = append(x.engines, engine{})
		*n = int32(len(x.engines))
	}
	x.engines[*n-1] = engine{id: u.ID}
	return *n - 1
}

// limit returns the maximum number of blocks that u may have in the index.
func (x *Index) limit(u *kernel.Upstream) int {
	pieces := u.Spec.Pieces
	if pieces <= 0 {
		pieces = defaultPieces
	}
	return min(pieces, max(x.capacity/x.inUse, minPieces))
}

// clear removes an engine's holdings, except for recent ones that no event has
// confirmed yet.
func (x *Index) clear(n int32) {
	for r := x.engines[n].oldest; r != none; {
		h := x.slab.get(r)
		next := h.newer
		if !x.unconfirmed(h) {
			x.remove(r)
		}
		r = next
	}
}

// unconfirmed reports whether a holding is based only on a request of this
// instance and is recent enough that an event may still confirm it.
func (x *Index) unconfirmed(h *holding) bool {
	return h.validUntil != confirmed && h.validUntil > x.now
}

// valid reports whether the engine is assumed to hold the block: an event has
// confirmed it, it is recent, or the engine publishes no events.
func (x *Index) valid(h *holding) bool {
	if h.validUntil == confirmed || !x.engines[h.engine].publishes {
		return true
	}
	return h.validUntil > x.now
}
