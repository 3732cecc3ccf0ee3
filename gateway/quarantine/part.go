package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

// Part identifies a part of prompts that requests may share: a hash of the part's ID, the first 8
// bytes of a SHA-256.
type Part uint64

// String returns the part in hexadecimal, as used in logs, "" for 0.
func (p Part) String() string {
	if p == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", uint64(p))
}

// PartsOf returns the parts with the given IDs of a prompt to a service, each once, preceded by
// ServicePart.
func PartsOf(service string, ids []string) []Part {
	parts := []Part{ServicePart(service)}
	for _, id := range ids {
		if p := PartOf(id); !slices.Contains(parts, p) {
			parts = append(parts, p)
		}
	}
	return parts
}

// PartOf returns the part with the given ID.
func PartOf(id string) Part { return hashPart("part", id) }

// ServicePart returns the part that all prompts to a service have. If even that is not acquitted of
// a crash, the service answers no prompt at all.
func ServicePart(service string) Part { return hashPart("service", service) }

// hashPart returns the part with the given name among those of a kind.
func hashPart(kind, name string) Part {
	h := sha256.New()
	writePart(h, kind)
	writePart(h, name)
	return Part(binary.BigEndian.Uint64(h.Sum(nil)))
}

// servicePart is a part of the prompts to a service.
type servicePart struct{ service, part Part }

// PartEvidence is a part of a prompt that was at an upstream when it crashed.
type PartEvidence struct {
	Part Part
	// Acquitted means that the service began an answer to a prompt with the part shortly before the
	// crash or after it.
	Acquitted bool
}

// evidenceOf returns the evidence on the given parts, none of which is acquitted.
func evidenceOf(parts []Part) []PartEvidence {
	var out []PartEvidence
	for _, p := range parts {
		out = append(out, PartEvidence{Part: p})
	}
	return out
}

const (
	// acquittalPeriod is how long before a crash an answer must have begun to acquit the parts of
	// its prompt. It protects the parts that most prompts have while crashes leave few answers. A
	// part that begins to crash upstreams is recognized later by this time.
	acquittalPeriod = 5 * time.Second
	// maxBegunParts bounds the number of parts whose last answer is remembered, which take 400 KB.
	maxBegunParts = 8192
)

// begunParts remembers for at least acquittalPeriod when a service last began an answer to a prompt
// with a part. The zero value is ready to use.
type begunParts struct {
	current, previous map[servicePart]time.Time
	since             time.Time
}

// add records that an answer has begun.
func (b *begunParts) add(now time.Time, p servicePart) {
	if b.current == nil || now.Sub(b.since) >= acquittalPeriod {
		b.previous, b.current, b.since = b.current, map[servicePart]time.Time{}, now
	}
	if _, known := b.current[p]; known || len(b.current) < maxBegunParts/2 {
		b.current[p] = now
	}
}

// last returns when an answer last began, zero if that is not known.
func (b *begunParts) last(p servicePart) time.Time {
	if at, ok := b.current[p]; ok {
		return at
	}
	return b.previous[p]
}

// index adds a record to those of its parts, except for parts that are acquitted. It reports
// whether this instance acquits any. The caller holds mu.
func (r *Register) index(k *record) (acquitted bool) {
	for i, e := range k.Parts {
		switch {
		case e.Acquitted:
		case r.begun.last(servicePart{k.service(), e.Part}).After(k.brokenAt().Add(-acquittalPeriod)):
			k.Parts[i].Acquitted, acquitted = true, true
		default:
			r.byPart[e.Part] = append(r.byPart[e.Part], k)
		}
	}
	return acquitted
}

// unindex removes a record from those of a part. The caller holds mu.
func (r *Register) unindex(k *record, p Part) {
	rest := slices.DeleteFunc(r.byPart[p], func(o *record) bool { return o == k })
	r.byPart[p] = rest
	if len(rest) == 0 {
		delete(r.byPart, p)
	}
}

// acquit acquits a part of the crash of a record, and reports whether it was not acquitted before.
// The caller holds mu.
func (r *Register) acquit(k *record, p Part) bool {
	i := slices.IndexFunc(k.Parts, func(e PartEvidence) bool { return e.Part == p })
	if i < 0 || k.Parts[i].Acquitted {
		return false
	}
	r.change(k, func() { k.Parts[i].Acquitted = true })
	r.unindex(k, p)
	return true
}

// Begun records that a service has begun an answer to a prompt with the given parts, those of PartsOf,
// which acquits them of the service's crashes so far. It reports whether the other instances must be told, by TakeUnsent.
func (r *Register) Begun(now time.Time, parts []Part) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	tell := false
	for _, p := range parts {
		r.begun.add(now, servicePart{parts[0], p})
		for _, k := range slices.Clone(r.byPart[p]) {
			if k.service() == parts[0] && !k.brokenAt().After(now) && r.acquit(k, p) {
				r.enqueue(k)
				tell = true
			}
		}
	}
	return tell
}
