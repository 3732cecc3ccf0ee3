package agent

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/wardspool/wardspool/agent/engines"
	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/configservice"
	"github.com/wardspool/wardspool/feed"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/rendezvous"
)

// tickEvent advances the ledger's time.
var tickEvent ledger.Event = ledger.Tick{}

// stepLedger passes an event to the ledger and carries out the resulting actions.
func (a *Agent) stepLedger(e ledger.Event) {
	from := eventSource(e)
	for _, act := range a.ledger.Step(a.now, e) {
		if _, announce := act.(ledger.Announce); announce {
			a.scheduleRevisions(from.Kind == ledger.SourcePeer)
			continue
		}
		a.execute(act)
	}
}

// eventSource returns the source of an event, or the zero Source if it has none.
func eventSource(e ledger.Event) ledger.Source {
	switch e := e.(type) {
	case ledger.RollReceived:
		return e.From
	case ledger.HeadReceived:
		return e.From
	case ledger.PartsReceived:
		return e.From
	case ledger.FloorReport:
		return e.From
	default:
		return ledger.Source{}
	}
}

// execute carries out one action of the ledger.
func (a *Agent) execute(act ledger.Action) {
	switch act := act.(type) {
	case ledger.InForce:
		a.inForce(act)
	case ledger.Ready:
		a.log.Info("ready", "bundle_version", act.InForce.Version, "unconfirmed", sourceNames(act.Unconfirmed))
		a.feed.urgent = true
	case ledger.QueryFloor:
		a.queryFloor(act)
	case ledger.FetchRoll:
		a.fetchDocument(act.From, configservice.KeyRoll)
	case ledger.FetchHead:
		a.fetchDocument(act.From, configservice.KeyBundleHead)
	case ledger.FetchParts:
		a.fetchParts(act)
	case ledger.Refused:
		a.counters.Refused++
		a.log.Info("bundle document refused", "from", act.From.String(), "error", act.Err)
	case ledger.Alarm:
		a.log.Error("alarm", "type", string(act.Type), "text", act.String())
	}
}

// sourceNames returns the names of sources for a log line.
func sourceNames(sources []ledger.Source) []string {
	names := make([]string, len(sources))
	for i, s := range sources {
		names[i] = s.String()
	}
	return names
}

// inForce passes a bundle that came into force to the entry and the planners.
func (a *Agent) inForce(act ledger.InForce) {
	a.counters.BundlesInForce++
	a.inForceAt = a.now
	a.log.Info("bundle in force", "bundle_version", act.Ref.Version, "digest", act.Ref.Digest.Short(),
		"before", act.From.Version)
	a.feed.bundle = &feed.Bundle{Version: act.Ref.Version, Digest: act.Ref.Digest.String(), Content: act.Content}
	a.feed.bundleSent = false
	a.feed.urgent = true
	a.orderPlanner.SetBundle(a.now, act.Ref.Version, act.Content)
	a.setSpecs(act.Content)
	a.viewDirty = true
}

// readySourceSetInterval is the time between two updates of the source set while
// the ledger is ready. The ledger queries no source then; it uses the source set
// only in the first query round after a pause, and the set is updated within a
// second after that.
const readySourceSetInterval = 10 * time.Second

// sourceSetDue reports whether the ledger's source set has to be updated.
func (a *Agent) sourceSetDue() bool {
	return a.ledger.Status() != ledger.StatusReady || a.now.Sub(a.sourceSetUpdatedAt) >= readySourceSetInterval
}

// updateSourceSet passes the ledger the sources to query for the floor: the
// platform, the live peers of the zone, a few peers of each other zone and,
// during the start, the zone's engines, some of which check fencing numbers.
//
// It does nothing until the lists are known or listsTimeout has passed. Without
// the lists the set would be incomplete, and a stale platform alone could count
// as all sources that know the floor.
func (a *Agent) updateSourceSet() {
	if a.awaitsLists() {
		return
	}
	a.sourceSetUpdatedAt = a.now
	sources := []ledger.Source{platformSource}
	zones := map[ident.Zone][]ident.InstanceID{}
	v := a.currentView()
	for _, in := range v.Instances {
		if presumedAlive(in) && a.directory.instances[in.ID].agent != "" {
			zones[in.Zone] = append(zones[in.Zone], in.ID)
		}
	}
	for zone, ids := range zones {
		if zone != a.self.Zone {
			// Rendezvous hashing makes other instances choose other sources.
			ids = rendezvous.Top(string(a.self.Instance), ids, remoteSources)
		}
		for _, id := range ids {
			sources = append(sources, peerSource(id))
		}
	}
	for _, u := range v.Upstreams {
		if u.Zone == a.self.Zone && a.isEngine(u.ID) && u.Listed {
			sources = append(sources, ledger.Source{Kind: ledger.SourceUpstream, Name: string(u.ID)})
		}
	}
	slices.SortFunc(sources, func(x, y ledger.Source) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name))
	})
	a.stepLedger(ledger.SourceSet{Sources: a.addFloorReporters(sources)})
}

// addFloorReporters adds the peers that reported to a starting instance and have
// failed since: what they had in force remains part of the floor.
func (a *Agent) addFloorReporters(sources []ledger.Source) []ledger.Source {
	if a.ledger.Status() != ledger.StatusStarting {
		a.relay.floorReporters = nil
		return sources
	}
	for _, s := range a.relay.floorReporters {
		if !slices.Contains(sources, s) {
			sources = append(sources, s)
		}
	}
	return sources
}

// awaitsLists reports whether this instance started recently and still waits for
// the platform's lists.
func (a *Agent) awaitsLists() bool {
	l := &a.directory.lists
	return (l.instances.index == 0 || l.upstreams.index == 0) && a.now.Sub(a.started) < listsTimeout
}

// listsTimeout is how long a starting instance waits for the platform's lists.
const listsTimeout = 3 * time.Second

// remoteSources is the number of instances of each other zone that are queried
// for the floor.
const remoteSources = 3

// peerSource returns the ledger's source for a peer.
func peerSource(id ident.InstanceID) ledger.Source {
	return ledger.Source{Kind: ledger.SourcePeer, Name: string(id)}
}

// queryFloor queries a source for the floor.
func (a *Agent) queryFloor(q ledger.QueryFloor) {
	switch q.From.Kind {
	case ledger.SourcePlatform:
		a.queryPlatformFloor(q)
	case ledger.SourceUpstream:
		a.queryFence(q)
	case ledger.SourcePeer:
		a.queryPeerFloor(q)
	}
}

// queryPlatformFloor reads the roll from the platform. A stale platform does not
// know the floor.
func (a *Agent) queryPlatformFloor(q ledger.QueryFloor) {
	started := a.now
	a.spawn(func(ctx context.Context) {
		v, err := a.platformAdapter.Get(ctx, configservice.KeyRoll)
		var absent *configservice.NotFoundError
		a.post(func() {
			switch {
			case errors.As(err, &absent):
				a.stepLedger(ledger.FloorReport{From: q.From, Round: q.Round})
			case err != nil:
				a.platformFailed(configservice.KeyRoll, err)
				a.stepLedger(ledger.Unreachable{From: q.From})
			default:
				a.handlePlatformValue(configservice.KeyRoll, started, v)
				a.reportRoll(ledger.FloorReport{From: q.From, Round: q.Round}, v.Bytes)
			}
		})
	})
}

// reportRoll passes the ledger a floor report with an encoded roll.
func (a *Agent) reportRoll(r ledger.FloorReport, b []byte) {
	if len(b) > 0 {
		roll, err := bundle.DecodeRoll(b)
		if err != nil {
			a.stepLedger(ledger.Unreachable{From: r.From})
			return
		}
		r.Roll = roll
	}
	if r.From.Kind == ledger.SourcePeer && !slices.Contains(a.relay.floorReporters, r.From) {
		a.relay.floorReporters = append(a.relay.floorReporters, r.From)
	}
	a.stepLedger(r)
}

// queryFence queries an engine for the highest fencing number that it has seen.
func (a *Agent) queryFence(q ledger.QueryFloor) {
	address := a.directory.upstreams[ident.UpstreamID(q.From.Name)].Address
	a.spawn(func(ctx context.Context) {
		s, err := a.engines.ReadOrders(ctx, address)
		a.post(func() {
			switch {
			case err == nil && s.ChecksFencing:
				a.stepLedger(ledger.FloorReport{From: q.From, Round: q.Round, Fence: s.Highest})
			case engines.Responded(err):
				a.stepLedger(ledger.FloorReport{From: q.From, Round: q.Round})
			default:
				a.stepLedger(ledger.Unreachable{From: q.From})
			}
		})
	})
}
