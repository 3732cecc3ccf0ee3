package fleet

import (
	"time"

	"github.com/wardspool/wardspool/ident"
)

const (
	// relayInterval is how often heartbeats of a small fleet name the others; three times
	// before a silent one counts as dead.
	relayInterval = 600 * time.Millisecond
)

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

// Answer returns the answer to a heartbeat of an instance: in a small fleet it names the
// others only to one that has just started, which knows no more than some seeds and would
// take its share of the retry budget for larger than it is.
func (r *Roster) Answer(now time.Time, to ident.InstanceID) Heartbeat {
	p := r.peers[to]
	if !r.large() && p != nil && p.greeted == p.member.Incarnation {
		return Heartbeat{From: r.self}
	}
	if p != nil {
		p.greeted = p.member.Incarnation
	}
	return r.Heartbeat(now)
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
