package fleet

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

const (
	// aliveFor is how long after its last heartbeat an instance counts as alive:
	// heartbeats are exchanged every 300 ms, so several in a row were lost.
	aliveFor = 2 * time.Second
	// aliveForRelayed is the same in a large fleet, where news of an instance takes
	// some three rounds of a second to reach all of its zone, and aliveForForeign for
	// instances of other zones, whose news takes some rounds more.
	aliveForRelayed = 6 * time.Second
	aliveForForeign = 9 * time.Second
	// stoodStill is the gap in this instance's own doings, which look at the roster
	// every 100 to 300 ms, that shows that it was paused.
	stoodStill = time.Second
	// rememberFor is how long a silent instance is still called, so that both
	// sides of a cut find each other again.
	rememberFor = 90 * time.Second
	// fullMesh is the largest fleet in which every pair exchanges heartbeats; in
	// larger ones each instance calls fanout others and relays what it knows.
	fullMesh = 16
	fanout   = 3
	// relayInterval is how often heartbeats of a small fleet name the others; three times
	// before a silent one counts as dead.
	relayInterval = 600 * time.Millisecond
	// toldLately is how long a peer that has told of itself is not called: a call and its
	// answer tell both, so that one of two has to call. It was half of the heartbeats'
	// bytes between zones.
	toldLately = 220 * time.Millisecond
	// answeredLately is how long the answer to an own call counts: orders need answers
	// of the last 1.5 s from most instances.
	answeredLately = 900 * time.Millisecond
	// foreignCalls is how many of a zone's instances call one of another zone in each
	// round of a large fleet. With partners from all zones 85 instances sent 0.47 GB
	// between zones in 44 s, nine tenths of it heartbeats.
	foreignCalls = 4
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
}

// empty reports whether a load says nothing, as in a relayed heartbeat.
func (l *Load) empty() bool {
	return l.InFlight == nil && l.Demand == nil && l.Refusing == nil && l.Switching == nil
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
}

// Demand is the work offered to a service's engines, as a rate.
type Demand struct {
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64 `json:"p"`
	// MemoryRate is in tokens times seconds of KV cache memory a second.
	MemoryRate float64 `json:"m"`
	// StreamRate is in seconds of running streams a second.
	StreamRate float64 `json:"s"`
	// EngineRate is what one prefill engine was seen to compute, in tokens a second; 0
	// if this instance has not measured it. Of several instances the highest counts.
	EngineRate float64 `json:"e,omitempty"`
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
	// Relayed holds what the sender heard of others, with its age.
	Relayed []Relayed `json:"others,omitempty"`
}

// Relayed is a heartbeat heard from somebody else.
type Relayed struct {
	Member Member `json:"m"`
	AgeMS  int64  `json:"age"`
}

// peerState is what is known of another instance.
type peerState struct {
	member Member
	// heard is when its heartbeat was made, at the latest, on this instance's clock.
	heard time.Time
	// answered is when it last answered a call of this instance, told when it last
	// told of itself, in a call of its own or in an answer.
	answered time.Time
	told     time.Time
}

// Roster holds what is known of the instances. It is not safe for concurrent use.
type Roster struct {
	self  Member
	seeds []string
	peers map[ident.InstanceID]*peerState
	alive []ident.InstanceID
	// held is since when this instance has been the one chosen for a duty.
	held map[string]time.Time
	// refreshed is when the roster was last looked at.
	refreshed time.Time
	// relayed is when a heartbeat last named other instances.
	relayed time.Time
}

// large reports whether the fleet is too large for all pairs to exchange
// heartbeats.
func (r *Roster) large() bool { return len(r.peers) > fullMesh }

// aliveFor is how long after its last heartbeat an instance counts as alive.
func (r *Roster) aliveFor(m *Member) time.Duration {
	switch {
	case !r.large():
		return aliveFor
	case m.Zone != r.self.Zone:
		return aliveForForeign
	default:
		return aliveForRelayed
	}
}

// NewRoster returns a roster that knows only the addresses of some instances.
func NewRoster(self Member, seeds []string) *Roster {
	return &Roster{self: self, seeds: seeds, peers: map[ident.InstanceID]*peerState{}, held: map[string]time.Time{}}
}

// SetSeeds replaces the seeds.
func (r *Roster) SetSeeds(seeds []string) { r.seeds = seeds }

// Leave marks this instance as stopping.
func (r *Roster) Leave() { r.self.Leaving = true }

// Beats returns how long to wait between two heartbeats.
func (r *Roster) Beats() time.Duration {
	if r.large() {
		return beatRelayed
	}
	return beatInterval
}

// Beat makes this instance's next heartbeat. In a small fleet it names the others only
// each relayInterval: all pairs talk anyway.
func (r *Roster) Beat(now time.Time, load Load) Heartbeat {
	r.Update(load)
	if !r.large() && !r.relayed.IsZero() && now.Sub(r.relayed) < relayInterval {
		return Heartbeat{From: r.self}
	}
	r.relayed = now
	return r.Heartbeat(now)
}

// Update takes in this instance's newest load.
func (r *Roster) Update(load Load) {
	r.self.Sequence++
	r.self.Load = load
}

// Answer returns the answer to a heartbeat: in a small fleet without the others.
func (r *Roster) Answer(now time.Time) Heartbeat {
	if r.large() {
		return r.Heartbeat(now)
	}
	return Heartbeat{From: r.self}
}

// Heartbeat returns what to tell a peer now.
func (r *Roster) Heartbeat(now time.Time) Heartbeat {
	h := Heartbeat{From: r.self}
	for _, p := range r.peers {
		age := now.Sub(p.heard)
		if age >= r.aliveFor(&p.member) {
			continue
		}
		// Loads come from the instance itself or a hub: relayed, they would be most
		// of the bytes between zones.
		m := p.member
		m.Load = Load{}
		h.Relayed = append(h.Relayed, Relayed{Member: m, AgeMS: age.Milliseconds()})
	}
	return h
}

// Receive takes in a heartbeat.
func (r *Roster) Receive(now time.Time, h Heartbeat) {
	r.take(now, h.From)
	if p := r.peers[h.From.ID]; p != nil {
		p.told = now
	}
	for _, o := range h.Relayed {
		r.take(now.Add(-time.Duration(o.AgeMS)*time.Millisecond), o.Member)
	}
	r.refresh(now)
}

// Answered takes in that a peer answered a call.
func (r *Roster) Answered(now time.Time, id ident.InstanceID) {
	if p := r.peers[id]; p != nil {
		p.answered = now
	}
}

// take keeps the newest heartbeat of a member.
func (r *Roster) take(heard time.Time, m Member) {
	if m.ID == r.self.ID || m.ID == "" {
		return
	}
	p := r.peers[m.ID]
	if p == nil {
		r.peers[m.ID] = &peerState{member: m, heard: heard}
		return
	}
	if !m.newer(&p.member) {
		if !p.member.newer(&m) && !m.Load.empty() {
			// The same heartbeat, heard of before it came itself.
			p.member.Load = m.Load
		}
		return
	}
	if m.Load.empty() {
		m.Load = p.member.Load
	}
	p.member, p.heard = m, heard
}

// refresh notes whether the set of live instances changed, and forgets the dead. An
// instance that stood still forgets its duties: others have taken them over meanwhile.
func (r *Roster) refresh(now time.Time) {
	if now.Sub(r.refreshed) > stoodStill {
		clear(r.held)
	}
	r.refreshed = now
	alive := r.aliveIDs(now)
	if !slices.Equal(alive, r.alive) {
		r.alive = alive
		r.reviewDuties()
	}
	for id, p := range r.peers {
		if now.Sub(p.heard) > rememberFor {
			delete(r.peers, id)
		}
	}
}

// aliveIDs returns the live instances, this one among them, sorted.
func (r *Roster) aliveIDs(now time.Time) []ident.InstanceID {
	ids := []ident.InstanceID{r.self.ID}
	for id, p := range r.peers {
		if now.Sub(p.heard) < r.aliveFor(&p.member) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Alive returns how many instances live, this one among them.
func (r *Roster) Alive(now time.Time) int {
	r.refresh(now)
	return len(r.alive)
}

// InTouch reports whether most of the instances that this one calls answered it
// within the given time, and most of those known to it live: after a freeze or on
// the smaller side of a cut that is not so.
func (r *Roster) InTouch(now time.Time, within time.Duration) bool {
	r.refresh(now)
	recent := 1
	for _, p := range r.peers {
		if now.Sub(p.answered) < within {
			recent++
		}
	}
	called := len(r.alive)
	if r.large() {
		called = fanout + 1
	}
	return 2*recent > called && r.majority()
}

// majority reports whether most of the instances known to this one live, as of the
// last refresh.
func (r *Roster) majority() bool { return 2*len(r.alive) > len(r.peers)+1 }

// Members returns the heartbeats of the live peers.
func (r *Roster) Members(now time.Time) []Member {
	r.refresh(now)
	var out []Member
	for _, id := range r.alive {
		if p := r.peers[id]; p != nil {
			out = append(out, p.member)
		}
	}
	return out
}

// OtherZones returns the zones of live peers but this instance's own.
func (r *Roster) OtherZones(now time.Time) []ident.Zone {
	r.refresh(now)
	var zones []ident.Zone
	for _, id := range r.alive {
		p := r.peers[id]
		if p != nil && p.member.Zone != r.self.Zone && !slices.Contains(zones, p.member.Zone) {
			zones = append(zones, p.member.Zone)
		}
	}
	return zones
}
