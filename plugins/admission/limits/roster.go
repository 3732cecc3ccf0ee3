package limits

import (
	"iter"
	"slices"
	"strings"

	"github.com/wardspool/wardspool/ident"
)

// peerMap is a map from peer to item that is ordered by the peer's ID.
// Floating-point sums depend on the order of their terms, and equal sequences of
// events must give equal results.
type peerMap[T any] struct {
	peers []ident.InstanceID
	items []*T
}

// find returns the position of the peer and whether the peer is present.
func (r *peerMap[T]) find(peer ident.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(r.peers, peer, func(a, b ident.InstanceID) int {
		return strings.Compare(string(a), string(b))
	})
}

// get returns the peer's item, or nil if there is none.
func (r *peerMap[T]) get(peer ident.InstanceID) *T {
	i, ok := r.find(peer)
	if !ok {
		return nil
	}
	return r.items[i]
}

// put sets the peer's item.
func (r *peerMap[T]) put(peer ident.InstanceID, item *T) {
	i, ok := r.find(peer)
	if ok {
		r.items[i] = item
		return
	}
	r.peers = slices.Insert(r.peers, i, peer)
	r.items = slices.Insert(r.items, i, item)
}

// remove deletes the peer's item, if there is one.
func (r *peerMap[T]) remove(peer ident.InstanceID) {
	i, ok := r.find(peer)
	if !ok {
		return
	}
	r.peers = slices.Delete(r.peers, i, i+1)
	r.items = slices.Delete(r.items, i, i+1)
}

// removeIf deletes the items for which drop returns true.
func (r *peerMap[T]) removeIf(drop func(ident.InstanceID, *T) bool) {
	for i := len(r.peers) - 1; i >= 0; i-- {
		if drop(r.peers[i], r.items[i]) {
			r.peers = slices.Delete(r.peers, i, i+1)
			r.items = slices.Delete(r.items, i, i+1)
		}
	}
}

// all iterates over the items in the order of the peers' IDs. The map must not
// be changed during the iteration.
func (r *peerMap[T]) all() iter.Seq2[ident.InstanceID, *T] {
	return func(yield func(ident.InstanceID, *T) bool) {
		for i := range r.peers {
			if !yield(r.peers[i], r.items[i]) {
				return
			}
		}
	}
}

// len returns the number of items.
func (r *peerMap[T]) len() int { return len(r.peers) }
