package fleet

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

const (
	// freshLoad is how long a load counts without a newer one, at least; where reports come
	// more seldom, freshReports of them may be missed.
	freshLoad    = 1500 * time.Millisecond
	freshReports = 3
)

// LoadReport is what an instance tells its zone's hub, or a hub that of another
// zone.
type LoadReport struct {
	From ident.InstanceID `json:"from"`
	Zone ident.Zone       `json:"zone"`
	// Whole means that the load is that of the whole zone.
	Whole bool `json:"whole,omitempty"`
	// Sequence rises with each report of an instance, from 1.
	Sequence uint64 `json:"s,omitempty"`
	// EveryMS is the time between two reports.
	EveryMS int64 `json:"e,omitempty"`
	Load    Load  `json:"load"`
	// Packed holds the requests in flight, the demand and the sends of a whole zone.
	Packed []byte `json:"p,omitempty"`
}

// LoadAnswer is a hub's answer to a report.
type LoadAnswer struct {
	// Sum is the packed Load of all instances: requests in flight and demand.
	Sum []byte `json:"sum,omitempty"`
	// Included is the sequence of the asking instance's own report that the sum holds, 0
	// if there is none.
	Included uint64 `json:"i,omitempty"`
	// Refusing and Switching are what the others say, as in Load: an instance's own word
	// must not come back to it as another's.
	Refusing  map[ident.UpstreamID]int64         `json:"x,omitempty"`
	Switching map[ident.UpstreamID]dialect.Stage `json:"w,omitempty"`
	// Whole answers the hub of another zone, with the load of the own.
	Whole *LoadReport `json:"whole,omitempty"`
	// NotHub means that the asked instance takes another for the hub, and has no sum.
	NotHub bool `json:"n,omitempty"`
	// Crashes and Informed are as in Heartbeat.
	Crashes  uint64 `json:"q,omitempty"`
	Informed bool   `json:"k,omitempty"`
}

// Hub adds up the loads of a zone's instances and exchanges the sums with other
// zones', in fleets too large for each instance to hear all others. It is not safe for
// concurrent use.
type Hub struct {
	members map[ident.InstanceID]datedLoad
	zones   map[ident.Zone]datedLoad
	// sum is that of all as of summedAt, packed, with the sequences of the members'
	// reports in it: added up and encoded once for all who ask; see BenchmarkHubAnswer.
	sum      []byte
	included map[ident.InstanceID]uint64
	summedAt time.Time
}

// datedLoad is a load and when it was told.
type datedLoad struct {
	load     Load
	sequence uint64
	at       time.Time
	// until is when it counts no more.
	until time.Time
}

// NewHub returns a hub that knows nothing.
func NewHub() *Hub {
	return &Hub{members: map[ident.InstanceID]datedLoad{}, zones: map[ident.Zone]datedLoad{}}
}

// Take takes in a report. The error is a *PackError.
func (h *Hub) Take(now time.Time, r LoadReport) error {
	fresh := max(freshLoad, freshReports*time.Duration(r.EveryMS)*time.Millisecond)
	d := datedLoad{load: r.Load, sequence: r.Sequence, at: now, until: now.Add(fresh)}
	if r.Packed != nil {
		var err error
		if d.load, err = unpackLoad(r.Packed); err != nil {
			return err
		}
		d.load.Refusing, d.load.Switching = r.Load.Refusing, r.Load.Switching
	}
	if r.Whole {
		h.zones[r.Zone] = d
		return nil
	}
	h.members[r.From] = d
	return nil
}

// Heard reports whether another zone's load has just come.
func (h *Hub) Heard(now time.Time, zone ident.Zone) bool {
	d, ok := h.zones[zone]
	return ok && now.Sub(d.at) < toldLately
}

// Zone returns the load of the hub's zone.
func (h *Hub) Zone(now time.Time) Load {
	sum := NewLoad()
	for id, d := range h.members {
		if now.After(d.until) {
			delete(h.members, id)
			continue
		}
		sum.Add(d.load)
	}
	return sum
}

// Answer returns the answer to an instance of the zone. The sum is made anew each
// sumInterval.
func (h *Hub) Answer(now time.Time, to ident.InstanceID) LoadAnswer {
	if now.Sub(h.summedAt) >= sumInterval {
		h.add(now)
	}
	others := NewLoad()
	for id, d := range h.members {
		if id != to {
			others.addAway(d.load)
		}
	}
	for _, d := range h.zones {
		others.addAway(d.load)
	}
	return LoadAnswer{Sum: h.sum, Included: h.included[to], Refusing: others.Refusing, Switching: others.Switching}
}

// add makes the sum of all zones anew.
func (h *Hub) add(now time.Time) {
	sum := h.Zone(now)
	for zone, d := range h.zones {
		if now.After(d.until) {
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

// Reports are the reports that an instance made lately, so that it can take its own load
// out of a sum.
type Reports struct {
	last  uint64
	loads map[uint64]Load
}

// keptReports is how many of them are kept: more than come while an answer is on its way.
const keptReports = 16

// Next returns the sequence of the next report, which holds the given load.
func (r *Reports) Next(load Load) uint64 {
	if r.loads == nil {
		r.loads = map[uint64]Load{}
	}
	r.last++
	r.loads[r.last] = load
	delete(r.loads, r.last-keptReports)
	return r.last
}

// Others returns the load of the other instances by an answer. The error is a *PackError.
func (r *Reports) Others(a LoadAnswer) (Load, error) {
	sum, err := unpackLoad(a.Sum)
	if err != nil {
		return Load{}, err
	}
	sum.remove(r.loads[a.Included])
	sum.Refusing, sum.Switching = a.Refusing, a.Switching
	return sum, nil
}

// NewLoad returns an empty load that others can be added to.
func NewLoad() Load {
	return Load{
		InFlight: map[ident.UpstreamID]InFlight{}, Refusing: map[ident.UpstreamID]int64{},
		Switching: map[ident.UpstreamID]dialect.Stage{}, Demand: map[string]Demand{}, Spent: map[string]int{},
	}
}

// Add adds another load. Of what engines themselves said, the most is kept.
func (l *Load) Add(o Load) {
	for id, f := range o.InFlight {
		l.InFlight[id] = l.InFlight[id].plus(f)
	}
	l.addAway(o)
	for service, n := range o.Spent {
		l.Spent[service] += n
	}
	for service, d := range o.Demand {
		sum := l.Demand[service]
		sum.PrefillRate += d.PrefillRate
		sum.MemoryRate += d.MemoryRate
		sum.StreamRate += d.StreamRate
		sum.RequestRate += d.RequestRate
		sum.Paces = sum.Paces.Plus(d.Paces)
		l.Demand[service] = sum
	}
}

// addAway adds what another load says of engines that don't keep promises.
func (l *Load) addAway(o Load) {
	for id, left := range o.Refusing {
		l.Refusing[id] = max(l.Refusing[id], left)
	}
	for id, stage := range o.Switching {
		l.Switching[id] = stage
	}
}

// remove takes a load that was added out again: its requests, rates and sends.
func (l *Load) remove(o Load) {
	for id, f := range o.InFlight {
		if left := l.InFlight[id].minus(f); left.empty() {
			delete(l.InFlight, id)
		} else {
			l.InFlight[id] = left
		}
	}
	for service, n := range o.Spent {
		l.Spent[service] -= n
	}
	for service, d := range o.Demand {
		sum := l.Demand[service]
		sum.PrefillRate = max(0, sum.PrefillRate-d.PrefillRate)
		sum.MemoryRate = max(0, sum.MemoryRate-d.MemoryRate)
		sum.StreamRate = max(0, sum.StreamRate-d.StreamRate)
		sum.RequestRate = max(0, sum.RequestRate-d.RequestRate)
		sum.Paces = sum.Paces.Minus(d.Paces)
		l.Demand[service] = sum
	}
}

// minus returns the load of an upstream without another that it holds. What the engine
// itself said is left out if it may be the other's word.
func (f InFlight) minus(o InFlight) InFlight {
	left := InFlight{Requests: f.Requests - o.Requests, Tokens: f.Tokens - o.Tokens, Memory: slices.Clone(f.Memory)}
	if f.Unexplained > o.Unexplained {
		left.Unexplained = f.Unexplained
	}
	if f.Pace > o.Pace {
		left.Pace = f.Pace
	}
	for i := range min(len(left.Memory), len(o.Memory)) {
		left.Memory[i] -= o.Memory[i]
	}
	return left
}

// empty reports whether nothing is in flight.
func (f InFlight) empty() bool {
	return f.Requests == 0 && f.Tokens == 0 && f.Unexplained == 0 && f.Pace == 0 && !slices.ContainsFunc(f.Memory, func(n int) bool { return n != 0 })
}

// plus returns the sum of two loads of an upstream.
func (f InFlight) plus(o InFlight) InFlight {
	sum := InFlight{
		Requests: f.Requests + o.Requests, Tokens: f.Tokens + o.Tokens,
		Unexplained: max(f.Unexplained, o.Unexplained), Pace: max(f.Pace, o.Pace),
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
