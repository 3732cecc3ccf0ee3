package membership

import "time"

// absence marks that an upstream gave no evidence of liveness after a report.
// Two marks merge by maximum, so that order and repetition have no effect; a
// newer report clears the mark.
type absence struct {
	// after is the sequence of that report plus 1; 0 if there is no mark.
	after uint32
	// learnedAt is when this instance learned of the mark, since the epoch.
	learnedAt time.Duration
}

// merge records that the upstream was absent after the report with the given
// sequence. It reports whether that is new.
func (a *absence) merge(now time.Duration, sequence uint32) bool {
	if sequence+1 <= a.after {
		return false
	}
	a.after, a.learnedAt = sequence+1, now
	return true
}

// holds reports whether the mark is newer than the newest report and than the
// last call to the upstream that succeeded from this instance.
func (a *absence) holds(newest uint32, reached time.Duration) bool {
	return a.after > newest && a.learnedAt >= reached
}
