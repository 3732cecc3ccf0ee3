// Package prefix keeps what is known of the prompt blocks that each upstream
// holds in its prefix cache.
package prefix

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Index implements kernel.PrefixStore. Use New.
type Index struct {
	held map[ident.UpstreamID]map[uint64]struct{}
}

var _ kernel.PrefixStore = (*Index)(nil)

// New returns an empty index.
func New() *Index {
	return &Index{held: map[ident.UpstreamID]map[uint64]struct{}{}}
}

// Apply implements kernel.PrefixStore.
func (x *Index) Apply(u *kernel.Upstream, c kernel.CacheChanged) {
	if c.Cleared {
		delete(x.held, u.ID)
	}
	for _, b := range c.Removed {
		delete(x.held[u.ID], b)
	}
	x.add(u.ID, c.Stored)
}

// Placed implements kernel.PrefixStore.
func (x *Index) Placed(u *kernel.Upstream, blocks []uint64, _ time.Time) { x.add(u.ID, blocks) }

// Forget implements kernel.PrefixStore.
func (x *Index) Forget(id ident.UpstreamID) { delete(x.held, id) }

func (x *Index) add(id ident.UpstreamID, blocks []uint64) {
	set := x.held[id]
	if set == nil {
		set = map[uint64]struct{}{}
		x.held[id] = set
	}
	for _, b := range blocks {
		set[b] = struct{}{}
	}
}

// CachedBlocks implements kernel.PrefixIndex.
func (x *Index) CachedBlocks(u *kernel.Upstream, blocks []uint64) int {
	set := x.held[u.ID]
	for i, b := range blocks {
		if _, ok := set[b]; !ok {
			return i
		}
	}
	return len(blocks)
}
