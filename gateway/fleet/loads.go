package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/internal/clock"
	"github.com/wardspool/wardspool/internal/pause"
	"github.com/wardspool/wardspool/peer"
)

// loads keeps the sum of the peers' loads up to date until ctx ends: from their heartbeats in a
// small fleet, through the zone's hub in a large one. An idle instance reports to the hub less
// often, until a request arrives.
func (n *Node) loads(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	wait, idle := sumInterval, false
	for pause.For(ctx, jitter(random, wait)) {
		if idle && !waitOrWake(ctx, jitter(random, idleReportInterval-wait), n.requestArrived) {
			return
		}
		if n.isLarge() {
			wait, idle = n.reportLoad(ctx, wait)
			continue
		}
		wait, idle = sumInterval, false
		n.mu.Lock()
		sum := NewLoad()
		for _, m := range n.roster.Members(clock.Now()) {
			if err := m.Load.dropInvalidQueues(); err != nil {
				n.loadDropped(m.ID, err)
			}
			sum.Add(m.Load)
			sum.addStated(&m.Load, 0)
		}
		n.mu.Unlock()
		n.setPeerLoad(sum, loadAge)
	}
}

// RequestArrived records the arrival of a request and ends the longer wait of an idle instance.
func (n *Node) RequestArrived() {
	now := clock.Now()
	n.lastRequest.Store(&now)
	select {
	case n.requestArrived <- struct{}{}:
	default:
	}
}

// requestWithin reports whether a request has arrived in the last d. Such a request may not be
// included in the load yet.
func (n *Node) requestWithin(d time.Duration) bool {
	at := n.lastRequest.Load()
	return at != nil && clock.Since(*at) <= d
}

// setPeerLoad stores the sum of the peers' loads and passes it to LoadChanged with its average age.
func (n *Node) setPeerLoad(sum Load, age time.Duration) {
	n.mu.Lock()
	n.peerLoad = sum
	n.mu.Unlock()
	n.opts.LoadChanged(sum, age)
}

// loadInterval returns the time between two reports to a hub whose sums are of the given size in
// bytes. Large sums are fetched less often, to bound the share of the instance's link and the
// hub's processor time that they take.
func (n *Node) loadInterval(sumBytes int) time.Duration {
	budget := min(loadLinkShare*n.opts.linkBytes(), maxLoadBytesPerSecond)
	return max(heartbeatInterval, time.Duration(float64(sumBytes)/budget*float64(time.Second)))
}

// PeerLoad returns the sum of the peers' loads.
func (n *Node) PeerLoad() Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peerLoad
}

// reportLoad reports this instance's load to the zone's hub and stores the sum in the answer. If
// this instance is the hub, it also exchanges the zone's load with the other hubs. interval is
// the current report interval; reportLoad returns the next one, and whether the instance is idle.
func (n *Node) reportLoad(ctx context.Context, interval time.Duration) (next time.Duration, idle bool) {
	own := LoadReport{From: n.opts.Self.ID, Zone: n.opts.Self.Zone, IntervalMS: interval.Milliseconds(), Load: n.opts.Load()}
	n.mu.Lock()
	own.Sequence = n.reports.Add(own.Load)
	address, self := n.roster.Hub(clock.Now(), n.opts.Self.Zone)
	n.mu.Unlock()
	answer, err := n.sendLoad(ctx, address, self, own)
	if self {
		n.reportToHubs(ctx, interval)
	}
	n.mu.Lock()
	n.roster.RecordCall(clock.Now(), address, err == nil)
	if answer.NotHub {
		n.roster.ClearFailures()
	}
	n.mu.Unlock()
	if err != nil || answer.NotHub {
		n.opts.Log.Debug("load report not accepted by peer", "peer", address, "not_hub", answer.NotHub, "error", err)
		return interval, false
	}
	n.mu.Lock()
	sum, err := n.reports.PeerLoad(answer)
	n.mu.Unlock()
	if err != nil {
		n.opts.Log.Warn("sum of loads not understood", "peer", address, "error", err)
		return interval, false
	}
	interval = n.loadInterval(len(answer.Sum))
	n.setPeerLoad(sum, interval*loadHops/2)
	return interval, !self && own.Load.idle() && !n.requestWithin(interval)
}

// reportToHubs sends this zone's load to the hubs of the other zones in the background. A hub that
// does not answer needs no handling here: the load of its zone expires.
func (n *Node) reportToHubs(ctx context.Context, interval time.Duration) {
	n.mu.Lock()
	now := clock.Now()
	report := n.zoneReport(now)
	report.IntervalMS = interval.Milliseconds()
	hubs := n.otherHubs(now)
	n.mu.Unlock()
	for _, hub := range hubs {
		go func() {
			answer, err := n.sendLoad(ctx, hub, false, report)
			n.mu.Lock()
			defer n.mu.Unlock()
			n.roster.RecordCall(clock.Now(), hub, err == nil)
			if err != nil || answer.ZoneLoad == nil {
				n.opts.Log.Debug("load report not accepted by peer", "peer", hub, "not_hub", answer.NotHub, "error", err)
				return
			}
			n.receiveReport(clock.Now(), *answer.ZoneLoad)
		}()
	}
}

// zoneReport returns a report of the load of this hub's zone for the hub of another zone. The caller
// holds mu.
func (n *Node) zoneReport(now time.Time) LoadReport {
	load := n.hub.ZoneLoad(now)
	return LoadReport{
		From: n.opts.Self.ID, Zone: n.opts.Self.Zone, WholeZone: true,
		Packed: load.pack(), Load: Load{Unavailable: load.Unavailable, Switching: load.Switching, Limits: load.Limits, Leaving: load.Leaving, Queues: load.Queues, Paces: load.Paces},
	}
}

// receiveReport stores a report at this hub. The caller holds mu.
func (n *Node) receiveReport(now time.Time, r LoadReport) {
	if err := n.hub.Receive(now, r); err != nil {
		n.loadDropped(r.From, err)
	}
}

// loadDropped logs and counts a load of a peer that was dropped as a whole or in part.
func (n *Node) loadDropped(from ident.InstanceID, err error) {
	n.opts.Log.Warn("load of peer dropped", "peer", from, "error", err)
	n.count("peer_load_dropped")
}

// otherHubs returns the addresses of the other zones' hubs, without those that have just sent
// their load: they received this zone's load in the answer. The caller holds mu.
func (n *Node) otherHubs(now time.Time) []string {
	var hubs []string
	for _, zone := range n.roster.OtherZones(now) {
		if n.hub.HeardRecently(now, zone) {
			continue
		}
		if address, _ := n.roster.Hub(now, zone); address != "" {
			hubs = append(hubs, address)
		}
	}
	return hubs
}

// sendLoad sends a load report to a hub, which may be this instance itself.
func (n *Node) sendLoad(ctx context.Context, address string, self bool, r LoadReport) (LoadAnswer, error) {
	if self {
		return n.onLoad(ctx, peer.Identity{}, r)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := peer.Call[LoadAnswer](ctx, n.opts.Pool, address, MethodLoad, r)
	if err == nil {
		n.compareCrashDigest(ctx, address, answer.Crashes, answer.Informed)
	}
	return answer, err
}

// onLoad answers a load report from an instance of this zone or from the hub of another zone. It
// does not store the report if this instance is not the hub.
func (n *Node) onLoad(_ context.Context, _ peer.Identity, r LoadReport) (LoadAnswer, error) {
	digest, informed := n.opts.Register.Digest(), n.Informed()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	if _, self := n.roster.Hub(now, n.opts.Self.Zone); !self {
		return LoadAnswer{NotHub: true, Crashes: digest, Informed: informed}, nil
	}
	n.receiveReport(now, r)
	if r.WholeZone {
		report := n.zoneReport(now)
		report.IntervalMS = r.IntervalMS
		return LoadAnswer{ZoneLoad: &report, Crashes: digest, Informed: informed}, nil
	}
	answer := n.hub.Answer(now, r.From)
	answer.Crashes, answer.Informed = digest, informed
	return answer, nil
}
