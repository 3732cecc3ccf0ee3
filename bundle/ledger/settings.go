package ledger

import (
	"cmp"
	"time"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/ident"
)

// IsolatedPolicy says what a starting instance does when neither the platform
// nor a ready peer answers.
type IsolatedPolicy string

// The policies.
const (
	// IsolatedWait keeps the instance from serving until one of them answers.
	// It is the default: nothing below the floor is ever served.
	IsolatedWait IsolatedPolicy = "wait"
	// IsolatedServePreload lets the instance serve the preloaded bundle after
	// StartTimeout, unless an upstream's fencing number shows a newer one. The
	// preloaded bundle may be below the floor.
	IsolatedServePreload IsolatedPolicy = "serve-preload"
)

// Defaults of Settings.
const (
	DefaultStartTimeout  = 5 * time.Second
	DefaultRetryInterval = time.Second
	DefaultPartsTimeout  = 10 * time.Second
	DefaultPauseGap      = 3 * time.Second
)

// Settings are one instance's.
type Settings struct {
	Instance ident.InstanceID
	Zone     ident.Zone
	// Approvers is the set that the instance trusts from the start.
	Approvers bundle.Approvers
	// Isolated is IsolatedWait if empty.
	Isolated IsolatedPolicy
	// StartTimeout is how long a starting instance waits for all its sources
	// before it makes do with those that answered.
	StartTimeout time.Duration
	// RetryInterval is the time between repeats of a question or fetch.
	RetryInterval time.Duration
	// PartsTimeout is how long parts may be missing before an alarm.
	PartsTimeout time.Duration
	// PauseGap is the time between two steps after which the process must have
	// been paused. The caller must step the ledger more often than that.
	PauseGap time.Duration
}

// withDefaults fills in what is not set.
func (s Settings) withDefaults() Settings {
	s.Isolated = cmp.Or(s.Isolated, IsolatedWait)
	s.StartTimeout = cmp.Or(s.StartTimeout, DefaultStartTimeout)
	s.RetryInterval = cmp.Or(s.RetryInterval, DefaultRetryInterval)
	s.PartsTimeout = cmp.Or(s.PartsTimeout, DefaultPartsTimeout)
	s.PauseGap = cmp.Or(s.PauseGap, DefaultPauseGap)
	return s
}
