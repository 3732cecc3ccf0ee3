package agent

import (
	"context"
	"time"

	"github.com/wardspool/wardspool/agent/engines"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/membership"
)

// Limits of reading upstreams' state.
const (
	upstreamTimeout = 2 * time.Second
	// retryMin and retryMax limit the time from a failed read of an upstream to
	// the next attempt; it doubles with each failure. Instances that poll an
	// upstream's load for their zone use the shorter limits zoneRetryMin and
	// zoneRetryMax, since the others learn from them that it has recovered.
	retryMin     = 2 * time.Second
	retryMax     = 30 * time.Second
	zoneRetryMin = 500 * time.Millisecond
	zoneRetryMax = 2 * time.Second
	// assumedPollBytes is the assumed cost of a read until enough reads were
	// measured.
	assumedPollBytes = 900
)

// assignInterval is the longest time between two assignments of the upstreams to
// read; a change of the view triggers one immediately.
const assignInterval = 5 * time.Second

// loadState is the loop's state of polling the upstreams.
type loadState struct {
	polls map[ident.UpstreamID]*poll
	// assignedAt is the time of the last assignment.
	assignedAt time.Time
	// polled is the number of upstreams whose load this instance polls for
	// its zone.
	polled int
	// specs are the upstreams that the bundle in force declares, by ID.
	specs map[ident.UpstreamID]*config.Upstream
	// incarnations are the upstreams' known incarnations as of the last view.
	incarnations map[ident.UpstreamID]knownIncarnation
}

// poll is the state of reading one upstream.
type poll struct {
	nextAt time.Time
	// lastReadAt is when the last read was started.
	lastReadAt time.Time
	busy       bool
	// forZone is set if this instance reads the upstream for its zone. Otherwise
	// it reads the upstream because the upstream's state is worse than suspect.
	forZone bool
	backoff time.Duration
}

// knownIncarnation records when an incarnation of an upstream was first seen by
// this instance.
type knownIncarnation struct {
	incarnation ident.Incarnation
	since       time.Time
}

// recordIncarnations records new incarnations of upstreams.
func (a *Agent) recordIncarnations() {
	old := a.loads.incarnations
	incarnations := make(map[ident.UpstreamID]knownIncarnation, len(a.view.Upstreams))
	for i := range a.view.Upstreams {
		u := &a.view.Upstreams[i]
		l, ok := old[u.ID]
		if !ok || l.incarnation != u.Incarnation {
			l = knownIncarnation{incarnation: u.Incarnation, since: a.now}
		}
		incarnations[u.ID] = l
	}
	a.loads.incarnations = incarnations
}

// sameIncarnation reports whether an observation of an upstream at the given time
// concerns the incarnation that is known now. Evidence from live traffic does not
// name the incarnation.
func (a *Agent) sameIncarnation(at time.Time, id ident.UpstreamID) bool {
	l, ok := a.loads.incarnations[id]
	return ok && at.After(l.since)
}

// assignLoads selects the upstreams whose state this instance reads: those that
// it polls for its zone, and those whose state is worse than suspect. It reads the
// latter itself, because it sends them no work that could show their recovery.
func (a *Agent) assignLoads() {
	a.loads.assignedAt = a.now
	polled := a.machine.PolledUpstreams(a.now)
	next := make(map[ident.UpstreamID]*poll, len(polled))
	for _, id := range polled {
		if _, listed := a.directory.upstreams[id]; !listed {
			continue
		}
		p := a.pollOf(id)
		p.forZone = true
		next[id] = p
	}
	a.loads.polled = len(next)
	for i := range a.currentView().Upstreams {
		u := &a.view.Upstreams[i]
		if next[u.ID] != nil || !u.Listed || u.State <= membership.Suspect {
			continue
		}
		p := a.pollOf(u.ID)
		p.forZone = false
		next[u.ID] = p
	}
	a.loads.polls = next
}

// pollOf returns the poll of an upstream, creating one if there is none.
func (a *Agent) pollOf(id ident.UpstreamID) *poll {
	if p := a.loads.polls[id]; p != nil {
		return p
	}
	return &poll{nextAt: a.now}
}

// loadInterval returns the time between two reads of one upstream that keeps all
// reads within the budget.
func (a *Agent) loadInterval() time.Duration {
	bytes := float64(assumedPollBytes)
	if n := a.counters.LoadPolls - a.counters.LoadPollsFailed; n > minMeasuredPolls {
		bytes = float64(a.engines.Meter().Total()) / float64(n)
	}
	seconds := bytes * float64(a.loads.polled) / float64(a.settings.Loads.Budget)
	return max(a.settings.Loads.Interval, time.Duration(seconds*float64(time.Second)))
}

// minMeasuredPolls is the number of reads after which their measured cost
// replaces the assumed one.
const minMeasuredPolls = 20

// pollLoads reads the upstreams that are due.
func (a *Agent) pollLoads() {
	interval := a.loadInterval()
	for id, p := range a.loads.polls {
		if p.busy || a.now.Before(p.nextAt) {
			continue
		}
		p.nextAt = a.now.Add(interval)
		p.busy = true
		a.readLoad(id, p)
	}
}

// readLoad reads an upstream's state.
func (a *Agent) readLoad(id ident.UpstreamID, p *poll) {
	a.counters.LoadPolls++
	address := a.directory.upstreams[id].Address
	started := a.now
	p.lastReadAt = started
	isEngine := a.isEngine(id)
	a.spawn(func(ctx context.Context) {
		var l engines.Load
		var err error
		if isEngine {
			l, err = a.engines.Load(ctx, address)
		} else {
			err = a.engines.Health(ctx, address)
		}
		a.post(func() {
			p.busy = false
			a.viewDirty = true
			if !engines.Responded(err) {
				a.loadFailed(id, started, p, err)
				return
			}
			p.backoff = 0
			a.machine.UpstreamAnswered(a.now, started, id)
			if isEngine && err == nil {
				a.machine.UpstreamReport(a.now, started, id, report(l))
			}
		})
	})
}

// report converts an engine's load report to the membership machine's form.
func report(l engines.Load) membership.Report {
	return membership.Report{
		Incarnation: l.Incarnation, Sequence: uint32(l.Seq),
		Running: l.Running, Waiting: l.Waiting, Slots: l.Slots,
		PiecesUsed: l.PiecesUsed, QueuedTokens: l.WaitingTokens, Leaving: l.Draining,
	}
}

// loadFailed handles a read that got no response.
func (a *Agent) loadFailed(id ident.UpstreamID, started time.Time, p *poll, err error) {
	a.counters.LoadPollsFailed++
	a.log.Debug("cannot read upstream state", "upstream", id, "error", err)
	kind := membership.FailTimeout
	if engines.FailureKind(err) == engines.FailRefused {
		kind = membership.FailRefused
	}
	a.machine.UpstreamFailed(a.now, started, id, kind)
	minBackoff, maxBackoff := retryMin, retryMax
	if p.forZone {
		minBackoff, maxBackoff = zoneRetryMin, zoneRetryMax
	}
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.nextAt = a.now.Add(p.backoff)
}

// pollNow schedules an immediate read of an upstream's state, because a
// connection to it broke at the given time. An upstream that fails breaks many
// streams at once, and live traffic notices that before the next read is due.
func (a *Agent) pollNow(at time.Time, id ident.UpstreamID) {
	if _, listed := a.directory.upstreams[id]; !listed {
		return
	}
	p := a.pollOf(id)
	if at.After(p.lastReadAt) {
		p.nextAt = a.now
	}
	a.loads.polls[id] = p
}
