package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/wardspool/wardspool/gateway/admission"
	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

const (
	// minLoadTTL is the minimum time for which a load counts if no newer one arrives. If reports
	// arrive less often, a load counts for loadTTLReports report intervals.
	minLoadTTL     = 1500 * time.Millisecond
	loadTTLReports = 3
)

// LoadReport is a load sent by an instance to the hub of its zone, or by a hub to the hub of
// another zone.
type LoadReport struct {
	From ident.InstanceID `json:"from"`
	Zone ident.Zone       `json:"zone"`
	// WholeZone is set if the load is the sum of the sender's whole zone.
	WholeZone bool `json:"whole,omitempty"`
	// Sequence increases with each report of an instance, starting at 1.
	Sequence uint64 `json:"s,omitempty"`
	// IntervalMS is the time between two reports of the sender, in milliseconds.
	IntervalMS int64 `json:"e,omitempty"`
	Load       Load  `json:"load"`
	// Packed is the encoded load of a whole zone: its requests in flight, demand and retries. If
	// it is set, Load holds only the unavailable and the switching engines and what upstreams said.
	Packed []byte `json:"p,omitempty"`
}

// LoadAnswer is a hub's answer to a LoadReport.
type LoadAnswer struct {
	// Sum is the encoded sum of the loads of all instances: requests in flight, demand and
	// retries.
	Sum []byte `json:"sum,omitempty"`
	// Included is the sequence of the receiver's own report that is part of Sum, 0 if there is
	// none.
	Included uint64 `json:"i,omitempty"`
	// Unavailable and Switching are as in Load, but without what the receiver itself reported: an
	// instance must not take its own report for that of a peer.
	Unavailable map[ident.UpstreamID]int64         `json:"x,omitempty"`
	Switching   map[ident.UpstreamID]dialect.Stage `json:"w,omitempty"`
	// Limits and Leaving are as in Load.
	Limits  map[ident.UpstreamID]RateLimit         `json:"l,omitempty"`
	Leaving map[ident.UpstreamID]ident.Incarnation `json:"g,omitempty"`
	// Queues is the sum of the other instances' queues, by service.
	Queues map[string]admission.Queue `json:"y,omitempty"`
	// Paces holds what the other instances have measured, as in Load.
	Paces map[ident.UpstreamID]Pace `json:"t,omitempty"`
	// ZoneLoad is set in the answer to the hub of another zone. It holds the load of the answering
	// hub's zone.
	ZoneLoad *LoadReport `json:"whole,omitempty"`
	// NotHub is set if the answering instance is not the hub according to its own roster. Sum is
	// then empty.
	NotHub bool `json:"n,omitempty"`
	// Crashes and Informed have the same meaning as in Heartbeat.
	Crashes  uint64 `json:"q,omitempty"`
	Informed bool   `json:"k,omitempty"`
}

// Hub adds up the loads of a zone's instances and exchanges the sums with the hubs of other
// zones. It is used in fleets that are too large for each instance to receive the heartbeats of
// all others. It is not safe for concurrent use.
type Hub struct {
	members map[ident.InstanceID]receivedLoad
	zones   map[ident.Zone]receivedLoad
	// sum is the encoded sum of all loads, computed at summedAt. included holds the sequence of
	// each member's report in it. The sum is computed and encoded once for all members that ask;
	// see BenchmarkHubAnswer.
	sum      []byte
	included map[ident.InstanceID]uint64
	summedAt time.Time
}

// receivedLoad is a reported load and when it was received.
type receivedLoad struct {
	load       Load
	sequence   uint64
	receivedAt time.Time
	// expiresAt is when the load stops counting.
	expiresAt time.Time
}

// NewHub returns a hub without any loads.
func NewHub() *Hub {
	return &Hub{members: map[ident.InstanceID]receivedLoad{}, zones: map[ident.Zone]receivedLoad{}}
}

// Receive stores a load report. The error is a *PackError, or a *QueueError if the report was stored
// without a queue that is not possible.
func (h *Hub) Receive(now time.Time, r LoadReport) error {
	ttl := max(minLoadTTL, loadTTLReports*time.Duration(r.IntervalMS)*time.Millisecond)
	received := receivedLoad{load: r.Load, sequence: r.Sequence, receivedAt: now, expiresAt: now.Add(ttl)}
	if r.Packed != nil {
		var err error
		if received.load, err = unpackLoad(r.Packed); err != nil {
			return err
		}
		received.load.Unavailable, received.load.Switching = r.Load.Unavailable, r.Load.Switching
		received.load.Limits, received.load.Leaving, received.load.Queues = r.Load.Limits, r.Load.Leaving, r.Load.Queues
		received.load.Paces = r.Load.Paces
	}
	invalid := received.load.dropInvalidQueues()
	if r.WholeZone {
		h.zones[r.Zone] = received
	} else {
		h.members[r.From] = received
	}
	if invalid != nil {
		return invalid
	}
	return nil
}

// HeardRecently reports whether another zone's load was received within directContactWindow.
func (h *Hub) HeardRecently(now time.Time, zone ident.Zone) bool {
	d, ok := h.zones[zone]
	return ok && now.Sub(d.receivedAt) < directContactWindow
}

// ZoneLoad returns the sum of the loads of the hub's zone. It drops expired loads.
func (h *Hub) ZoneLoad(now time.Time) Load {
	sum := NewLoad()
	for id, d := range h.members {
		if now.After(d.expiresAt) {
			delete(h.members, id)
			continue
		}
		sum.Add(d.load)
		sum.addStated(&d.load, now.Sub(d.receivedAt))
	}
	return sum
}

// Answer returns the answer to a report of an instance of the zone. The sum is recomputed at most
// once per sumInterval.
func (h *Hub) Answer(now time.Time, to ident.InstanceID) LoadAnswer {
	if now.Sub(h.summedAt) >= sumInterval {
		h.updateSum(now)
	}
	others := NewLoad()
	for id, d := range h.members {
		if id != to {
			others.addUnavailable(d.load)
			others.addStated(&d.load, now.Sub(d.receivedAt))
		}
	}
	for _, d := range h.zones {
		others.addUnavailable(d.load)
		others.addStated(&d.load, now.Sub(d.receivedAt))
	}
	return LoadAnswer{
		Sum: h.sum, Included: h.included[to],
		Unavailable: others.Unavailable, Switching: others.Switching, Limits: others.Limits, Leaving: others.Leaving, Queues: others.Queues, Paces: others.Paces,
	}
}

// updateSum recomputes the sum of the loads of all zones.
func (h *Hub) updateSum(now time.Time) {
	sum := h.ZoneLoad(now)
	for zone, d := range h.zones {
		if now.After(d.expiresAt) {
			delete(h.zones, zone)
			continue
		}
		sum.Add(d.load)
	}
	h.sum, h.summedAt = sum.pack(), now
	h.included = map[ident.InstanceID]uint64{}
	for id, d := range h.members {
		h.included[id] = d.sequence
	}
}

// ReportHistory holds the latest load reports of an instance, so that the instance can subtract
// its own load from a sum.
type ReportHistory struct {
	last  uint64
	loads map[uint64]Load
}

// maxKeptReports is the number of reports that are kept. It exceeds the number of reports made while
// an answer is under way.
const maxKeptReports = 16

// Add stores a load as the next report and returns its sequence.
func (r *ReportHistory) Add(load Load) uint64 {
	if r.loads == nil {
		r.loads = map[uint64]Load{}
	}
	r.last++
	r.loads[r.last] = load
	delete(r.loads, r.last-maxKeptReports)
	return r.last
}

// PeerLoad returns the sum of the other instances' loads: the sum in an answer without this
// instance's own load. The error is a *PackError.
func (r *ReportHistory) PeerLoad(a LoadAnswer) (Load, error) {
	sum, err := unpackLoad(a.Sum)
	if err != nil {
		return Load{}, err
	}
	sum.subtract(r.loads[a.Included])
	sum.Unavailable, sum.Switching = a.Unavailable, a.Switching
	sum.Limits, sum.Leaving, sum.Queues, sum.Paces = a.Limits, a.Leaving, a.Queues, a.Paces
	_ = sum.dropInvalidQueues()
	return sum, nil
}

// NewLoad returns an empty load to which others can be added.
func NewLoad() Load {
	return Load{
		InFlight: map[ident.UpstreamID]InFlight{}, Unavailable: map[ident.UpstreamID]int64{},
		Switching: map[ident.UpstreamID]dialect.Stage{}, Demand: map[string]Demand{}, Retries: map[string]int{},
		Limits: map[ident.UpstreamID]RateLimit{}, Leaving: map[ident.UpstreamID]ident.Incarnation{},
		Queues: map[string]admission.Queue{}, Paces: map[ident.UpstreamID]Pace{},
	}
}

// Add adds another load except for what upstreams stated. Values that engines reported about themselves
// are not summed; the maximum is kept.
func (l *Load) Add(o Load) {
	for id, f := range o.InFlight {
		l.InFlight[id] = l.InFlight[id].plus(f)
	}
	l.addUnavailable(o)
	for service, n := range o.Retries {
		l.Retries[service] += n
	}
	for service, d := range o.Demand {
		sum := l.Demand[service]
		sum.PrefillRate += d.PrefillRate
		sum.MemoryRate += d.MemoryRate
		sum.StreamRate += d.StreamRate
		sum.RequestRate += d.RequestRate
		sum.Throughputs = sum.Throughputs.Plus(d.Throughputs)
		l.Demand[service] = sum
	}
}

// addStated adds what upstreams stated according to another load, which was received the given time
// ago, and the load's queues and paces. Of two statements of an upstream, the later one is kept; of two
// measurements of one incarnation, the slower one.
func (l *Load) addStated(o *Load, ago time.Duration) {
	for id, r := range o.Limits {
		r.AgeMS += ago.Milliseconds()
		if known, ok := l.Limits[id]; !ok || r.newer(known) {
			l.Limits[id] = r
		}
	}
	for id, incarnation := range o.Leaving {
		l.Leaving[id] = max(l.Leaving[id], incarnation)
	}
	for service, q := range o.Queues {
		l.Queues[service] = l.Queues[service].Plus(q.After(ago))
	}
	for id, p := range o.Paces {
		known, ok := l.Paces[id]
		if !ok || p.Incarnation > known.Incarnation || p.Incarnation == known.Incarnation && p.Bucket > known.Bucket {
			l.Paces[id] = p
		}
	}
}

// QueueError reports a peer's queue of a service whose numbers are not possible.
type QueueError struct{ Service string }

// Error implements error.
func (e *QueueError) Error() string {
	return fmt.Sprintf("queue of service %q in a peer's load has numbers out of range", e.Service)
}

// dropInvalidQueues removes the queues whose numbers are not possible, so that a faulty peer cannot
// have all instances refuse their requests. It returns an error for one of them, nil if there is none.
func (l *Load) dropInvalidQueues() *QueueError {
	var dropped *QueueError
	for service, q := range l.Queues {
		if !q.Valid() {
			delete(l.Queues, service)
			dropped = &QueueError{Service: service}
		}
	}
	return dropped
}

// addUnavailable adds the unavailable and switching engines of another load.
func (l *Load) addUnavailable(o Load) {
	for id, remaining := range o.Unavailable {
		l.Unavailable[id] = max(l.Unavailable[id], remaining)
	}
	for id, stage := range o.Switching {
		l.Switching[id] = stage
	}
}

// subtract subtracts a load that was added before: its requests, demand and retries.
func (l *Load) subtract(o Load) {
	for id, f := range o.InFlight {
		if rest := l.InFlight[id].minus(f); rest.empty() {
			delete(l.InFlight, id)
		} else {
			l.InFlight[id] = rest
		}
	}
	for service, n := range o.Retries {
		l.Retries[service] -= n
	}
	for service, d := range o.Demand {
		sum := l.Demand[service]
		sum.PrefillRate = max(0, sum.PrefillRate-d.PrefillRate)
		sum.MemoryRate = max(0, sum.MemoryRate-d.MemoryRate)
		sum.StreamRate = max(0, sum.StreamRate-d.StreamRate)
		sum.RequestRate = max(0, sum.RequestRate-d.RequestRate)
		sum.Throughputs = sum.Throughputs.Minus(d.Throughputs)
		l.Demand[service] = sum
	}
}

// minus subtracts a load from the load of an upstream. Values that the engine reported about
// itself are dropped if the maximum may have come from the subtracted load.
func (f InFlight) minus(o InFlight) InFlight {
	rest := InFlight{Requests: f.Requests - o.Requests, Tokens: f.Tokens - o.Tokens, Memory: slices.Clone(f.Memory)}
	if f.UnaccountedMemory > o.UnaccountedMemory {
		rest.UnaccountedMemory = f.UnaccountedMemory
	}
	if f.ThroughputBucket > o.ThroughputBucket {
		rest.ThroughputBucket = f.ThroughputBucket
	}
	for i := range min(len(rest.Memory), len(o.Memory)) {
		rest.Memory[i] -= o.Memory[i]
	}
	return rest
}

// empty reports whether there is neither work in flight nor a value reported by the engine.
func (f InFlight) empty() bool {
	return f.Requests == 0 && f.Tokens == 0 && f.UnaccountedMemory == 0 && f.ThroughputBucket == 0 && !slices.ContainsFunc(f.Memory, func(n int) bool { return n != 0 })
}

// plus returns the sum of two loads of an upstream.
func (f InFlight) plus(o InFlight) InFlight {
	sum := InFlight{
		Requests: f.Requests + o.Requests, Tokens: f.Tokens + o.Tokens,
		UnaccountedMemory: max(f.UnaccountedMemory, o.UnaccountedMemory), ThroughputBucket: max(f.ThroughputBucket, o.ThroughputBucket),
		Memory: make([]int, max(len(f.Memory), len(o.Memory))),
	}
	for i := range sum.Memory {
		if i < len(f.Memory) {
			sum.Memory[i] += f.Memory[i]
		}
		if i < len(o.Memory) {
			sum.Memory[i] += o.Memory[i]
		}
	}
	return sum
}
