package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

const (
	// relayInterval is the time between two heartbeats that name other instances in a small
	// fleet. An instance is named three times before it stops counting as alive.
	relayInterval = 600 * time.Millisecond
)

// HeartbeatInterval returns the time to wait between two heartbeats.
func (r *Roster) HeartbeatInterval() time.Duration {
	if r.isLarge() {
		return largeHeartbeatInterval
	}
	return heartbeatInterval
}

// NextHeartbeat returns this instance's next heartbeat. In a small fleet it names the other
// instances only once per relayInterval, since all pairs exchange heartbeats directly.
func (r *Roster) NextHeartbeat(now time.Time, load Load) Heartbeat {
	r.SetLoad(load)
	if !r.isLarge() && !r.lastRelayed.IsZero() && now.Sub(r.lastRelayed) < relayInterval {
		return r.newHeartbeat()
	}
	r.lastRelayed = now
	return r.Heartbeat(now)
}

// SetLoad sets this instance's load and increments its sequence.
func (r *Roster) SetLoad(load Load) {
	r.self.Sequence++
	r.self.Load = load
}

// newHeartbeat returns a heartbeat that describes this instance only.
func (r *Roster) newHeartbeat() Heartbeat {
	return Heartbeat{From: r.self, Joined: r.Joined() && r.hasMajority()}
}

// Answer returns the answer to a received heartbeat. In a small fleet it names the other
// instances only to an instance that has just started: such an instance knows only some seeds and
// would overestimate its share of the retry budget. In a large fleet it lists the live instances
// of each zone for which the sender's set differs, and describes the instances that the sender
// does not know if the sender listed its own.
func (r *Roster) Answer(now time.Time, to Heartbeat) Heartbeat {
	if r.isLarge() {
		return r.answerLarge(now, to)
	}
	p := r.peers[to.From.ID]
	if p != nil && p.introducedTo == p.member.Incarnation {
		return r.newHeartbeat()
	}
	if p != nil {
		p.introducedTo = p.member.Incarnation
	}
	return r.Heartbeat(now)
}

// answerLarge answers a heartbeat in a large fleet.
func (r *Roster) answerLarge(now time.Time, to Heartbeat) Heartbeat {
	r.refresh(now)
	h := r.newHeartbeat()
	named := map[ident.Zone]uint64{}
	for _, z := range to.Zones {
		named[z.Zone] = z.Fingerprint
		if z.Named {
			h.Relayed = append(h.Relayed, r.describeMissing(now, to.From.ID, z)...)
		}
	}
	for _, zone := range r.zones() {
		known, ok := named[zone]
		h.Zones = append(h.Zones, r.zoneRecords(zone, !ok || known != r.groups[zone].fingerprint))
	}
	return h
}

// Heartbeat returns the heartbeat to send now: in a small fleet with descriptions of all live
// instances, in a large one with their sequences only. TestHeartbeatsOfALargeFleet measures the
// resulting traffic.
func (r *Roster) Heartbeat(now time.Time) Heartbeat {
	r.refresh(now)
	h := r.newHeartbeat()
	if r.isLarge() {
		for _, zone := range r.zones() {
			h.Zones = append(h.Zones, r.zoneRecords(zone, false))
		}
		return h
	}
	for _, p := range r.peers {
		if r.isAlive(now, p) {
			h.Relayed = append(h.Relayed, newRelayed(p, now.Sub(p.lastHeartbeat)))
		}
	}
	return h
}

// zones returns the zones that have live instances, sorted.
func (r *Roster) zones() []ident.Zone { return slices.Sorted(maps.Keys(r.groups)) }

// Receive processes a heartbeat received from a peer.
func (r *Roster) Receive(now time.Time, h Heartbeat) {
	r.receiveMember(now, h.From)
	r.joined = r.joined || h.Joined
	if p := r.peers[h.From.ID]; p != nil {
		p.lastDirect = now
	}
	for _, o := range h.Relayed {
		r.receiveMember(now.Add(-time.Duration(o.AgeMS)*time.Millisecond), o.Member)
	}
	r.refresh(now)
	for _, z := range h.Zones {
		r.receiveRecords(now, z)
	}
	r.refresh(now)
}

// receiveMember processes the description of an instance in a heartbeat made at the given time.
// Descriptions older than the known one are ignored.
func (r *Roster) receiveMember(madeAt time.Time, m Member) {
	if m.ID == r.self.ID || m.ID == "" {
		return
	}
	p := r.peers[m.ID]
	if p == nil {
		p = &peerState{lastHeartbeat: madeAt}
		r.peers[m.ID] = p
		r.setMember(p, m)
		return
	}
	if !m.newer(&p.member) {
		if !p.member.newer(&m) && !m.Load.empty() {
			// A peer relayed this heartbeat without its load before it arrived directly.
			p.member.Load = m.Load
		}
		return
	}
	if m.Load.empty() {
		m.Load = p.member.Load
	}
	r.recordHeartbeat(p, madeAt)
	r.setMember(p, m)
}

// setMember stores the description of a peer and updates the index by key.
func (r *Roster) setMember(p *peerState, m Member) {
	key := keyOf(&m)
	if key != p.key || p.member.ID == "" {
		if r.byKey[p.key] == p {
			delete(r.byKey, p.key)
		}
		if r.byKey[key] == nil {
			r.byKey[key] = p
		}
		p.key = key
		r.changed = true
	}
	p.member = m
}
