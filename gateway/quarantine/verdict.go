package quarantine

import (
	"cmp"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Standing says whether a content may be sent to upstreams.
type Standing int

const (
	// Clear contents have caused no crash, as far as is known.
	Clear Standing = iota
	// Suspect contents were running at an upstream that crashed. All instances together make only
	// one attempt with them at a time.
	Suspect
	// Quarantined contents are sent to no upstream.
	Quarantined
)

// String returns the name used in logs and for operators.
func (s Standing) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	default:
		return "clear"
	}
}

// Verdict is the standing of a content or of a part of prompts, with the crashes that it is based
// on. Cleared crashes are not counted.
type Verdict struct {
	Standing Standing
	// Part is the part, 0 in the verdict on a content.
	Part Part
	// Crashes counts the upstreams that crashed while running the content, Early those of them
	// that crashed before the content had produced an event.
	Crashes, Early int
	// Remaining is the remaining time of a quarantine, 0 for other standings.
	Remaining time.Duration
	// Upstreams are the upstreams that crashed, crashes their crashes in the verdict on a part.
	Upstreams []ident.UpstreamID
	crashes   []crashID
}

// Subject is a content or a part of prompts, as the subject of a trial.
type Subject uint64

// String returns the subject in hexadecimal, as used in logs.
func (s Subject) String() string { return Content(s).String() }

// verdictOf returns the verdict on a content from its records.
func verdictOf(now time.Time, crashes []*record) Verdict {
	var v Verdict
	var last time.Time
	for _, k := range crashes {
		if k.Cleared || k.Silent {
			continue
		}
		v.Crashes++
		if k.Events == 0 {
			v.Early++
		}
		if k.detectedAt.After(last) {
			last = k.detectedAt
		}
		v.Upstreams = append(v.Upstreams, k.Upstream)
	}
	v.Remaining = last.Add(v.quarantinePeriod()).Sub(now)
	switch {
	case v.Crashes == 0:
		return Verdict{}
	case v.quarantinePeriod() > 0 && v.Remaining > 0:
		v.Standing = Quarantined
	case now.Before(last.Add(v.quarantinePeriod() + suspectPeriod)):
		v.Standing, v.Remaining = Suspect, 0
	default:
		return Verdict{}
	}
	return v
}

// quarantinePeriod returns how long after its last crash a content is quarantined, 0 if it is only
// suspect.
func (v Verdict) quarantinePeriod() time.Duration {
	if v.Crashes < crashThreshold && v.Early < earlyCrashThreshold {
		return 0
	}
	return initialQuarantine << min(maxDoublings, max(0, v.Crashes-crashThreshold))
}

// expiryOf returns when the records of a content can be removed, because it is neither suspect nor
// quarantined any more. Records of a cleared content are kept for suspectPeriod too, so that they
// don't count as new if a peer sends them again.
func expiryOf(crashes []*record) time.Time {
	var last time.Time
	for _, k := range crashes {
		if k.detectedAt.After(last) {
			last = k.detectedAt
		}
	}
	return last.Add(verdictOf(last, crashes).quarantinePeriod() + suspectPeriod)
}

// evictionRank is the order in which contents are evicted, lowest first: by standing, then by the time
// of the last crash.
type evictionRank struct {
	standing Standing
	last     time.Time
}

// evictionRankOf returns the eviction rank of a content from its records.
func evictionRankOf(now time.Time, crashes []*record) evictionRank {
	w := evictionRank{standing: verdictOf(now, crashes).Standing}
	for _, k := range crashes {
		if k.detectedAt.After(w.last) {
			w.last = k.detectedAt
		}
	}
	return w
}

// compare returns a negative number if w is evicted before o.
func (w evictionRank) compare(o evictionRank) int {
	return cmp.Or(cmp.Compare(w.standing, o.standing), w.last.Compare(o.last))
}
