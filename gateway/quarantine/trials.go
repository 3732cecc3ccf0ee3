package quarantine

import (
	"sync"
	"time"

	"github.com/wardspool/wardspool/ident"
)

const (
	// mostTrials bounds the trials under way that one instance keeps track of.
	mostTrials = 1024
	// TrialMost bounds how long a trial lasts unless its holder ends it: one that has died
	// ends none. A stream shows what it does with its first event, which is due within a
	// second; one that its caller resumes may wait some seconds for room.
	TrialMost = 5 * time.Second
)

// Trials are the attempts with suspect contents that one instance has allowed, one at a
// time for each content. It is safe for concurrent use.
type Trials struct {
	mu    sync.Mutex
	under map[Content]trial
}

// trial is one attempt under way.
type trial struct {
	holder ident.InstanceID
	until  time.Time
}

// NewTrials returns no trials.
func NewTrials() *Trials { return &Trials{under: map[Content]trial{}} }

// Begin allows an attempt by an instance unless another is under way.
func (t *Trials) Begin(now time.Time, c Content, holder ident.InstanceID, lasts time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.under[c]; ok && now.Before(o.until) {
		return false
	}
	if len(t.under) >= mostTrials {
		t.expire(now)
	}
	if len(t.under) >= mostTrials {
		return false
	}
	t.under[c] = trial{holder: holder, until: now.Add(min(lasts, TrialMost))}
	return true
}

// expire drops the trials whose holders didn't end them. The caller holds mu.
func (t *Trials) expire(now time.Time) {
	for c, o := range t.under {
		if !now.Before(o.until) {
			delete(t.under, c)
		}
	}
}

// End takes in that an instance's attempt is over.
func (t *Trials) End(c Content, holder ident.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.under[c].holder == holder {
		delete(t.under, c)
	}
}
