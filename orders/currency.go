package orders

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// claim is a report of the bundle version that is in force at its sender.
type claim struct {
	version uint64
	at      time.Time
}

// currency decides whether the bundle in force on this instance is the newest
// one, from the reports of peers, the platform and engines. It can be wrong only
// if most instances of a zone have the same stale bundle, as in a zone that is
// partitioned from the rest.
type currency struct {
	// within is the time for which a report is valid.
	within  time.Duration
	version uint64
	// highest is the highest version in any report. It never expires.
	highest uint64
	// others lists the other instances of the zone that are not known to be dead.
	others   []ident.InstanceID
	peers    map[ident.InstanceID]claim
	platform claim
}

// heard records a version that was reported by any source.
func (c *currency) heard(version uint64) { c.highest = max(c.highest, version) }

// peer records a peer's report of the version in force there.
func (c *currency) peer(id ident.InstanceID, said claim) {
	c.heard(said.version)
	if said.at.After(c.peers[id].at) {
		c.peers[id] = said
	}
}

// fromPlatform records the platform's report of the published version.
func (c *currency) fromPlatform(said claim) {
	c.heard(said.version)
	c.platform = said
}

// forget discards all reports, but keeps the highest version.
func (c *currency) forget() {
	c.peers = make(map[ident.InstanceID]claim)
	c.platform = claim{}
}

// confirmed returns the time until which the bundle in force here is confirmed to
// be the newest. More than half of the zone's instances, including this one, must
// have it in force. The platform's data may be stale, so its report counts only
// if the instance has no peer in its zone.
func (c *currency) confirmed(now time.Time) (until time.Time, ok bool) {
	if c.version == 0 || c.highest > c.version {
		return time.Time{}, false
	}
	if len(c.others) == 0 {
		return c.expiry(now, c.platform)
	}
	var expiries []time.Time
	for _, id := range c.others {
		if at, counts := c.expiry(now, c.peers[id]); counts {
			expiries = append(expiries, at)
		}
	}
	// More than half of len(others)+1, not counting this instance.
	needed := (len(c.others) + 1) / 2
	if len(expiries) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(expiries, func(a, b time.Time) int { return b.Compare(a) })
	return expiries[needed-1], true
}

// expiry returns the time until which a report confirms the version in force
// here, or false if it does not confirm it.
func (c *currency) expiry(now time.Time, said claim) (time.Time, bool) {
	at := said.at.Add(c.within)
	return at, said.version == c.version && now.Before(at)
}
