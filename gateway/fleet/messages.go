package fleet

import (
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
)

// Load is what an instance says of its own requests, so that others see the load
// of the upstreams they share.
type Load struct {
	// InFlight is what it has in flight at each upstream.
	InFlight map[ident.UpstreamID]InFlight `json:"f,omitempty"`
	// Refusing is how much longer it passes engines over, in milliseconds, that
	// refused what they had promised.
	Refusing map[ident.UpstreamID]int64 `json:"x,omitempty"`
	// Switching names the stages that it ordered engines to take.
	Switching map[ident.UpstreamID]dialect.Stage `json:"w,omitempty"`
	// Demand is what its callers ask of each service of engines.
	Demand map[string]Demand `json:"d,omitempty"`
	// Spent is how many sends beyond the first it made to each service in the window of the
	// retry budget.
	Spent map[string]int `json:"b,omitempty"`
}

// empty reports whether a load says nothing, as in a relayed heartbeat.
func (l *Load) empty() bool {
	return l.InFlight == nil && l.Demand == nil && l.Refusing == nil && l.Switching == nil
}

// idle reports whether the load has no requests in flight, no spent retry budget and no refusing
// or switching upstreams. Demand is ignored because it only decreases without requests.
func (l *Load) idle() bool {
	return len(l.InFlight) == 0 && len(l.Refusing) == 0 && len(l.Switching) == 0 && len(l.Spent) == 0
}

// InFlight is what an instance has in flight at an upstream.
type InFlight struct {
	Requests int `json:"r,omitempty"`
	// Tokens are the prompt tokens queued at a prefill engine.
	Tokens int `json:"t,omitempty"`
	// Memory foresees what its requests take of a decode engine, in tokens, at
	// steps of time from the heartbeat.
	Memory []int `json:"m,omitempty"`
	// Unexplained is memory that the engine reported to the instance beyond what
	// all requests explain, in tokens.
	Unexplained int `json:"u,omitempty"`
	// Pace is the recent pace of a prefill engine, as a 1-based bucket of
	// schedule.Paces; 0 if unknown. Loads are merged by taking the maximum.
	Pace int `json:"p,omitempty"`
}

// Demand is the work offered to a service's engines, as a rate.
type Demand struct {
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64 `json:"p"`
	// MemoryRate is in tokens times seconds of KV cache memory a second.
	MemoryRate float64 `json:"m"`
	// StreamRate is in seconds of running streams a second.
	StreamRate float64 `json:"s"`
	// RequestRate is in requests a second.
	RequestRate float64 `json:"q,omitempty"`
	// Paces counts recent prompts by how fast prefill engines computed them.
	Paces schedule.Paces `json:"e,omitempty"`
}

// Member is an instance's heartbeat.
type Member struct {
	ID   ident.InstanceID `json:"id"`
	Zone ident.Zone       `json:"z"`
	// Address is where it answers its peers.
	Address     string            `json:"a"`
	Incarnation ident.Incarnation `json:"i"`
	// Sequence rises with each heartbeat of an incarnation.
	Sequence uint64 `json:"s"`
	// Leaving means that it is stopping.
	Leaving bool `json:"l,omitempty"`
	Load    Load `json:"load"`
}

// newer reports whether m was made after o.
func (m *Member) newer(o *Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Sequence > o.Sequence
}

// Heartbeat is what two instances tell each other.
type Heartbeat struct {
	From Member `json:"from"`
	// Relayed describes others with the age of what the sender heard of them: all in a
	// small fleet, in a large one those that the other side was seen to lack.
	Relayed []Relayed `json:"others,omitempty"`
	// Zones holds signs of life of all live instances in a large fleet, by zone.
	Zones []ZoneRecords `json:"zones,omitempty"`
	// Crashes is the digest of what the sender knows of contents under which upstreams
	// crashed, 0 for nothing.
	Crashes uint64 `json:"q,omitempty"`
	// Informed means that the sender knows what the others knew when it started.
	Informed bool `json:"k,omitempty"`
}

// Relayed is a heartbeat heard from somebody else.
type Relayed struct {
	Member Member `json:"m"`
	AgeMS  int64  `json:"age"`
}
