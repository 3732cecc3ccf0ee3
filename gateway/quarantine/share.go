package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// share marks a record as shared with all instances and adds it to the digest. The caller holds mu.
func (r *Register) share(k *record) {
	if !k.shared && !k.removed {
		k.shared = true
		r.digest += hashOf(k.Crash)
	}
}

// hashOf returns a hash that identifies a record by content, upstream and incarnation.
func hashOf(c Crash) uint64 {
	b := binary.BigEndian.AppendUint64(nil, uint64(c.Content))
	b = binary.BigEndian.AppendUint64(b, uint64(c.Incarnation))
	return xxhash.Sum64(append(b, c.Upstream...))
}

// Digest returns a digest of the shared records, 0 if there are none. If the digests of two
// instances differ, so do their shared records.
func (r *Register) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digest
}

// maxRecordsPerMessage bounds the number of records in one message. A record takes about 35 bytes.
const maxRecordsPerMessage = 256

// TakeUnsent returns the records of this instance that are due to be sent to all other instances,
// and marks them as shared. It returns each record only once.
func (r *Register) TakeUnsent(now time.Time) []Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Crash
	var later []*record
	for _, k := range r.unsent {
		switch {
		case k.Events > 0 && now.Sub(k.detectedAt) < shareDelay && !k.Cleared:
			later = append(later, k)
		case k.removed, k.Events > 0 && k.Cleared:
			// The content did not cause the crash, so no other instance needs the record.
		default:
			r.share(k)
			out = append(out, k.withAge(now))
		}
	}
	r.unsent = later
	return out
}

// HasUnsent reports whether there are records that TakeUnsent may return now or later.
func (r *Register) HasUnsent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unsent) > 0
}

// withAge returns a record as it is sent to a peer, with its age.
func (k *record) withAge(now time.Time) Crash {
	c := k.Crash
	c.Age = now.Sub(k.detectedAt)
	return c
}

// SharedRecords returns the shared records, newest first and at most maxRecordsPerMessage.
func (r *Register) SharedRecords(now time.Time) []Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Crash
	for _, crashes := range r.contents {
		for _, k := range crashes {
			if k.shared {
				out = append(out, k.withAge(now))
			}
		}
	}
	slices.SortFunc(out, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Content, b.Content), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out[:min(len(out), maxRecordsPerMessage)]
}

// ShareContent returns all records of a content, and marks them as shared.
func (r *Register) ShareContent(now time.Time, c Content) []Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Crash
	for _, k := range r.contents[c] {
		r.share(k)
		out = append(out, k.withAge(now))
	}
	return out
}

// Merge adds the records that a peer sent, and returns those that were not yet known.
func (r *Register) Merge(now time.Time, received []Crash) []Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var added []Crash
	for _, c := range received {
		k, isNew := r.add(now, c)
		r.share(k)
		if isNew {
			added = append(added, c)
		}
	}
	// Records that the sender was about to expire must not be passed around among instances for
	// ever.
	for _, c := range added {
		r.expire(now, c.Content)
	}
	return added
}
