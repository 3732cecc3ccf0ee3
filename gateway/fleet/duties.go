package fleet

import (
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/rendezvous"
)

// dutyStore is the duty of reading the store and adding up the loads for a zone. The holder is
// the zone's hub.
const dutyStore = "store"

// isolationTimeout is how long an instance that has had no contact with any peer still acts as a
// member of the fleet. In normal operation, each instance calls or is called by some instances of
// its zone every second.
const isolationTimeout = 2500 * time.Millisecond

// maxDutyCandidates is the number of candidates for a duty that are considered when those ranked
// first did not answer.
const maxDutyCandidates = 4

// dropLostDuties drops the duties that have moved to other instances, and all duties if this
// instance is on the minority side of a network partition.
func (r *Roster) dropLostDuties() {
	for duty := range r.heldSince {
		if !r.hasMajority() || !r.isAssigned(duty, "") {
			delete(r.heldSince, duty)
		}
	}
}

// isAssigned reports whether a duty is assigned to this instance among those of a zone, or of all
// zones if zone is empty, as of the last refresh.
func (r *Roster) isAssigned(duty string, zone ident.Zone) bool {
	return rendezvous.Contains(duty, r.candidates[zone], 1, r.self.ID)
}

// HeldFor returns how long a duty has been assigned to this instance without interruption,
// counted from the first call for that duty. It returns 0 if the duty is assigned to another
// instance.
func (r *Roster) HeldFor(now time.Time, duty string) time.Duration {
	r.refresh(now)
	if !r.isAssigned(duty, "") {
		delete(r.heldSince, duty)
		return 0
	}
	since, ok := r.heldSince[duty]
	if !ok {
		since = now
		r.heldSince[duty] = now
	}
	return now.Sub(since)
}

// IsHolder reports whether a duty is assigned to this instance among the live instances of a zone,
// or among all live instances if zone is empty.
func (r *Roster) IsHolder(now time.Time, duty string, zone ident.Zone) bool {
	r.refresh(now)
	return r.isAssigned(duty, zone)
}

// dutyHolder identifies the instance that a duty is assigned to.
type dutyHolder struct {
	id          ident.InstanceID
	incarnation ident.Incarnation
	address     string
	// self is set if it is this instance.
	self bool
}

// DutyHolder returns the instance that a duty is assigned to in a zone. Candidates that recently
// failed to answer a call of this instance are skipped. It returns false if there is none among
// the first maxDutyCandidates candidates.
func (r *Roster) DutyHolder(now time.Time, name string, zone ident.Zone) (dutyHolder, bool) {
	r.refresh(now)
	for _, id := range rendezvous.Top(name, r.candidates[zone], maxDutyCandidates) {
		if id == r.self.ID {
			return dutyHolder{id: id, incarnation: r.self.Incarnation, address: r.self.Address, self: true}, true
		}
		if p := r.peers[id]; now.Sub(p.lastFailedCall) >= failedCallBackoff {
			return dutyHolder{id: id, incarnation: p.member.Incarnation, address: p.member.Address}, true
		}
	}
	return dutyHolder{}, false
}

// Hub returns the address of the instance that reads the store and adds up the loads for a zone,
// or an empty string if there is none. self reports whether it is this instance.
func (r *Roster) Hub(now time.Time, zone ident.Zone) (address string, self bool) {
	d, _ := r.DutyHolder(now, dutyStore, zone)
	return d.address, d.self
}

// Isolated reports whether this instance knows peers but has had no recent contact with any of
// them, because of a network failure or a pause of the process.
func (r *Roster) Isolated(now time.Time) bool {
	for _, p := range r.peers {
		if now.Sub(p.lastAnswer) < isolationTimeout || now.Sub(p.lastDirect) < isolationTimeout {
			return false
		}
	}
	return len(r.peers) > 0
}

// knownZones returns the number of zones with known instances, alive or not.
func (r *Roster) knownZones() int {
	zones := map[ident.Zone]bool{r.self.Zone: true}
	for _, p := range r.peers {
		zones[p.member.Zone] = true
	}
	return len(zones)
}

// knownInZone returns the number of known instances of a zone, alive or not, including this one
// if it belongs to the zone.
func (r *Roster) knownInZone(zone ident.Zone) int {
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

// Role returns this instance's role in reading the store for its zone, and the address of the
// zone's reader. The address is empty if this instance is the reader or if there is none.
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

// dutyZone returns the zone whose instances perform the duties for the upstreams of the given
// zone: that zone itself, or "" (all instances) if none of its instances is alive.
func (r *Roster) dutyZone(now time.Time, zone ident.Zone) ident.Zone {
	if r.HasCandidates(now, zone) {
		return zone
	}
	return ""
}

// HasCandidates reports whether a zone has a live instance that is not stopping.
func (r *Roster) HasCandidates(now time.Time, zone ident.Zone) bool {
	r.refresh(now)
	return len(r.candidates[zone]) > 0
}
