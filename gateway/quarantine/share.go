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
		r.digest += digestOf(k.Crash)
	}
}

// update changes a record, and the digest with it. The caller holds mu.
func (r *Register) update(k *record, change func()) {
	if k.shared {
		r.digest -= digestOf(k.Crash)
	}
	change()
	if k.shared {
		r.digest += digestOf(k.Crash)
	}
}

// hashOf returns a hash that identifies a record by content, upstream and incarnation.
func hashOf(c Crash) uint64 {
	b := binary.BigEndian.AppendUint64(nil, uint64(c.Content))
	b = binary.BigEndian.AppendUint64(b, uint64(c.Incarnation))
	return xxhash.Sum64(append(b, c.Upstream...))
}

// digestOf returns what a record adds to the digest: its hash, that of each acquittal, and one more
// while the upstream is not known to have crashed.
func digestOf(c Crash) uint64 {
	id := hashOf(c)
	sum := id
	if c.Silent {
		sum += xxhash.Sum64(binary.BigEndian.AppendUint64(nil, id))
	}
	for _, e := range c.Parts {
		if e.Acquitted {
			b := binary.BigEndian.AppendUint64(nil, id)
			sum += xxhash.Sum64(binary.BigEndian.AppendUint64(b, uint64(e.Part)))
		}
	}
	return sum
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

// TakeUnsent returns the records that are due to be sent to all other instances, and marks them as
// shared: those of this instance, and those of which it acquitted a part. It returns each record
// only once, unless more is known of it.
func (r *Register) TakeUnsent(now time.Time) []Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Crash
	var later []*record
	for _, k := range r.unsent {
		begun := k.Events > 0 && len(k.Parts) == 0
		switch {
		case begun && now.Sub(k.detectedAt) < shareDelay && !k.Cleared:
			later = append(later, k)
			continue
		case k.removed, begun && k.Cleared:
			// The content did not cause the crash, so no other instance needs the record.
		default:
			r.share(k)
			out = append(out, k.withAge(now))
		}
		k.queued = false
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
	c.Parts = slices.Clone(k.Parts)
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

// ShareRecords returns all records of a subject, and marks them as shared.
func (r *Register) ShareRecords(now time.Time, s Subject) []Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Crash
	for _, k := range slices.Concat(r.contents[Content(s)], r.byPart[Part(s)]) {
		r.share(k)
		out = append(out, k.withAge(now))
	}
	return out
}

// Merge adds the records that a peer sent, and returns those that show something new.
func (r *Register) Merge(now time.Time, received []Crash) []Crash {
	r.mu.Lock()
	defer r.mu.Unlock()
	var added []Crash
	for _, c := range received {
		k, isNew, changed := r.add(now, c)
		r.share(k)
		if isNew || changed {
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
