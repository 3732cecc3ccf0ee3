package ledger

import (
	"cmp"
	"time"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/ident"
)

// IsolatedPolicy determines what a starting instance does when neither the
// platform nor a ready peer answers.
type IsolatedPolicy string

// The policies.
const (
	// IsolatedWait prevents the instance from serving until one of them answers.
	// It is the default, since it never serves a version below the floor.
	IsolatedWait IsolatedPolicy = "wait"
	// IsolatedServePreload allows the instance to serve the preloaded bundle
	// after StartTimeout, unless an upstream's fencing number shows that a newer
	// one exists. The preloaded bundle may be below the floor.
	IsolatedServePreload IsolatedPolicy = "serve-preload"
)

// Defaults of Settings.
const (
	DefaultStartTimeout   = 5 * time.Second
	DefaultRetryInterval  = time.Second
	DefaultPartsTimeout   = 10 * time.Second
	DefaultPauseThreshold = 3 * time.Second
)

// Settings configure the ledger of one instance.
type Settings struct {
	Instance ident.InstanceID
	Zone     ident.Zone
	// Approvers is the set that the instance trusts initially.
	Approvers bundle.Approvers
	// Isolated defaults to IsolatedWait.
	Isolated IsolatedPolicy
	// StartTimeout is how long a starting instance waits for all its sources
	// before it proceeds with those that have answered.
	StartTimeout time.Duration
	// RetryInterval is the time between retries of a floor query or a fetch.
	RetryInterval time.Duration
	// PartsTimeout is how long parts may be missing before an alarm is raised.
	PartsTimeout time.Duration
	// PauseThreshold is the shortest interval between two steps after which the
	// process is assumed to have been paused. The caller must call Step more often
	// than that.
	PauseThreshold time.Duration
}

// withDefaults returns the settings with defaults for unset fields.
func (s Settings) withDefaults() Settings {
	s.Isolated = cmp.Or(s.Isolated, IsolatedWait)
	s.StartTimeout = cmp.Or(s.StartTimeout, DefaultStartTimeout)
	s.RetryInterval = cmp.Or(s.RetryInterval, DefaultRetryInterval)
	s.PartsTimeout = cmp.Or(s.PartsTimeout, DefaultPartsTimeout)
	s.PauseThreshold = cmp.Or(s.PauseThreshold, DefaultPauseThreshold)
	return s
}
