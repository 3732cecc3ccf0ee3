package quarantine

import (
	"slices"
	"time"
)

// index adds a record to those of its parts, except for parts that are acquitted. It reports
// whether this instance acquits any. The caller holds mu.
func (r *Register) index(k *record) (acquitted bool) {
	for i, e := range k.Parts {
		switch {
		case e.Acquitted:
		case r.answers.last(servicePart{k.service(), e.Part}).After(k.brokenAt().Add(-acquittalPeriod)):
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
	r.update(k, func() { k.Parts[i].Acquitted = true })
	r.unindex(k, p)
	return true
}

// AnswerBegun records that a service has begun an answer to a prompt with the given parts, those of PartsOf,
// which acquits them of the service's crashes so far. It reports whether the other instances must be told, by TakeUnsent.
func (r *Register) AnswerBegun(now time.Time, parts []Part) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	tell := false
	for _, p := range parts {
		r.answers.add(now, servicePart{parts[0], p})
		for _, k := range slices.Clone(r.byPart[p]) {
			if k.service() == parts[0] && !k.brokenAt().After(now) && r.acquit(k, p) {
				r.enqueue(k)
				tell = true
			}
		}
	}
	return tell
}
