package fleet

import (
	"github.com/wardspool/wardspool/gateway/admission"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
)

// Load is an instance's report on its own requests. With it, the other instances can account for
// the load on shared upstreams.
type Load struct {
	// Complete is set in a load that an instance reports about itself. A heartbeat relayed without
	// its load has none, which differs from an idle instance's load.
	Complete bool `json:"c,omitempty"`
	// InFlight holds the instance's requests in flight at each upstream.
	InFlight map[ident.UpstreamID]InFlight `json:"f,omitempty"`
	// Unavailable holds the engines that rejected a request after they had reserved memory for it,
	// or that the instance has ejected or found replaced, with the remaining time, in milliseconds,
	// for which the instance does not use them.
	Unavailable map[ident.UpstreamID]int64 `json:"x,omitempty"`
	// Switching holds the engines that the instance has ordered to change their stage, with the
	// new stage.
	Switching map[ident.UpstreamID]dialect.Stage `json:"w,omitempty"`
	// Demand is the work that the instance's callers offer to the engines of each service.
	Demand map[string]Demand `json:"d,omitempty"`
	// Retries is the number of retries that the instance made to each service within the window of
	// the retry budget.
	Retries map[string]int `json:"b,omitempty"`
	// Limits holds the rate limits that upstreams stated in responses to the instance itself.
	Limits map[ident.UpstreamID]RateLimit `json:"l,omitempty"`
	// Leaving holds the upstreams that have said to the instance itself that they leave, with their
	// incarnations.
	Leaving map[ident.UpstreamID]ident.Incarnation `json:"g,omitempty"`
	// Queues holds the instance's waiting requests and promised returns, by service. Instances of
	// older releases do not know it.
	Queues map[string]admission.Queue `json:"y,omitempty"`
	// Paces holds the times per token of engines that the instance has measured and that are news to
	// its peers. Instances of older releases do not know it.
	Paces map[ident.UpstreamID]Pace `json:"t,omitempty"`
}

// Pace is an engine's time per output token.
type Pace struct {
	// Bucket is the bucket of schedule.TokenTime.
	Bucket      int               `json:"b"`
	Incarnation ident.Incarnation `json:"i,omitempty"`
}

// RateLimit is a rate limit that an upstream stated, or the end of one.
type RateLimit struct {
	Incarnation ident.Incarnation `json:"i,omitempty"`
	// Rate is in requests per second.
	Rate float64 `json:"r,omitempty"`
	// Ended means that the upstream no longer states a limit.
	Ended bool `json:"e,omitempty"`
	// AgeMS is the time since the response that stated it, in milliseconds.
	AgeMS int64 `json:"a,omitempty"`
}

// newer reports whether l is a later statement than o.
func (l RateLimit) newer(o RateLimit) bool {
	if l.Incarnation != o.Incarnation {
		return l.Incarnation > o.Incarnation
	}
	return l.AgeMS < o.AgeMS
}

// empty reports whether the load holds no information, as in a relayed heartbeat.
func (l *Load) empty() bool {
	return !l.Complete && l.InFlight == nil && l.Demand == nil && l.Unavailable == nil && l.Switching == nil && l.Limits == nil && l.Leaving == nil && l.Queues == nil && l.Paces == nil
}

// idle reports whether the load has no requests in flight or waiting, no retries and no unavailable
// or switching upstreams. Demand is ignored because it only decreases without requests.
func (l *Load) idle() bool {
	return len(l.InFlight) == 0 && len(l.Unavailable) == 0 && len(l.Switching) == 0 && len(l.Retries) == 0 && len(l.Queues) == 0
}

// InFlight is the work that an instance has in flight at an upstream.
type InFlight struct {
	// Requests is the number of requests.
	Requests int `json:"r,omitempty"`
	// Tokens is the number of prompt tokens queued at a prefill engine.
	Tokens int `json:"t,omitempty"`
	// Memory is the forecast of the memory that the requests hold at a decode engine, in tokens,
	// at fixed time steps from the heartbeat.
	Memory []int `json:"m,omitempty"`
	// UnaccountedMemory is the engine's unaccounted memory, in tokens: the use that it reported to
	// the instance beyond that of all known requests.
	UnaccountedMemory int `json:"u,omitempty"`
	// ThroughputBucket is the recent throughput of a prefill engine as a 1-based bucket of
	// schedule.ThroughputHistogram, 0 if unknown. When loads are added, the maximum is kept.
	ThroughputBucket int `json:"p,omitempty"`
}

// Demand is the rate of work offered to the engines of a service.
type Demand struct {
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64 `json:"p"`
	// MemoryRate is the KV cache memory that requests will hold, in tokens times seconds, per
	// second.
	MemoryRate float64 `json:"m"`
	// StreamRate is the duration of the streams started, in seconds per second: the average
	// number of concurrent streams.
	StreamRate float64 `json:"s"`
	// RequestRate is in requests per second.
	RequestRate float64 `json:"q,omitempty"`
	// Throughputs is a histogram of the throughputs at which prefill engines computed recent prompts.
	Throughputs schedule.ThroughputHistogram `json:"e,omitempty"`
}

// Member is the part of a heartbeat that describes one instance.
type Member struct {
	ID   ident.InstanceID `json:"id"`
	Zone ident.Zone       `json:"z"`
	// Address is where the instance accepts calls from peers.
	Address     string            `json:"a"`
	Incarnation ident.Incarnation `json:"i"`
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64 `json:"s"`
	// Leaving is set when the instance is stopping.
	Leaving bool `json:"l,omitempty"`
	Load    Load `json:"load"`
}

// newer reports whether m is a later heartbeat than o of the same instance.
func (m *Member) newer(o *Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Sequence > o.Sequence
}

// Heartbeat is the message that two instances exchange, both as request and as answer.
type Heartbeat struct {
	From Member `json:"from"`
	// Relayed holds heartbeats of other instances. In a small fleet it holds all live ones; in a
	// large fleet only those that the receiver has shown not to know.
	Relayed []Relayed `json:"others,omitempty"`
	// Zones holds the sequences of all live instances by zone. It is used in a large fleet only.
	Zones []ZoneRecords `json:"zones,omitempty"`
	// Crashes is the digest of the crash records that the sender shares, 0 if there is none.
	Crashes uint64 `json:"q,omitempty"`
	// Informed is set once the sender has received the crash records that its peers had when it
	// started or resumed; see Node.Informed.
	Informed bool `json:"k,omitempty"`
	// Joined is set if the sender has joined the fleet and most of the instances that it knows are alive; see
	// Node.Joined. Instances of earlier releases don't know it.
	Joined bool `json:"w,omitempty"`
}

// Relayed is a heartbeat that the sender received from or about another instance, with the time
// since it was made.
type Relayed struct {
	Member Member `json:"m"`
	AgeMS  int64  `json:"age"`
}
