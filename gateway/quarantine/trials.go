package quarantine

import (
	"sync"
	"time"

	"github.com/wardspool/wardspool/ident"
)

const (
	// maxTrials bounds the number of trials that one instance tracks at the same time.
	maxTrials = 1024
	// MaxTrialTime is the longest time that a trial lasts if its holder doesn't end it, which
	// happens if the holder has crashed. The first event of a stream shows whether the content is
	// harmless, and is due within a second. A stream that its caller resumes may wait a few
	// seconds for capacity.
	MaxTrialTime = 5 * time.Second
)

// Trials tracks the attempts with suspect subjects that one instance has allowed, at most one at a time for
// each subject. It is safe for concurrent use.
type Trials struct {
	mu     sync.Mutex
	active map[Subject]trial
}

// trial is an attempt in progress.
type trial struct {
	// holder is the instance that makes the attempt, until when the trial lapses.
	holder ident.InstanceID
	until  time.Time
}

// NewTrials returns a Trials without attempts in progress.
func NewTrials() *Trials { return &Trials{active: map[Subject]trial{}} }

// Begin reports whether an instance may make an attempt with a subject, and records the trial if
// so. It is refused while another trial of the subject is in progress, and while maxTrials
// trials are. The trial lapses after the given duration or MaxTrialTime, whichever is shorter.
func (t *Trials) Begin(now time.Time, s Subject, holder ident.InstanceID, duration time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.active[s]; ok && now.Before(o.until) {
		return false
	}
	if len(t.active) >= maxTrials {
		t.expire(now)
	}
	if len(t.active) >= maxTrials {
		return false
	}
	t.active[s] = trial{holder: holder, until: now.Add(min(duration, MaxTrialTime))}
	return true
}

// expire removes the trials that have lapsed. The caller holds mu.
func (t *Trials) expire(now time.Time) {
	for s, o := range t.active {
		if !now.Before(o.until) {
			delete(t.active, s)
		}
	}
}

// End ends the trial of a subject. It has no effect if the trial is another instance's.
func (t *Trials) End(s Subject, holder ident.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active[s].holder == holder {
		delete(t.active, s)
	}
}
