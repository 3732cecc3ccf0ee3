// Package table provides a map from upstreams to values whose lookups take only a
// few nanoseconds, because they use the upstream's index in the view.
package table

import (
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// maxEntries is the maximum number of entries of a table. A table is not informed
// when upstreams are replaced, so that old entries accumulate. A full table is
// emptied before the next entry is added.
const maxEntries = 8192

// entry is one upstream's value.
type entry[T any] struct {
	id    ident.UpstreamID
	value T
}

// Table maps upstreams to values. The zero Table is empty and ready for use.
// Its pointers are valid until the next call that adds an entry.
type Table[T any] struct {
	byID map[ident.UpstreamID]*entry[T]
	// byIndex is a cache for byID: the entry of the upstream last seen at each
	// index. New views may renumber upstreams, so the ID is checked on each use.
	byIndex []*entry[T]
}

// At returns the upstream's value, adding a zero value if there is none.
func (t *Table[T]) At(u *kernel.Upstream) *T {
	if u.Index < len(t.byIndex) {
		e := t.byIndex[u.Index]
		if e != nil && e.id == u.ID {
			return &e.value
		}
	}
	return t.find(u)
}

// find returns the upstream's value from the map, adding a zero value if there is
// none, and caches the entry by index.
func (t *Table[T]) find(u *kernel.Upstream) *T {
	e := t.byID[u.ID]
	if e == nil {
		e = t.add(u.ID)
	}
	for len(t.byIndex) <= u.Index {
		t.byIndex = append(t.byIndex, nil)
	}
	t.byIndex[u.Index] = e
	return &e.value
}

// add adds an entry with a zero value. It empties a full table first.
func (t *Table[T]) add(id ident.UpstreamID) *entry[T] {
	if t.byID == nil || len(t.byID) >= maxEntries {
		t.Clear()
	}
	e := &entry[T]{id: id}
	t.byID[id] = e
	return e
}

// Get returns the value of the upstream with the given ID, nil if there is none.
func (t *Table[T]) Get(id ident.UpstreamID) *T {
	e := t.byID[id]
	if e == nil {
		return nil
	}
	return &e.value
}

// Delete removes an upstream's value.
func (t *Table[T]) Delete(id ident.UpstreamID) {
	e := t.byID[id]
	if e == nil {
		return
	}
	delete(t.byID, id)
	for i := range t.byIndex {
		if t.byIndex[i] == e {
			t.byIndex[i] = nil
		}
	}
}

// Clear removes all values.
func (t *Table[T]) Clear() {
	t.byID = map[ident.UpstreamID]*entry[T]{}
	t.byIndex = nil
}
