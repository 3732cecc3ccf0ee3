package orders

import (
	"slices"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// versionReport is a report of the bundle version that is in force at its sender.
type versionReport struct {
	version uint64
	at      time.Time
}

// freshness decides whether the bundle in force on this instance is the newest
// one, from the reports of peers, the platform and engines. It can be wrong only
// if most instances of a zone have the same stale bundle, as in a zone that is
// partitioned from the rest.
type freshness struct {
	// reportTTL is the time for which a report is valid.
	reportTTL time.Duration
	version   uint64
	// highestVersion is the highest version in any report. It never expires.
	highestVersion uint64
	// peerIDs lists the other instances of the zone that are not known to be dead.
	peerIDs        []ident.InstanceID
	peerReports    map[ident.InstanceID]versionReport
	platformReport versionReport
}

// observeVersion records a version that was reported by any source.
func (c *freshness) observeVersion(version uint64) { c.highestVersion = max(c.highestVersion, version) }

// addPeerReport records a peer's report of the version in force there.
func (c *freshness) addPeerReport(id ident.InstanceID, report versionReport) {
	c.observeVersion(report.version)
	if report.at.After(c.peerReports[id].at) {
		c.peerReports[id] = report
	}
}

// setPlatformReport records the platform's report of the published version.
func (c *freshness) setPlatformReport(report versionReport) {
	c.observeVersion(report.version)
	c.platformReport = report
}

// clearReports discards all reports, but keeps the highest version.
func (c *freshness) clearReports() {
	c.peerReports = make(map[ident.InstanceID]versionReport)
	c.platformReport = versionReport{}
}

// confirmedUntil returns the time until which the bundle in force here is
// confirmed to be the newest. More than half of the zone's instances, including
// this one, must have it in force. The platform's data may be stale, so its
// report counts only if the instance has no peer in its zone.
func (c *freshness) confirmedUntil(now time.Time) (until time.Time, ok bool) {
	if c.version == 0 || c.highestVersion > c.version {
		return time.Time{}, false
	}
	if len(c.peerIDs) == 0 {
		return c.expiry(now, c.platformReport)
	}
	var expiries []time.Time
	for _, id := range c.peerIDs {
		if at, counts := c.expiry(now, c.peerReports[id]); counts {
			expiries = append(expiries, at)
		}
	}
	// More than half of len(peerIDs)+1, not counting this instance.
	needed := (len(c.peerIDs) + 1) / 2
	if len(expiries) < needed {
		return time.Time{}, false
	}
	slices.SortFunc(expiries, func(a, b time.Time) int { return b.Compare(a) })
	return expiries[needed-1], true
}

// expiry returns the time until which a report confirms the version in force
// here, or false if it does not confirm it.
func (c *freshness) expiry(now time.Time, report versionReport) (time.Time, bool) {
	at := report.at.Add(c.reportTTL)
	return at, report.version == c.version && now.Before(at)
}
