package fleet

import (
	"time"

	"github.com/wardspool/wardspool/gateway/schedule"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/rendezvous"
)

const (
	// coldRateFraction is the fraction of a cold upstream's tolerated request rate that all
	// instances together use.
	coldRateFraction = 0.75
	// coldSendersPerRate is the number of instances that may send to a cold upstream, per request
	// per second that it tolerates. Each may send a burst of one request, so with
	// coldRateFraction they stay within 1.25 times the tolerated rate in any second.
	coldSendersPerRate = 0.5
	// dutyCold is the prefix of the name of the duty to send to a cold upstream. The upstream's
	// ID follows.
	dutyCold = "cold/"
	// coldReportDelay is how long an upstream's report that it is cold may take to arrive.
	// Upstreams of a zone may turn cold just before its evacuation ends.
	coldReportDelay = 3 * time.Second
)

// ColdQuotas returns this instance's quotas for the cold upstreams whose services limit their
// request rate.
//
// A few instances of the upstream's zone may send to it. If all could, their bursts of one
// request each would exceed the tolerated rate in a large fleet. If only one could, it would
// have too few requests to use that rate.
func (n *Node) ColdQuotas(now time.Time) map[ident.UpstreamID]schedule.ColdQuota {
	s := n.Snapshot()
	quotas := map[ident.UpstreamID]schedule.ColdQuota{}
	if s.Table == nil {
		return quotas
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, service := range s.Table.Config().Services {
		if service.ColdRate <= 0 {
			continue
		}
		for _, u := range s.Upstreams[service.Name] {
			if u.Cold || n.reopenedWithin(now, u.Zone, service.ColdTime+coldReportDelay) {
				quotas[u.ID] = n.roster.coldQuota(now, u.ID, u.Zone, service.ColdRate)
			}
		}
	}
	return quotas
}

// reopenedWithin reports whether the evacuation of a zone ended within the given time. The
// caller holds mu.
func (n *Node) reopenedWithin(now time.Time, zone ident.Zone, within time.Duration) bool {
	at, ok := n.reopened[zone]
	return ok && now.Sub(at) < within
}

// coldQuota returns this instance's quota for a cold upstream of a zone, where rate is the
// tolerated rate in requests per second.
func (r *Roster) coldQuota(now time.Time, id ident.UpstreamID, zone ident.Zone, rate float64) schedule.ColdQuota {
	zone = r.dutyZone(now, zone)
	senders := min(max(1, int(coldSendersPerRate*rate)), len(r.candidates[zone]))
	if !rendezvous.Contains(dutyCold+string(id), r.candidates[zone], senders, r.self.ID) {
		return 0
	}
	return schedule.ColdQuota(coldRateFraction * rate / float64(senders))
}
