package fleet

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

const (
	// aliveTimeout is how long after its last heartbeat an instance counts as alive in a small
	// fleet. Heartbeats are exchanged every 300 ms, so several in a row must be lost before it no
	// longer does.
	aliveTimeout = 2 * time.Second
	// aliveTimeoutLarge is the same in a large fleet. There the time counts from the arrival of a
	// relayed heartbeat, which takes about three rounds of one second to reach all instances of
	// the zone. aliveTimeoutOtherZone applies to instances of other zones, whose heartbeats take a
	// few rounds more.
	aliveTimeoutLarge     = 6 * time.Second
	aliveTimeoutOtherZone = 9 * time.Second
	// pauseThreshold is the time without activity after which this instance concludes that its
	// process was paused. The roster is used at least every half second.
	pauseThreshold = time.Second
	// peerRetention is how long a silent instance is still called, so that both sides of a network
	// partition find each other again after it ends.
	peerRetention = 90 * time.Second
	// maxMeshPeers is the largest number of peers with which every pair of instances exchanges
	// heartbeats. In larger fleets, each instance calls fanout others of its zone in each round
	// and relays what it knows. One more partner would make what it relays a quarter younger at the
	// cost of half as many bytes again.
	maxMeshPeers = 16
	fanout       = 2
	// failedCallBackoff is how long an instance that did not answer a call is skipped as holder of a
	// duty by the caller. It stops counting as alive only after 6 s of silence; until then its
	// zone would get neither sums of loads nor new lists.
	failedCallBackoff = 3 * time.Second
	// quorumSizeLarge is the number of instances, including this one, most of which must have
	// answered recently for an instance of a large fleet to have a quorum.
	quorumSizeLarge = 4
	// joinTime is how long an instance usually takes at most to find the seeds after its start.
	joinTime = 3 * time.Second
	// unknownInstances is larger than any number of instances.
	unknownInstances = 1 << 20
	// maxDescribed is the largest number of instances of a zone that one message describes, at
	// 110 bytes each. A link of 10 Mbit/s takes 6 ms to transfer them.
	maxDescribed = 64
	// crossZoneCallers is how many of a zone's instances call an instance of another zone in each
	// round of a large fleet, on average. Traffic between zones is expensive.
	crossZoneCallers = 4
)

// peerState is what is known of another instance.
type peerState struct {
	member Member
	// key is the key of the member's description.
	key recordKey
	// lastHeartbeat is when the peer's newest heartbeat was made, by this instance's clock. In a
	// large fleet it is when that heartbeat arrived, directly or relayed.
	lastHeartbeat time.Time
	// lastAnswer is when the peer last answered a call of this instance. lastDirect is when a
	// heartbeat last came directly from the peer, in a call or in an answer.
	lastAnswer time.Time
	lastDirect time.Time
	// lastFailedCall is when a call to the peer last failed, zero if a later one succeeded.
	lastFailedCall time.Time
	// introducedTo is the incarnation of the peer to which an answer has already named all other
	// instances.
	introducedTo ident.Incarnation
}

// Roster holds what is known of the instances of the fleet. It is not safe for concurrent use.
type Roster struct {
	self  Member
	seeds []string
	peers map[ident.InstanceID]*peerState
	byKey map[recordKey]*peerState
	// alive holds the live instances as of the last refresh, candidates those of them that are
	// not stopping, by zone, with all of them under "". They are valid until the roster changes
	// or until validUntil, when the next instance stops counting as alive. The roster is queried
	// about 100 times a second, and sorting 295 instances each time would be too expensive.
	alive      []ident.InstanceID
	candidates map[ident.Zone][]ident.InstanceID
	changed    bool
	validUntil time.Time
	// groups holds the live instances by zone, as ZoneRecords list them.
	groups map[ident.Zone]*group
	// heldSince holds the time since which this instance has held each of its duties.
	heldSince map[string]time.Time
	// joined is set once the instance has joined the fleet; see Joined. formerZoneSize is the number of known
	// instances of the own zone when it last forgot most of the others, 0 if it never did.
	joined         bool
	formerZoneSize int
	// seedsDown holds when a connection to a seed was last refused, for seeds that have not answered since.
	seedsDown map[string]time.Time
	// lastRefresh is the time of the last refresh.
	lastRefresh time.Time
	// partners holds the addresses in the own zone that were called in the last round in a large
	// fleet.
	partners []string
	// lastRelayed is when a heartbeat last named other instances.
	lastRelayed time.Time
}

// isLarge reports whether the fleet has too many instances for all pairs to exchange heartbeats.
func (r *Roster) isLarge() bool { return len(r.peers) > maxMeshPeers }

// aliveTimeout returns how long after its last heartbeat an instance counts as alive.
func (r *Roster) aliveTimeout(m *Member) time.Duration {
	switch {
	case !r.isLarge():
		return aliveTimeout
	case m.Zone != r.self.Zone:
		return aliveTimeoutOtherZone
	default:
		return aliveTimeoutLarge
	}
}

// isAlive reports whether a peer counts as alive.
func (r *Roster) isAlive(now time.Time, p *peerState) bool {
	return now.Sub(p.lastHeartbeat) < r.aliveTimeout(&p.member)
}

// NewRoster returns a roster that knows only this instance and the addresses of some seeds.
func NewRoster(self Member, seeds []string) *Roster {
	return &Roster{
		self: self, seeds: seeds, heldSince: map[string]time.Time{}, changed: true,
		peers: map[ident.InstanceID]*peerState{}, byKey: map[recordKey]*peerState{},
	}
}

// SetSeeds replaces the seed addresses.
func (r *Roster) SetSeeds(seeds []string) { r.seeds = seeds }

// Leave marks this instance as stopping.
func (r *Roster) Leave() {
	r.self.Leaving = true
	r.changed = true
}

// RecordAnswer records that a peer answered a heartbeat of this instance.
func (r *Roster) RecordAnswer(now time.Time, id ident.InstanceID) {
	if p := r.peers[id]; p != nil {
		p.lastAnswer = now
	}
}

// RecordCall records whether the peer at an address answered a call. A peer that did not is
// skipped as holder of duties for failedCallBackoff.
func (r *Roster) RecordCall(now time.Time, address string, answered bool) {
	for _, p := range r.peers {
		switch {
		case p.member.Address != address:
		case answered:
			p.lastFailedCall = time.Time{}
		default:
			p.lastFailedCall = now
		}
	}
}

// ClearFailures clears the failed calls of the peers of the own zone, so that they are considered
// for duties again. It is used when the next candidate for the hub answers that it is not the
// hub: it still gets answers from the instance that this one skips.
func (r *Roster) ClearFailures() {
	for _, p := range r.peers {
		if p.member.Zone == r.self.Zone {
			p.lastFailedCall = time.Time{}
		}
	}
}

// refresh updates the set of live instances if it may have changed, and removes peers that were
// silent for too long. If this instance was paused, it drops the times since which it has held
// duties: other instances may have taken them over meanwhile.
func (r *Roster) refresh(now time.Time) {
	if now.Sub(r.lastRefresh) > pauseThreshold {
		clear(r.heldSince)
	}
	r.lastRefresh = now
	if !r.changed && now.Before(r.validUntil) {
		return
	}
	r.removeSilent(now)
	alive := r.updateAlive(now)
	r.changed = false
	r.candidates = map[ident.Zone][]ident.InstanceID{}
	r.groups = map[ident.Zone]*group{}
	same := slices.Equal(alive, r.alive)
	r.alive = alive
	for _, id := range alive {
		r.addCandidate(id)
	}
	if !same {
		r.dropLostDuties()
	}
}

// updateAlive returns the live instances including this one, sorted, and sets validUntil to the time
// when the next one stops counting as alive or a silent one is to be removed.
func (r *Roster) updateAlive(now time.Time) []ident.InstanceID {
	ids := []ident.InstanceID{r.self.ID}
	r.validUntil = now.Add(peerRetention)
	for id, p := range r.peers {
		until := p.lastHeartbeat.Add(peerRetention)
		if r.isAlive(now, p) {
			ids = append(ids, id)
			until = p.lastHeartbeat.Add(r.aliveTimeout(&p.member))
		}
		if until.Before(r.validUntil) {
			r.validUntil = until
		}
	}
	slices.Sort(ids)
	return ids
}

// removeSilent removes the peers that have been silent for peerRetention. If most instances are silent, they may be
// the larger side of a network partition: without them, the rest shows no majority until it has joined again.
func (r *Roster) removeSilent(now time.Time) {
	alive, known := 1, len(r.peers)+1
	for _, p := range r.peers {
		if r.isAlive(now, p) {
			alive++
		}
	}
	zoneSize := r.knownInZone(r.self.Zone)
	for id, p := range r.peers {
		if now.Sub(p.lastHeartbeat) < peerRetention {
			continue
		}
		if r.joined && !p.member.Leaving && 2*alive <= known {
			r.joined, r.formerZoneSize = false, zoneSize
		}
		delete(r.peers, id)
		if r.byKey[p.key] == p {
			delete(r.byKey, p.key)
		}
	}
}

// addCandidate adds a live instance to its zone's group and, unless it is stopping, to the
// candidates for duties.
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

// recordHeartbeat records that a peer's newest heartbeat was made at the given time.
func (r *Roster) recordHeartbeat(p *peerState, madeAt time.Time) {
	if p.lastHeartbeat.Add(r.aliveTimeout(&p.member)).Before(r.validUntil) {
		// The peer had stopped counting as alive.
		r.changed = true
	}
	p.lastHeartbeat = madeAt
	if until := madeAt.Add(r.aliveTimeout(&p.member)); until.Before(r.validUntil) {
		r.validUntil = until
	}
}

// Alive returns the number of live instances including this one.
func (r *Roster) Alive(now time.Time) int {
	r.refresh(now)
	return len(r.alive)
}

// HasQuorum reports whether most of the instances that this one calls have answered it within the
// given time, and most of those known to it are alive. That is not so after a pause of the
// process or on the minority side of a network partition.
func (r *Roster) HasQuorum(now time.Time, within time.Duration) bool {
	r.refresh(now)
	recent := 1
	for _, p := range r.peers {
		if now.Sub(p.lastAnswer) < within {
			recent++
		}
	}
	called := len(r.alive)
	if r.isLarge() {
		called = quorumSizeLarge
	}
	return 2*recent > called && r.hasMajority()
}

// Joined reports whether this instance has joined the fleet since its start, and since it last forgot most of the
// others: it has found most of the seeds, itself included if it is one, or an instance that has joined. Until then,
// any number of instances that it doesn't know may be running, so that those which it knows show no majority.
func (r *Roster) Joined() bool {
	if !r.joined {
		r.joined = r.foundMostSeeds()
	}
	return r.joined
}

// foundMostSeeds reports whether most of the seeds are known instances or this one.
func (r *Roster) foundMostSeeds() bool {
	found := 0
	for _, s := range r.seeds {
		if r.knowsAddress(s) {
			found++
		}
	}
	return 2*found > len(r.seeds) || len(r.seeds) == 0
}

// hasMajority reports whether most of the known instances, including this one, are alive as of the
// last refresh.
func (r *Roster) hasMajority() bool { return 2*len(r.alive) > len(r.peers)+1 }

// Members returns the newest heartbeats of the live peers.
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

// OtherZones returns the zones that have live instances, except this instance's own.
func (r *Roster) OtherZones(now time.Time) []ident.Zone {
	r.refresh(now)
	return slices.DeleteFunc(r.zones(), func(z ident.Zone) bool { return z == r.self.Zone })
}
