package fleet

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/rendezvous"
)

// dutyStore is the duty of reading the store and adding up the loads for a zone.
const dutyStore = "store"

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

// Hub returns the address of the instance that reads the store and adds up the
// loads for a zone, "" if none lives; self is true if it is this one. Those that did not
// answer this instance lately are passed over.
func (r *Roster) Hub(now time.Time, zone ident.Zone) (address string, self bool) {
	r.refresh(now)
	for _, id := range rendezvous.Top(dutyStore, r.candidates[zone], mostPassedOver) {
		if id == r.self.ID {
			return r.self.Address, true
		}
		if p := r.peers[id]; now.Sub(p.failed) >= passedOver {
			return p.member.Address, false
		}
	}
	return "", false
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

// Inhabited reports whether any instance of a zone lives and is not stopping.
func (r *Roster) Inhabited(now time.Time, zone ident.Zone) bool {
	r.refresh(now)
	return len(r.candidates[zone]) > 0
}
