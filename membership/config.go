package membership

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Config sets the limits of a Machine. Zero fields take their defaults.
type Config struct {
	// MinInterval is the minimum time between two heartbeat exchanges with one
	// partner.
	MinInterval time.Duration
	// Budget limits the bytes per second of all heartbeats sent and received;
	// the interval grows with the number of partners to stay within it.
	Budget int
	// AllToAll is the largest zone size at which every pair of instances
	// exchanges heartbeats.
	AllToAll int
	// Fanout is the number of partners that an instance chooses in a larger
	// zone; about as many other instances choose it.
	Fanout int
	// Bridges is how many instances of each of two zones exchange heartbeats
	// with instances of the other zone.
	Bridges int
	// SuspectAfter and UnreachableAfter are the ages of the last evidence of
	// liveness, in intervals, at which an instance of the own zone is suspect
	// and unreachable.
	SuspectAfter     int
	UnreachableAfter int
	// RemoteFactor multiplies both for other zones, and SparseFactor for zones
	// in which not every pair exchanges heartbeats: there evidence of liveness
	// takes more hops.
	RemoteFactor int
	SparseFactor int
	// DeadGrace is how long evidence of liveness must have been absent before a
	// refused connection counts as the death of the process.
	DeadGrace time.Duration
	// UpstreamGrace is how long no instance may have had evidence of an
	// upstream's liveness before an instance of its zone reports it missing.
	UpstreamGrace time.Duration
	// UpstreamFresh is the age of the last evidence of liveness beyond which an
	// upstream is suspect.
	UpstreamFresh time.Duration
	// ListLag is the maximum lag of the platform's lists. A list that marks an
	// ID as leaving without naming the incarnation makes an incarnation leave
	// for good only if this instance has known that incarnation for at least
	// this long.
	ListLag time.Duration
	// TrustTimeout limits how long a view is distrusted after a pause.
	TrustTimeout time.Duration
	// ForgetAfter is how long an unlisted instance without evidence of
	// liveness, or an unlisted upstream, is kept.
	ForgetAfter time.Duration
	// Pollers is the number of instances of a zone that poll one upstream's
	// load.
	Pollers int
}

// Defaults of Config.
const (
	DefaultMinInterval      = time.Second
	DefaultBudget           = 2200
	DefaultAllToAll         = 12
	DefaultFanout           = 3
	DefaultBridges          = 2
	DefaultSuspectAfter     = 4
	DefaultUnreachableAfter = 8
	DefaultRemoteFactor     = 3
	DefaultSparseFactor     = 3
	DefaultDeadGrace        = 2 * time.Second
	DefaultUpstreamGrace    = 1500 * time.Millisecond
	DefaultUpstreamFresh    = 10 * time.Second
	DefaultListLag          = time.Minute
	DefaultTrustTimeout     = 5 * time.Second
	DefaultForgetAfter      = 10 * time.Minute
	DefaultPollers          = 2
)

// Limits that are not configurable: they bound memory use.
const (
	maxInstances  = 4096
	maxUpstreams  = 8192
	maxTombstones = 4096
)

// withDefaults returns c with zero fields set to their defaults.
func (c Config) withDefaults() Config {
	orInt := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	orTime := func(v *time.Duration, d time.Duration) {
		if *v <= 0 {
			*v = d
		}
	}
	orTime(&c.MinInterval, DefaultMinInterval)
	orInt(&c.Budget, DefaultBudget)
	orInt(&c.AllToAll, DefaultAllToAll)
	orInt(&c.Fanout, DefaultFanout)
	orInt(&c.Bridges, DefaultBridges)
	orInt(&c.SuspectAfter, DefaultSuspectAfter)
	orInt(&c.UnreachableAfter, DefaultUnreachableAfter)
	orInt(&c.RemoteFactor, DefaultRemoteFactor)
	orInt(&c.SparseFactor, DefaultSparseFactor)
	orTime(&c.DeadGrace, DefaultDeadGrace)
	orTime(&c.UpstreamGrace, DefaultUpstreamGrace)
	orTime(&c.UpstreamFresh, DefaultUpstreamFresh)
	orTime(&c.ListLag, DefaultListLag)
	orTime(&c.TrustTimeout, DefaultTrustTimeout)
	orTime(&c.ForgetAfter, DefaultForgetAfter)
	orInt(&c.Pollers, DefaultPollers)
	return c
}

// Self identifies the instance that a Machine runs on.
type Self struct {
	Instance ident.InstanceID
	Zone     ident.Zone
}

// SelfState is what an instance announces about its own entry process.
type SelfState struct {
	// Incarnation is the entry's incarnation, 0 while there is none.
	Incarnation ident.Incarnation
	// Leaving is true if the entry takes no new work. It is sticky.
	Leaving bool
	// Ended is true if the entry of this incarnation has ended.
	Ended bool
	// Unresponsive is true while the entry does not answer its agent. It is not
	// sticky; while it is set, heartbeats carry no evidence of the entry's
	// liveness.
	Unresponsive bool
}
