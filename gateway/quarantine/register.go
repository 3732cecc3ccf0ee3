package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

const (
	// crashThreshold is the number of upstream crashes that quarantine a content. A content that did
	// not cause the crashes rarely reaches it: a crash ends about a dozen streams, of which those
	// that are repeated run one at a time and are cleared as soon as they have produced more
	// events than before the crash.
	crashThreshold = 3
	// earlyCrashThreshold is the number of crashes before the content had produced any event that
	// quarantine it. A query of death crashes an engine in its first step. A stream of about 3 s
	// is in its first 0.1 s at one in thirty of the crashes that it did not cause, and twice in a
	// row at one in a thousand.
	earlyCrashThreshold = 2
	// initialQuarantine is how long a content is quarantined at first: the time that operators need
	// to notice the alarm and investigate. Each further crash doubles it.
	initialQuarantine = 10 * time.Minute
	// suspectPeriod is how long a content stays suspect after its last crash, or after its quarantine.
	// Callers repeat requests within their own time limits, which are seconds to a minute.
	suspectPeriod = 10 * time.Minute
	// maxDoublings bounds the length of a quarantine to 10 min x 2^10, about 7 days.
	maxDoublings = 10
	// shareDelay is how long the record of a crash is not sent to other instances if the content had
	// produced events. Nearly all of these contents, about eleven of the twelve streams of an
	// engine, did not cause the crash. Those that continue at another upstream are cleared within a
	// few hundred milliseconds, and their records need not be sent.
	shareDelay = time.Second
	// maxRecords bounds the number of records: a hundred crashes with a dozen requests each,
	// which take 200 KB.
	maxRecords = 1200
	// evictionTarget is the fraction of maxRecords that remains after an eviction, so that not each
	// further record causes a search through all of them.
	evictionTarget = 0.9
)

// Crash is a record that an upstream crashed while it was running a content.
type Crash struct {
	Content Content
	// Upstream and Incarnation identify the upstream that crashed.
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
	// Events is the number of events that the content had produced there.
	Events int
	// Cleared means that a later run of the content produced more events or completed, so the
	// content did not cause this crash.
	Cleared bool
	// Parts are the parts of the prompt, beginning with ServicePart. They are nil if the prompt has
	// no parts, or if its answer had begun, so that none of them caused the crash.
	Parts []PartEvidence
	// Silent means that the upstream answers nothing any more, and is not known to have crashed. Such
	// a record counts against the parts only.
	Silent bool
	// RanFor is how long the attempt had been at the upstream when it broke off, Unnoticed the time
	// from then until the crash was detected.
	RanFor, Unnoticed time.Duration
	// Age is the time since the crash was detected.
	Age time.Duration
}

// Attempt is an attempt that broke off because its upstream crashed or fell silent.
type Attempt struct {
	Content  Content
	Upstream dialect.Upstream
	// Events is the number of events that the content had produced there.
	Events int
	// Parts are those of PartsOf, nil if the answer to the prompt had begun.
	Parts []Part
	// Silent means that the upstream is not known to have crashed.
	Silent bool
	// SentAt is when the attempt was sent, BrokenAt when it broke off.
	SentAt, BrokenAt time.Time
}

// record is a Crash with the time at which it was detected, by this instance's clock.
type record struct {
	Crash
	detectedAt time.Time
	// shared means that the record may be sent to other instances and counts in the digest,
	// removed that it is no longer in the register, queued that it is in unsent.
	shared, removed, queued bool
}

// Register holds the crash records of an instance, both its own and those received from peers. It
// is safe for concurrent use.
type Register struct {
	mu       sync.Mutex
	contents map[Content][]*record
	// byPart holds the records of each part that is not acquitted of the crash.
	byPart map[Part][]*record
	// answers holds when services last began answers.
	answers recentAnswers
	// size is the number of records.
	size int
	// digest is the sum of the hashes of all shared records. Instances compare it to detect that
	// their records differ.
	digest uint64
	// unsent holds the records of which the other instances don't know yet what this instance does.
	unsent []*record
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{contents: map[Content][]*record{}, byPart: map[Part][]*record{}}
}

// Crashed records that the upstream of an attempt crashed or fell silent. It reports whether that was
// not yet recorded for the attempt's content.
func (r *Register) Crashed(now time.Time, a Attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, isNew, changed := r.add(now, Crash{
		Content: a.Content, Upstream: a.Upstream.ID, Incarnation: a.Upstream.Incarnation, Events: a.Events,
		Parts: evidenceOf(a.Parts), Silent: a.Silent, RanFor: a.BrokenAt.Sub(a.SentAt), Unnoticed: now.Sub(a.BrokenAt),
	})
	if isNew || changed {
		r.enqueue(k)
	}
	return isNew || changed
}

// enqueue has a record sent to the other instances. The caller holds mu.
func (r *Register) enqueue(k *record) {
	if !k.queued {
		k.queued = true
		r.unsent = append(r.unsent, k)
	}
}

// add adds a record, or merges it with the known record of the same crash and content. It returns
// the record in the register, whether it is new, and whether more is known now of the crash or of
// the parts. The caller holds mu.
func (r *Register) add(now time.Time, c Crash) (k *record, isNew, changed bool) {
	for _, known := range r.contents[c.Content] {
		if known.Upstream == c.Upstream && known.Incarnation == c.Incarnation {
			known.Cleared = known.Cleared || c.Cleared
			known.Events = max(known.Events, c.Events)
			return known, false, r.merge(known, c)
		}
	}
	k = &record{Crash: c, detectedAt: now.Add(-c.Age)}
	k.Parts = slices.Clone(c.Parts)
	r.contents[c.Content] = append(r.contents[c.Content], k)
	r.size++
	if r.index(k) {
		r.enqueue(k)
	}
	r.evict(now)
	return k, true, false
}

// merge adds what another record of the same crash and content shows of the crash and of the parts,
// and reports whether that is new. The caller holds mu.
func (r *Register) merge(known *record, c Crash) bool {
	changed := known.Silent && !c.Silent
	if changed {
		r.update(known, func() { known.Silent = false })
	}
	if len(known.Parts) == 0 && len(c.Parts) > 0 {
		r.update(known, func() {
			known.Parts, known.RanFor, known.Unnoticed = slices.Clone(c.Parts), c.RanFor, c.Unnoticed
			if r.index(known) {
				r.enqueue(known)
			}
		})
		return true
	}
	for _, e := range c.Parts {
		changed = e.Acquitted && r.acquit(known, e.Part) || changed
	}
	return changed
}

// Clear records that a run of a content produced the given number of events at an upstream, or
// completed (ended). The content did not cause the crashes before which it had produced fewer
// events.
func (r *Register) Clear(c Content, events int, ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.contents[c] {
		if ended || events > k.Events {
			k.Cleared = true
		}
	}
}

// Verdict returns whether a content may be sent, and the crashes that this is based on.
func (r *Register) Verdict(now time.Time, c Content) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return verdictOf(now, r.contents[c])
}

// Expire removes the records that have expired (see expiryOf).
func (r *Register) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.contents {
		r.expire(now, c)
	}
}

// expire removes the records of a content if they have expired (see expiryOf) and no part is suspect
// or quarantined because of them. The caller holds mu.
func (r *Register) expire(now time.Time, c Content) {
	if !now.Before(expiryOf(r.contents[c])) && r.worstPart(now, r.contents[c], map[servicePart]Standing{}) == Clear {
		r.remove(c)
	}
}

// worstPart returns the worst standing of the parts of records, of those not acquitted. It keeps the
// standings of parts in known. The caller holds mu.
func (r *Register) worstPart(now time.Time, records []*record, known map[servicePart]Standing) Standing {
	worst := Clear
	for _, k := range records {
		for _, e := range k.Parts[min(1, len(k.Parts)):] {
			if e.Acquitted {
				continue
			}
			p := servicePart{k.service(), e.Part}
			standing, ok := known[p]
			if !ok {
				standing = r.partVerdict(now, p).Standing
				known[p] = standing
			}
			worst = max(worst, standing)
		}
	}
	return worst
}

// remove removes the records of a content. The caller holds mu.
func (r *Register) remove(c Content) {
	for _, k := range r.contents[c] {
		if k.shared {
			r.digest -= digestOf(k.Crash)
		}
		k.shared, k.removed = false, true
		for _, e := range k.Parts {
			if !e.Acquitted {
				r.unindex(k, e.Part)
			}
		}
		r.size--
	}
	delete(r.contents, c)
}

// evict removes contents if there are more than maxRecords records, until evictionTarget of that
// number is left. It removes clear contents first, then suspect ones and quarantined ones last,
// and of each kind those with the oldest crash first. The caller holds mu.
func (r *Register) evict(now time.Time) {
	if r.size <= maxRecords {
		return
	}
	ranks, parts := map[Content]evictionRank{}, map[servicePart]Standing{}
	for c, crashes := range r.contents {
		rank := evictionRankOf(now, crashes)
		rank.standing = max(rank.standing, r.worstPart(now, crashes, parts))
		ranks[c] = rank
	}
	order := slices.SortedFunc(maps.Keys(ranks), func(a, b Content) int { return ranks[a].compare(ranks[b]) })
	for _, c := range order {
		if float64(r.size) <= evictionTarget*maxRecords {
			return
		}
		r.remove(c)
	}
}
