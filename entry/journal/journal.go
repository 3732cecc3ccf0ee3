// Package journal keeps the latest decision records of an entry instance in
// memory, and which calls came with tickets, for `wardspoolctl explain`.
package journal

import (
	"slices"
	"sync"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// DefaultSize is how many records a journal keeps unless told otherwise.
const DefaultSize = 10_000

// recordsPerPresentation is how many records are kept for one presentation: a
// call that runs by its ticket leaves about that many at least.
const recordsPerPresentation = 2

// Journal is a ring of decision records and one of presentations. It is safe
// for concurrent use.
type Journal struct {
	mu            sync.Mutex
	records       ring[kernel.Record]
	presentations ring[Presentation]
}

// New returns a journal that keeps size records, DefaultSize if size is 0.
func New(size int) *Journal {
	if size <= 0 {
		size = DefaultSize
	}
	return &Journal{
		records:       newRing[kernel.Record](size),
		presentations: newRing[Presentation](max(size/recordsPerPresentation, 1)),
	}
}

// Add keeps a record and drops the oldest one if there are too many.
func (j *Journal) Add(r kernel.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records.add(r)
}

// Find returns the records of a request, oldest first. Those of a call that ran
// by a ticket are found by each caller's ID that presented the ticket here.
func (j *Journal) Find(id ident.RequestID) []kernel.Record {
	ids := []ident.RequestID{id}
	for _, p := range j.Presentations(id) {
		if p.Request == id {
			ids = append(ids, p.Run)
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.records.find(func(r *kernel.Record) bool { return slices.Contains(ids, r.Request) })
}
