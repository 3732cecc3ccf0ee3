// Package journal keeps the latest decision records of an entry instance and
// the latest presentations of tickets in memory, for `wardspoolctl explain`.
package journal

import (
	"slices"
	"sync"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// DefaultSize is the number of records that a journal keeps by default.
const DefaultSize = 10_000

// recordsPerPresentation is the number of records kept per kept presentation: a
// call that runs by its ticket adds at least about that many records.
const recordsPerPresentation = 2

// Journal holds a ring buffer of decision records and one of presentations. It
// is safe for concurrent use.
type Journal struct {
	mu            sync.Mutex
	records       ring[kernel.Record]
	presentations ring[Presentation]
}

// New returns a journal that keeps size records, or DefaultSize records if size
// is not positive.
func New(size int) *Journal {
	if size <= 0 {
		size = DefaultSize
	}
	return &Journal{
		records:       newRing[kernel.Record](size),
		presentations: newRing[Presentation](max(size/recordsPerPresentation, 1)),
	}
}

// Add adds a record and discards the oldest one if the journal is full.
func (j *Journal) Add(r kernel.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records.add(r)
}

// Find returns the records of a request, oldest first. The records of a call
// that ran by a ticket are found by the ID of each request that presented the
// ticket at this instance.
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
