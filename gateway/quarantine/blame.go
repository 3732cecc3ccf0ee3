package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

const (
	// partCrashThreshold is the number of successive crashes that quarantine a part. Only crashes
	// count beside which the service answers other prompts. Crashes at the same moment count once: a
	// rack or a service that fails takes many upstreams, and all of them had prompts with the same
	// first part.
	partCrashThreshold = 3
	// partCrashShare is the share of the service's crashes at which a part must have been for that.
	// With a smaller share the threshold is larger in proportion, since upstreams crash for other
	// reasons too.
	partCrashShare = 0.5
)

// PartsVerdict returns whether a prompt with the given parts may be sent, and the crashes that this
// is based on. The verdict is that of the part which incriminates the prompt most.
func (r *Register) PartsVerdict(now time.Time, parts []Part) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	var worst Verdict
	for _, p := range parts[min(1, len(parts)):] {
		v := r.partVerdict(now, servicePart{parts[0], p})
		if v.Standing == Clear {
			v = r.verdictElsewhere(now, servicePart{parts[0], p})
		}
		if v.Standing != Clear {
			v = r.weigh(now, v, parts)
		}
		if cmp.Or(cmp.Compare(v.Standing, worst.Standing), cmp.Compare(v.Crashes, worst.Crashes)) > 0 {
			worst = v
		}
	}
	return worst
}

// recordsOf returns the records of the crashes of a service's upstreams of which a part is not
// acquitted. The caller holds mu.
func (r *Register) recordsOf(p servicePart) []*record {
	return slices.DeleteFunc(slices.Clone(r.byPart[p.part]), func(k *record) bool { return k.service() != p.service })
}

// verdictElsewhere returns the verdict on a part that is quarantined at another service: it is tried,
// one prompt at a time, and quarantined after the first crash. It is clear if the service has
// recently begun an answer to a prompt with it. The caller holds mu.
func (r *Register) verdictElsewhere(now time.Time, p servicePart) Verdict {
	if len(r.byPart[p.part]) < partCrashThreshold || now.Sub(r.answers.last(p)) < acquittalPeriod {
		return Verdict{}
	}
	var worst Verdict
	for _, service := range r.servicesOf(p.part) {
		if v := r.partVerdict(now, servicePart{service, p.part}); v.Standing > worst.Standing {
			worst = v
		}
	}
	if worst.Standing == Quarantined && len(r.recordsOf(p)) == 0 {
		worst.Standing, worst.Remaining = Suspect, 0
	}
	return worst
}

// servicesOf returns the ServiceParts of the records of a part. The caller holds mu.
func (r *Register) servicesOf(p Part) []Part {
	var services []Part
	for _, k := range r.byPart[p] {
		if !slices.Contains(services, k.service()) {
			services = append(services, k.service())
		}
	}
	return services
}

// partVerdict returns the verdict on a part of the prompts to a service from the crashes of which it
// is not acquitted. The caller holds mu.
func (r *Register) partVerdict(now time.Time, p servicePart) Verdict {
	if len(r.byPart[p.part]) < partCrashThreshold {
		return Verdict{}
	}
	records := r.recordsOf(p)
	whileServing := slices.DeleteFunc(slices.Clone(records), func(k *record) bool { return !k.Parts[0].Acquitted })
	if len(whileServing) < partCrashThreshold {
		return Verdict{}
	}
	successive := successiveCrashes(whileServing)
	if successive < partCrashThreshold || float64(successive) < r.crashesNeeded(records, successive) {
		return Verdict{}
	}
	v := crashesOf(p.part, records)
	period := initialQuarantine << min(maxDoublings, successive-partCrashThreshold)
	v.Remaining = slices.MaxFunc(records, byDetection).detectedAt.Add(period).Sub(now)
	switch {
	case v.Remaining > 0:
		v.Standing = Quarantined
	case v.Remaining > -suspectPeriod:
		v.Standing, v.Remaining = Suspect, 0
	default:
		return Verdict{}
	}
	return v
}

// crashesOf returns a verdict on a part with the crashes of the given records, each once.
func crashesOf(p Part, records []*record) Verdict {
	v := Verdict{Part: p}
	for _, k := range records {
		if !slices.Contains(v.crashes, k.crashID()) {
			v.crashes = append(v.crashes, k.crashID())
			v.Upstreams = append(v.Upstreams, k.Upstream)
		}
	}
	v.Crashes, v.Early = len(v.crashes), len(v.crashes)
	return v
}

// crashesNeeded returns how many successive crashes quarantine a part with the given records and
// number of such crashes. The caller holds mu.
func (r *Register) crashesNeeded(records []*record, successive int) float64 {
	from := slices.MinFunc(records, func(a, b *record) int { return a.sentAt().Compare(b.sentAt()) }).sentAt()
	to := slices.MaxFunc(records, byEnd).brokenAt()
	var all []*record
	for _, crashes := range r.contents {
		for _, k := range crashes {
			if len(k.Parts) > 0 && k.service() == records[0].service() && !k.sentAt().Before(from) && !k.brokenAt().After(to) {
				all = append(all, k)
			}
		}
	}
	return partCrashThreshold * partCrashShare * float64(successiveCrashes(all)) / float64(successive)
}

// weigh returns the verdict on a prompt from that on one of its parts. Parts that the prompt does
// not have may explain the same crashes: if one explains more, it is to blame instead; if one
// explains as many, a trial of the prompt shows which of them is.
func (r *Register) weigh(now time.Time, v Verdict, parts []Part) Verdict {
	for _, p := range r.explanations(v.crashes) {
		if slices.Contains(parts, p) {
			continue
		}
		other := r.partVerdict(now, servicePart{parts[0], p})
		if other.Standing == Quarantined && other.Crashes > v.Crashes {
			return Verdict{}
		}
		v.Standing, v.Remaining = Suspect, 0
	}
	return v
}

// explanations returns the parts that were at the upstream in each of the given crashes and are not
// acquitted of any. The caller holds mu.
func (r *Register) explanations(crashes []crashID) []Part {
	present := map[Part]map[crashID]bool{}
	for p, records := range r.byPart {
		for _, k := range records {
			id := k.crashID()
			if !slices.Contains(crashes, id) || k.service() == p {
				continue
			}
			if present[p] == nil {
				present[p] = map[crashID]bool{}
			}
			present[p][id] = true
		}
	}
	var out []Part
	for p, ids := range present {
		if len(ids) == len(crashes) {
			out = append(out, p)
		}
	}
	return out
}

// crashID identifies the crash of an upstream.
type crashID struct {
	upstream    ident.UpstreamID
	incarnation ident.Incarnation
}

// crashID returns the crash that a record is about.
func (k *record) crashID() crashID { return crashID{k.Upstream, k.Incarnation} }

// service returns the ServicePart of a record that has parts.
func (k *record) service() Part { return k.Parts[0].Part }

// brokenAt returns when the attempt broke off, sentAt when it was sent to the upstream.
func (k *record) brokenAt() time.Time { return k.detectedAt.Add(-k.Unnoticed) }
func (k *record) sentAt() time.Time   { return k.brokenAt().Add(-k.RanFor) }

// byDetection compares records by when the crash was detected, byEnd by when their attempts broke off.
func byDetection(a, b *record) int { return a.detectedAt.Compare(b.detectedAt) }

func byEnd(a, b *record) int { return a.brokenAt().Compare(b.brokenAt()) }

// successiveCrashes returns the largest number of the records such that each attempt was sent after
// the one before had broken off.
func successiveCrashes(records []*record) int {
	n := 0
	var last time.Time
	for _, k := range slices.SortedFunc(slices.Values(records), byEnd) {
		if n == 0 || !k.sentAt().Before(last) {
			n++
			last = k.brokenAt()
		}
	}
	return n
}
