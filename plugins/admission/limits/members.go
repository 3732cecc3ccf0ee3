package limits

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

const (
	// warmUp is the longest time for which a new instance uses only its reserve.
	// By then its peers have learned of it, and loans that an earlier incarnation
	// made have expired or have been reported by their borrowers.
	warmUp = 2*lease + time.Second
	// quarantine is the time for which an instance keeps its share after it was
	// found dead, since peers that borrowed from it may still use the loans.
	quarantine = 2 * lease
	// zoneRetention is the time for which a zone keeps its share after its last
	// instance and upstream have disappeared from the view. A zone that is
	// partitioned from the others keeps serving, even if the platform no longer
	// lists it.
	zoneRetention = 10 * time.Minute
)

// members tracks the zones and instances among which the limits are divided.
type members struct {
	// version is incremented whenever the division changes.
	version uint64
	started time.Time
	// zones and peers are the zones, and the instances of this instance's zone,
	// that have a share. The value is the time since which the entry has been
	// missing from the view, and zero if it is in the view. peers includes this
	// instance.
	zones map[ident.Zone]time.Time
	peers map[ident.InstanceID]time.Time

	// viewVersion is the version of the last view that was read, and recheckAt
	// the time at which the division must be computed again without a new view.
	viewVersion uint64
	recheckAt   time.Time
	// zoneNames and instances are the keys of zones and peers, sorted.
	zoneNames []string
	instances []string
	// warmingUp is set while this instance is warming up and limited to the
	// reserveFraction of its share.
	warmingUp bool
	// lenders are the peers that may be asked for loans.
	lenders []ident.InstanceID
	// listed reports whether the view is trusted and contains this instance.
	listed bool
	// confirmed are the peers that include this instance in their division and
	// hold no loan made by an earlier incarnation of it.
	confirmed map[ident.InstanceID]bool
}

// start initializes m and begins the warm-up.
func (m *members) start(now time.Time) {
	m.started = now
	m.zones = map[ident.Zone]time.Time{}
	m.peers = map[ident.InstanceID]time.Time{}
	m.confirmed = map[ident.InstanceID]bool{}
}

// update recomputes the division from the host's view and the time. It does
// nothing if neither can have changed the division.
func (m *members) update(h kernel.Host) {
	now, v := h.Now(), h.View()
	if v.Version == m.viewVersion && now.Before(m.recheckAt) && m.version > 0 {
		return
	}
	m.viewVersion = v.Version
	m.recordView(v, h.Self(), now)
	m.recompute(h.Self(), now)
}

// recordView records which zones and instances are in the view.
func (m *members) recordView(v *kernel.View, self kernel.Self, now time.Time) {
	markMissing(m.zones, now)
	markMissing(m.peers, now)
	m.zones[self.Zone] = time.Time{}
	m.peers[self.Instance] = time.Time{}
	m.lenders = m.lenders[:0]
	m.listed = false
	for i := range v.Upstreams {
		if z := v.Upstreams[i].Zone; z != "" {
			m.zones[z] = time.Time{}
		}
	}
	for i := range v.Instances {
		m.recordInstance(&v.Instances[i], self, v.Trusted)
	}
}

// recordInstance records one instance of the view. The zone of a dead instance
// counts as present, the instance itself does not.
func (m *members) recordInstance(x *kernel.Instance, self kernel.Self, trusted bool) {
	m.zones[x.Zone] = time.Time{}
	if x.Zone != self.Zone || x.Liveness == kernel.Dead {
		return
	}
	m.peers[x.ID] = time.Time{}
	if x.ID == self.Instance {
		m.listed = trusted
		return
	}
	if x.Liveness <= kernel.Leaving {
		m.lenders = append(m.lenders, x.ID)
	}
}

// markMissing marks all entries as missing from now on. Entries that are already
// missing keep their time.
func markMissing[K ~string](since map[K]time.Time, now time.Time) {
	for name, at := range since {
		if at.IsZero() {
			since[name] = now
		}
	}
}

// recompute computes which zones and instances have a share and whether this
// instance is warming up, and sets the time of the next check.
func (m *members) recompute(self kernel.Self, now time.Time) {
	m.recheckAt = now.Add(recheckInterval)
	zones := removeExpired(m.zones, zoneRetention, now)
	instances := removeExpired(m.peers, quarantine, now)
	warmingUp := m.isWarmingUp(self, instances, now)
	if slices.Equal(zones, m.zoneNames) && slices.Equal(instances, m.instances) && warmingUp == m.warmingUp && m.version > 0 {
		return
	}
	m.zoneNames, m.instances, m.warmingUp = zones, instances, warmingUp
	m.version++
}

// isWarmingUp reports whether this instance must use only its reserve. Warm-up
// ends when the instance is in a trusted view and all peers have confirmed that
// they include it in their division, or after warmUp. It does not start again.
func (m *members) isWarmingUp(self kernel.Self, instances []string, now time.Time) bool {
	if m.version > 0 && !m.warmingUp {
		return false
	}
	if now.Sub(m.started) >= warmUp {
		return false
	}
	for _, x := range instances {
		if x != string(self.Instance) && !m.confirmed[ident.InstanceID(x)] {
			return true
		}
	}
	return !m.listed
}

// zoneShares returns the zones that have a share, sorted.
func (m *members) zoneShares(now time.Time) []ZoneShare {
	shares := make([]ZoneShare, 0, len(m.zoneNames))
	for _, name := range m.zoneNames {
		share := ZoneShare{Zone: ident.Zone(name)}
		if since := m.zones[share.Zone]; !since.IsZero() {
			share.MissingMS = now.Sub(since).Milliseconds()
		}
		shares = append(shares, share)
	}
	return shares
}

// learnZones adds zones that have a share at a peer and have never been in this
// instance's view.
func (m *members) learnZones(now time.Time, shares []ZoneShare) {
	for _, share := range shares {
		if _, known := m.zones[share.Zone]; !known && m.warmingUp {
			missing := min(max(share.MissingMS, 0), zoneRetention.Milliseconds())
			m.zones[share.Zone] = now.Add(-time.Duration(missing) * time.Millisecond)
			m.recheckAt = time.Time{}
		}
	}
}

// confirm records that a peer includes this instance in its division. among is
// the number of instances that the peer divides by; the confirmation is ignored
// if it is greater than this instance's own number.
func (m *members) confirm(peer ident.InstanceID, among int) {
	if m.warmingUp && among <= len(m.instances) {
		m.confirmed[peer] = true
		m.recheckAt = time.Time{}
	}
}

// unconfirmed returns the peers that may be asked for loans and have not yet
// confirmed that they include this instance in their division.
func (m *members) unconfirmed() []ident.InstanceID {
	var peers []ident.InstanceID
	for _, x := range m.lenders {
		if !m.confirmed[x] {
			peers = append(peers, x)
		}
	}
	return peers
}

// recheckInterval is the interval at which the division is recomputed without a
// new view.
const recheckInterval = 100 * time.Millisecond

// removeExpired returns the sorted names that have been missing for no longer
// than retention, and deletes the others.
func removeExpired[K ~string](since map[K]time.Time, retention time.Duration, now time.Time) []string {
	var names []string
	for name, at := range since {
		if !at.IsZero() && now.Sub(at) > retention {
			delete(since, name)
			continue
		}
		names = append(names, string(name))
	}
	slices.Sort(names)
	return names
}

// includes reports whether the instance has a share in this zone.
func (m *members) includes(id ident.InstanceID) bool {
	_, found := slices.BinarySearch(m.instances, string(id))
	return found
}

// base returns this instance's equal share of a workspace's limits: the limits
// are divided equally among zones, and a zone's share among its instances.
func (m *members) base(self kernel.Self, name ident.Workspace, limit Amount) Amount {
	zone := Amount{
		Rate:  limit.Rate / float64(len(m.zoneNames)),
		Slots: apportion(limit.Slots, name, string(self.Zone), m.zoneNames),
	}
	return Amount{
		Rate:  zone.Rate / float64(len(m.instances)),
		Slots: apportion(zone.Slots, name, string(self.Instance), m.instances),
	}
}

// apportion divides whole among the holders and returns the part of own. The
// parts add up to whole. The holders that receive one more than the others are
// chosen by a hash, and differ from workspace to workspace.
func apportion(whole int, name ident.Workspace, own string, holders []string) int {
	each := whole / len(holders)
	rest := whole % len(holders)
	if rest == 0 {
		return each
	}
	before := 0
	mine := rank(name, own)
	for _, h := range holders {
		r := rank(name, h)
		if r < mine || (r == mine && strings.Compare(h, own) < 0) {
			before++
		}
	}
	if before < rest {
		return each + 1
	}
	return each
}

// rank returns the hash that orders the holders for a workspace.
func rank(name ident.Workspace, holder string) uint64 {
	return xxhash.Sum64String(string(name) + "/" + holder)
}
