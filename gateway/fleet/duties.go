package fleet

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/rendezvous"
)

// dutyStore is the duty of reading the store and adding up the loads for a zone.
const dutyStore = "store"

// isolatedAfter is how long an instance that hears of no other goes on as one of them: each
// calls, or is called by, some of its zone every second.
const isolatedAfter = 2500 * time.Millisecond

// mostPassedOver is how many candidates for a hub are looked at.
const mostPassedOver = 4

// reviewDuties forgets the duties that have passed to others, and all on the smaller
// side of a cut.
func (r *Roster) reviewDuties() {
	for duty := range r.held {
		if !r.majority() || !r.chosen(duty, "") {
			delete(r.held, duty)
		}
	}
}

// chosen reports whether a duty falls to this instance of a zone, or of all, as of the
// last refresh.
func (r *Roster) chosen(duty string, zone ident.Zone) bool {
	return rendezvous.Contains(duty, r.candidates[zone], 1, r.self.ID)
}

// HeldFor returns for how long a duty has fallen to this instance without a break,
// since it was first asked for; 0 if it falls to another.
func (r *Roster) HeldFor(now time.Time, duty string) time.Duration {
	r.refresh(now)
	if !r.chosen(duty, "") {
		delete(r.held, duty)
		return 0
	}
	since, ok := r.held[duty]
	if !ok {
		since = now
		r.held[duty] = now
	}
	return now.Sub(since)
}

// Holder reports whether this instance is the one of all live ones that holds a
// duty, or of the live ones of a zone.
func (r *Roster) Holder(now time.Time, duty string, zone ident.Zone) bool {
	r.refresh(now)
	return r.chosen(duty, zone)
}

// duty is the instance that a duty falls to.
type duty struct {
	id          ident.InstanceID
	incarnation ident.Incarnation
	address     string
	// self means that it is this one.
	self bool
}

// Duty returns the instance that a duty falls to in a zone; false if none of the first few
// candidates lives. Those that did not answer this instance lately are passed over.
func (r *Roster) Duty(now time.Time, name string, zone ident.Zone) (duty, bool) {
	r.refresh(now)
	for _, id := range rendezvous.Top(name, r.candidates[zone], mostPassedOver) {
		if id == r.self.ID {
			return duty{id: id, incarnation: r.self.Incarnation, address: r.self.Address, self: true}, true
		}
		if p := r.peers[id]; now.Sub(p.failed) >= passedOver {
			return duty{id: id, incarnation: p.member.Incarnation, address: p.member.Address}, true
		}
	}
	return duty{}, false
}

// Hub returns the address of the instance that reads the store and adds up the
// loads for a zone, "" if none lives; self is true if it is this one.
func (r *Roster) Hub(now time.Time, zone ident.Zone) (address string, self bool) {
	d, _ := r.Duty(now, dutyStore, zone)
	return d.address, d.self
}

// Isolated reports whether this instance knows others and has heard of none lately: it is
// cut off, or stood still.
func (r *Roster) Isolated(now time.Time) bool {
	for _, p := range r.peers {
		if now.Sub(p.answered) < isolatedAfter || now.Sub(p.told) < isolatedAfter {
			return false
		}
	}
	return len(r.peers) > 0
}

// knownZones returns how many zones have had instances lately.
func (r *Roster) knownZones() int {
	zones := map[ident.Zone]bool{r.self.Zone: true}
	for _, p := range r.peers {
		zones[p.member.Zone] = true
	}
	return len(zones)
}

// knownIn returns how many instances a zone has had lately, this one among them if it is of
// the zone.
func (r *Roster) knownIn(zone ident.Zone) int {
	n := 0
	if r.self.Zone == zone {
		n = 1
	}
	for _, p := range r.peers {
		if p.member.Zone == zone {
			n++
		}
	}
	return n
}

// Role returns this instance's part in reading the store for its zone, and the address of
// the zone's reader, "" if it is this one or none lives.
func (r *Roster) Role(now time.Time) (as role, hub string) {
	hub, self := r.Hub(now, r.self.Zone)
	switch {
	case self:
		return reader, ""
	case rendezvous.Contains(dutyStore, r.candidates[r.self.Zone], 1+standbyReaders, r.self.ID):
		return standby, hub
	default:
		return follower, hub
	}
}

// dutyZone returns the zone whose instances hold the duties for the upstreams of a zone: that
// zone, or "" for all instances if none of it lives.
func (r *Roster) dutyZone(now time.Time, zone ident.Zone) ident.Zone {
	if r.Inhabited(now, zone) {
		return zone
	}
	return ""
}

// Inhabited reports whether any instance of a zone lives and is not stopping.
func (r *Roster) Inhabited(now time.Time, zone ident.Zone) bool {
	r.refresh(now)
	return len(r.candidates[zone]) > 0
}
