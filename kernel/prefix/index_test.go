package prefix

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/wardspool/wardspool/internal/testseed"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

var start = time.Unix(1_000_000, 0)

// engineAt returns an engine with index i in the view and the given number of
// pieces of memory.
func engineAt(i, pieces int) *kernel.Upstream {
	u := &kernel.Upstream{ID: ident.UpstreamID(fmt.Sprint("e", i)), Index: i}
	u.Spec.Pieces = pieces
	return u
}

// referenceIndex is the reference implementation of the index: one list of
// blocks for each engine, without the cache for lookups.
type referenceIndex struct {
	engines map[ident.UpstreamID]*referenceEngine
	now     time.Time
}

type referenceEngine struct {
	// blocks are ordered by last use, least recently used first.
	blocks    []referenceBlock
	publishes bool
}

type referenceBlock struct {
	hash       uint64
	validUntil time.Time
}

func (p *referenceIndex) engine(u *kernel.Upstream) *referenceEngine {
	if p.engines[u.ID] == nil {
		p.engines[u.ID] = &referenceEngine{}
	}
	return p.engines[u.ID]
}

func (e *referenceEngine) add(hash uint64, validUntil time.Time, limit int) {
	i := slices.IndexFunc(e.blocks, func(b referenceBlock) bool { return b.hash == hash })
	if i >= 0 {
		if e.blocks[i].validUntil.IsZero() {
			validUntil = time.Time{}
		}
		e.blocks = slices.Delete(e.blocks, i, i+1)
	}
	for len(e.blocks) >= limit {
		e.blocks = e.blocks[1:]
	}
	e.blocks = append(e.blocks, referenceBlock{hash, validUntil})
}

func (p *referenceIndex) apply(u *kernel.Upstream, c kernel.CacheChanged) {
	e := p.engine(u)
	e.publishes = true
	if c.Cleared {
		e.blocks = slices.DeleteFunc(e.blocks, func(b referenceBlock) bool { return !b.validUntil.After(p.now) })
	}
	for _, r := range c.Removed {
		e.blocks = slices.DeleteFunc(e.blocks, func(b referenceBlock) bool { return b.hash == r })
	}
	for _, s := range c.Stored {
		e.add(s, time.Time{}, u.Spec.Pieces)
	}
}

func (p *referenceIndex) placed(u *kernel.Upstream, blocks []uint64, now time.Time) {
	p.now = now
	for _, b := range slices.Backward(blocks) {
		p.engine(u).add(b, now.Add(confirmTimeout), u.Spec.Pieces)
	}
}

func (p *referenceIndex) cached(u *kernel.Upstream, blocks []uint64) int {
	e := p.engine(u)
	for i, want := range blocks {
		held := slices.ContainsFunc(e.blocks, func(b referenceBlock) bool {
			believed := b.validUntil.IsZero() || !e.publishes || b.validUntil.After(p.now)
			return b.hash == want && believed
		})
		if !held {
			return i
		}
	}
	return len(blocks)
}

// prompt draws a prompt of up to 4 blocks with distinct hashes from 1 to 9.
func prompt(t *rapid.T) []uint64 {
	return rapid.SliceOfNDistinct(rapid.Uint64Range(1, 9), 0, 4, rapid.ID[uint64]).Draw(t, "prompt")
}

// TestAgainstPlain applies the same random events to the index and to the
// reference implementation and compares all lookups.
func TestAgainstPlain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := New()
		p := &referenceIndex{engines: map[ident.UpstreamID]*referenceEngine{}}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			u := engineAt(rapid.IntRange(0, 3).Draw(t, "engine"), 5)
			now = now.Add(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				c := kernel.CacheChanged{Upstream: u.ID, Stored: prompt(t), Removed: prompt(t)}
				c.Cleared = rapid.Bool().Draw(t, "cleared")
				x.Apply(u, c)
				p.apply(u, c)
			case 1:
				x.Forget(u.ID)
				delete(p.engines, u.ID)
			default:
				blocks := prompt(t)
				x.Placed(u, blocks, now)
				p.placed(u, blocks, now)
			}
			blocks := prompt(t)
			for i := range 4 {
				u := engineAt(i, 5)
				assert.Equal(t, x.CachedBlocks(u, blocks), p.cached(u, blocks))
			}
		}
		held := 0
		for _, e := range p.engines {
			held += len(e.blocks)
		}
		assert.Equal(t, x.Holdings(), held)
	})
}

// TestGapIsAnsweredBySnapshot checks that a snapshot replaces earlier events, but
// not a newer placement by this instance until confirmTimeout has passed.
func TestGapIsAnsweredBySnapshot(t *testing.T) {
	x := New()
	u := engineAt(0, 10)
	x.Apply(u, kernel.CacheChanged{Stored: []uint64{1, 2, 3}})
	x.Placed(u, []uint64{7, 8}, start)
	// Events were lost, among them the removal of blocks 2 and 3. The snapshot
	// was taken before the placement.
	x.Apply(u, kernel.CacheChanged{Cleared: true, Stored: []uint64{1}})
	assert.Equal(t, x.CachedBlocks(u, []uint64{1, 2, 3}), 1)
	assert.Equal(t, x.CachedBlocks(u, []uint64{7, 8}), 2)
	// No event confirms the placement within confirmTimeout.
	x.Placed(u, []uint64{5}, start.Add(confirmTimeout))
	assert.Equal(t, x.CachedBlocks(u, []uint64{7, 8}), 0)
}

// TestHistoryAloneServesEnginesWithoutEvents checks that for an engine that
// publishes no cache events, blocks from placements do not expire.
func TestHistoryAloneServesEnginesWithoutEvents(t *testing.T) {
	x := New()
	u := engineAt(0, 10)
	x.Placed(u, []uint64{1}, start)
	x.Placed(u, []uint64{2}, start.Add(time.Hour))
	assert.Equal(t, x.CachedBlocks(u, []uint64{1}), 1)
}

// TestMemoryIsBounded checks that the index stays within its bounds when it sees
// far more engines, replaced engines and blocks than they allow.
func TestMemoryIsBounded(t *testing.T) {
	const capacity = 4096
	x := newIndex(capacity)
	for i := range 3 * maxEngines {
		u := engineAt(i, 0)
		u.Index = i % 10
		x.Apply(u, kernel.CacheChanged{Stored: []uint64{uint64(i), uint64(i) + 1<<32}})
		assert.Assert(t, len(x.engines) <= maxEngines)
	}
	x = newIndex(capacity)
	for i := range 10 * capacity {
		x.Apply(engineAt(i%8, 0), kernel.CacheChanged{Stored: []uint64{uint64(i)}})
	}
	assert.Assert(t, x.Holdings() <= capacity)
	assert.Assert(t, len(x.slab.entries) <= capacity)
	assert.Equal(t, len(x.firstHolding), x.Holdings())
}

func BenchmarkCachedBlocks(b *testing.B) {
	for _, n := range []int{9, 100, 600} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			x := New()
			engines := make([]*kernel.Upstream, n)
			prompts := make([][]uint64, 64)
			for i := range prompts {
				// The first two of the eight blocks are the same in all prompts.
				prompts[i] = []uint64{1, 2, 0, 0, 0, 0, 0, 0}
				for j := 2; j < 8; j++ {
					prompts[i][j] = uint64(i*100 + j)
				}
			}
			for i := range engines {
				engines[i] = engineAt(i, 0)
				x.Placed(engines[i], prompts[i%len(prompts)], start)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				for _, u := range engines {
					x.CachedBlocks(u, prompts[i%len(prompts)])
				}
				i++
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/engine")
		})
	}
}
