package membership

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

// Config sets the bounds of a Machine. Zero fields take their defaults.
type Config struct {
	// MinInterval is the least time between two exchanges with one partner.
	MinInterval time.Duration
	// Budget bounds the bytes of all heartbeats sent and received, per second;
	// the interval grows with the number of partners to keep within it.
	Budget int
	// AllToAll is the largest zone in which every pair exchanges heartbeats.
	AllToAll int
	// Fanout is how many partners an instance chooses in a larger zone; about
	// as many others choose it.
	Fanout int
	// Bridges is how many instances of each of two zones exchange heartbeats
	// with the other's.
	Bridges int
	// SuspectAfter and UnreachableAfter are ages of the last sign of life, in
	// intervals: of an instance in the own zone.
	SuspectAfter     int
	UnreachableAfter int
	// RemoteFactor multiplies both for other zones, and SparseFactor where not
	// every pair of a zone exchanges heartbeats: signs of life come over more
	// hops.
	RemoteFactor int
	SparseFactor int
	// DeadGrace is how long no sign of life may have come before a refused
	// connection is taken for the process's death.
	DeadGrace time.Duration
	// UpstreamGrace is how long no instance may have had a sign of life of an
	// upstream before its zone says that it is missing.
	UpstreamGrace time.Duration
	// UpstreamFresh is the age of the last sign of life beyond which an
	// upstream is suspect.
	UpstreamFresh time.Duration
	// ListLag is how far the platform's lists may lag. A list that marks an ID
	// as leaving without naming the incarnation binds an incarnation only if it
	// was known for that long.
	ListLag time.Duration
	// TrustTimeout bounds how long a view is distrusted after a pause.
	TrustTimeout time.Duration
	// ForgetAfter is how long an unlisted instance without a sign of life, or an
	// unlisted upstream, is kept.
	ForgetAfter time.Duration
	// Gatherers is how many instances of a zone gather one upstream's load.
	Gatherers int
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
	DefaultGatherers        = 2
)

// Bounds that are not settings: they protect memory.
const (
	maxInstances  = 4096
	maxUpstreams  = 8192
	maxTombstones = 4096
)

// withDefaults replaces zero fields by their defaults.
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
	orInt(&c.Gatherers, DefaultGatherers)
	return c
}

// Self names the instance a Machine runs on.
type Self struct {
	Instance ident.InstanceID
	Zone     ident.Zone
}

// SelfState is what an instance says of its own entry process.
type SelfState struct {
	// Incarnation is the entry's, 0 while there is none.
	Incarnation ident.Incarnation
	// Leaving says that the entry takes no new work. It is sticky.
	Leaving bool
	// Gone says that the entry of this incarnation has ended.
	Gone bool
	// Silent says that the entry does not answer its agent. It is not sticky;
	// while it holds, heartbeats carry no sign of the entry's life.
	Silent bool
}
