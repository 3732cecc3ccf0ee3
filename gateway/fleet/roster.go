package fleet

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

const (
	// aliveFor is how long after its last heartbeat an instance counts as alive:
	// heartbeats are exchanged every 300 ms, so several in a row were lost.
	aliveFor = 2 * time.Second
	// aliveForRelayed is the same in a large fleet, where a sign of life counts from when
	// it came and takes some three rounds of a second to reach all of its zone, and
	// aliveForForeign for instances of other zones, whose news takes some rounds more.
	aliveForRelayed = 6 * time.Second
	aliveForForeign = 9 * time.Second
	// stoodStill is the gap in this instance's own doings, which look at the roster
	// every half second, that shows that it was paused.
	stoodStill = time.Second
	// rememberFor is how long a silent instance is still called, so that both
	// sides of a cut find each other again.
	rememberFor = 90 * time.Second
	// fullMesh is the largest fleet in which every pair exchanges heartbeats; in
	// larger ones each instance calls fanout others of its zone and relays what it
	// knows. One more partner makes news a quarter younger, for half as many bytes again.
	fullMesh = 16
	fanout   = 2
	// passedOver is how long an instance that did not answer a call is passed over as a hub
	// by the one that called it. Only after 6 s of silence it counts as dead to all; until
	// then its zone would have neither sums of loads nor new lists.
	passedOver = 3 * time.Second
	// inTouchOf is how many instances of a large fleet, this one included, most of which
	// must have answered lately for it to count as in touch.
	inTouchOf = 4
	// mostDescribed is how many instances of a zone a message describes to one that lacks
	// them, at 110 bytes each: a link of 10 Mbit/s takes 6 ms for them.
	mostDescribed = 64
	// foreignCalls is how many of a zone's instances call one of another zone in each
	// round of a large fleet: bytes between zones are dear.
	foreignCalls = 4
)

// peerState is what is known of another instance.
type peerState struct {
	member Member
	// key is that of the member's description.
	key recordKey
	// heard is when its newest heartbeat was made, on this instance's clock; in a large
	// fleet when the sign of life came.
	heard time.Time
	// answered is when it last answered a call of this instance, told when it last
	// told of itself, in a call of its own or in an answer.
	answered time.Time
	told     time.Time
	// failed is when a call to it last failed.
	failed time.Time
	// greeted is the incarnation that an answer has named the others to.
	greeted ident.Incarnation
}

// Roster holds what is known of the instances. It is not safe for concurrent use.
type Roster struct {
	self  Member
	seeds []string
	peers map[ident.InstanceID]*peerState
	byKey map[recordKey]*peerState
	// alive are the live instances as of the last look, candidates those of them that
	// are not stopping, by zone; "" for all. They hold until the roster changes or
	// reviewAt, when the next one lapses: some 100 looks a second need not sort 295
	// instances each.
	alive      []ident.InstanceID
	candidates map[ident.Zone][]ident.InstanceID
	changed    bool
	reviewAt   time.Time
	// groups are the live instances by zone, as packed heartbeats name them.
	groups map[ident.Zone]*group
	// held is since when this instance has been the one chosen for a duty.
	held map[string]time.Time
	// refreshed is when the roster was last looked at.
	refreshed time.Time
	// partners are the addresses that the last round in a large fleet called in the own
	// zone.
	partners []string
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

// lives reports whether a peer counts as alive.
func (r *Roster) lives(now time.Time, p *peerState) bool {
	return now.Sub(p.heard) < r.aliveFor(&p.member)
}

// NewRoster returns a roster that knows only the addresses of some instances.
func NewRoster(self Member, seeds []string) *Roster {
	return &Roster{
		self: self, seeds: seeds, held: map[string]time.Time{}, changed: true,
		peers: map[ident.InstanceID]*peerState{}, byKey: map[recordKey]*peerState{},
	}
}

// SetSeeds replaces the seeds.
func (r *Roster) SetSeeds(seeds []string) { r.seeds = seeds }

// Leave marks this instance as stopping.
func (r *Roster) Leave() {
	r.self.Leaving = true
	r.changed = true
}

// Answered takes in that a peer answered a call.
func (r *Roster) Answered(now time.Time, id ident.InstanceID) {
	if p := r.peers[id]; p != nil {
		p.answered = now
	}
}

// Called takes in whether the peer at an address answered a call.
func (r *Roster) Called(now time.Time, address string, answered bool) {
	for _, p := range r.peers {
		switch {
		case p.member.Address != address:
		case answered:
			p.failed = time.Time{}
		default:
			p.failed = now
		}
	}
}

// Forgive has the peers of the own zone that did not answer be called again: the next
// candidate for the hub gets answers from them.
func (r *Roster) Forgive() {
	for _, p := range r.peers {
		if p.member.Zone == r.self.Zone {
			p.failed = time.Time{}
		}
	}
}

// refresh notes whether the set of live instances changed, and forgets the dead. An
// instance that stood still forgets its duties: others have taken them over meanwhile.
func (r *Roster) refresh(now time.Time) {
	if now.Sub(r.refreshed) > stoodStill {
		clear(r.held)
	}
	r.refreshed = now
	if !r.changed && now.Before(r.reviewAt) {
		return
	}
	r.forget(now)
	alive := r.review(now)
	r.changed = false
	r.candidates = map[ident.Zone][]ident.InstanceID{}
	r.groups = map[ident.Zone]*group{}
	same := slices.Equal(alive, r.alive)
	r.alive = alive
	for _, id := range alive {
		r.addCandidate(id)
	}
	if !same {
		r.reviewDuties()
	}
}

// review returns the live instances, this one among them, sorted, and notes when to look
// again: when the first of them lapses, or a silent one is to be forgotten.
func (r *Roster) review(now time.Time) []ident.InstanceID {
	ids := []ident.InstanceID{r.self.ID}
	r.reviewAt = now.Add(rememberFor)
	for id, p := range r.peers {
		until := p.heard.Add(rememberFor)
		if r.lives(now, p) {
			ids = append(ids, id)
			until = p.heard.Add(r.aliveFor(&p.member))
		}
		if until.Before(r.reviewAt) {
			r.reviewAt = until
		}
	}
	slices.Sort(ids)
	return ids
}

// forget drops the peers that were silent for long.
func (r *Roster) forget(now time.Time) {
	for id, p := range r.peers {
		if now.Sub(p.heard) < rememberFor {
			continue
		}
		delete(r.peers, id)
		if r.byKey[p.key] == p {
			delete(r.byKey, p.key)
		}
	}
}

// addCandidate adds a live instance to its zone's group, and to the candidates for duties
// unless it is stopping.
func (r *Roster) addCandidate(id ident.InstanceID) {
	m, p := &r.self, r.peers[id]
	key := keyOf(m)
	if p != nil {
		m, key = &p.member, p.key
	}
	if r.groups[m.Zone] == nil {
		r.groups[m.Zone] = &group{}
	}
	r.groups[m.Zone].add(key, p)
	if m.Leaving {
		return
	}
	r.candidates[""] = append(r.candidates[""], id)
	r.candidates[m.Zone] = append(r.candidates[m.Zone], id)
}

// hear takes in that a peer's newest heartbeat was made at the given time.
func (r *Roster) hear(p *peerState, heard time.Time) {
	if p.heard.Add(r.aliveFor(&p.member)).Before(r.reviewAt) {
		// It had lapsed.
		r.changed = true
	}
	p.heard = heard
	if until := heard.Add(r.aliveFor(&p.member)); until.Before(r.reviewAt) {
		r.reviewAt = until
	}
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
		called = inTouchOf
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
	return slices.DeleteFunc(r.zones(), func(z ident.Zone) bool { return z == r.self.Zone })
}
