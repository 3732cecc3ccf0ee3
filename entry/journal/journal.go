// Package journal keeps the latest decision records of an entry instance in
// memory, for `wardspoolctl explain`.
package journal

import (
	"sync"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// DefaultSize is how many records a journal keeps unless told otherwise.
const DefaultSize = 10_000

// Journal is a ring of decision records. It is safe for concurrent use.
type Journal struct {
	mu   sync.Mutex
	ring []kernel.Record
	next int
}

// New returns a journal that keeps size records, DefaultSize if size is 0.
func New(size int) *Journal {
	if size <= 0 {
		size = DefaultSize
	}
	return &Journal{ring: make([]kernel.Record, 0, size)}
}

// Add keeps a record and drops the oldest one if there are too many.
func (j *Journal) Add(r kernel.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.ring) < cap(j.ring) {
		j.ring = append(j.ring, r)
		return
	}
	j.ring[j.next] = r
	j.next = (j.next + 1) % len(j.ring)
}

// Find returns the records of a request, oldest first.
func (j *Journal) Find(id ident.RequestID) []kernel.Record {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []kernel.Record
	for i := range j.ring {
		r := &j.ring[(j.next+i)%len(j.ring)]
		if r.Request == id {
			found = append(found, *r)
		}
	}
	return found
}
