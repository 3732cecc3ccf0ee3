package membership

import "time"

// absence is the mark that an upstream gave no sign of life after a report. Two
// of them combine by maximum, so that order and repetition are without effect; a
// newer report lifts it.
type absence struct {
	// after is 1 more than the sequence of the report, 0 if there is no mark.
	after uint32
	// learned is when the mark became known here, since the epoch.
	learned time.Duration
}

// merge takes in that the upstream was absent after the report of the given
// sequence. It reports whether that is news.
func (a *absence) merge(now time.Duration, sequence uint32) bool {
	if sequence+1 <= a.after {
		return false
	}
	a.after, a.learned = sequence+1, now
	return true
}

// holds reports whether the mark is younger than the newest report, and than the
// upstream's last answer to this instance.
func (a *absence) holds(newest uint32, reached time.Duration) bool {
	return a.after > newest && a.learned >= reached
}
