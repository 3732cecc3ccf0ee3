package agent

import (
	"context"
	"errors"
	"time"

	"github.com/wardspool/wardspool/agent/wire"
	"github.com/wardspool/wardspool/bundle/ledger"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/membership"
	"github.com/wardspool/wardspool/peer"
)

// Limits of calls to peers.
const (
	heartbeatTimeout = 2 * time.Second
	probeTimeout     = time.Second
	// peerFrame is the largest frame between agents; it fits a roll of the
	// largest size in base64.
	peerFrame = 2 << 20
	// peerBackoff limits the delay between attempts to connect to one address.
	peerBackoff = time.Second
	// minRevisionsGap is the minimum time between two exchanges with one partner that
	// only serve to propagate revisions.
	minRevisionsGap = 100 * time.Millisecond
	// revisionsJitter limits the random delay before revisions received
	// from a peer are propagated: most partners have them by then and need no
	// exchange.
	revisionsJitter = 300 * time.Millisecond
	// partnerIntervals is the number of heartbeat intervals without an exchange
	// after which an instance no longer counts as a partner.
	partnerIntervals = 4
)

// partner is an instance with which heartbeats are exchanged.
type partner struct {
	// fingerprint is the fingerprint of the partner's revisions as of its last
	// heartbeat.
	fingerprint uint64
	// lastAt is the time of the last exchange, sentAt that of the last exchange
	// started by this instance.
	lastAt time.Time
	sentAt time.Time
	// busy is set while an exchange started by this instance is in progress.
	busy bool
	// revisionsDueAt is when revisions are due to be sent to the partner, the
	// zero time if there are none.
	revisionsDueAt time.Time
}

// partnerOf returns the state of a partner, creating it if there is none.
func (a *Agent) partnerOf(id ident.InstanceID) *partner {
	p := a.partners[id]
	if p == nil {
		p = &partner{}
		a.partners[id] = p
	}
	return p
}

// revisions returns the newest document versions known to this instance, which its
// peers should have too.
func (a *Agent) revisions() wire.Revisions {
	s := a.ledger.Summary()
	return wire.Revisions{
		RollSequence: s.RollSequence, RollDigest: s.RollDigest, Newest: s.Newest,
		Instances: a.directory.lists.instances.index, Upstreams: a.directory.lists.upstreams.index,
	}
}

// composeHeartbeat returns the heartbeat to send to a peer.
func (a *Agent) composeHeartbeat(to ident.InstanceID) wire.Heartbeat {
	r := a.revisions()
	hb := wire.Heartbeat{Heartbeat: a.machine.Heartbeat(a.now, to), Fingerprint: r.Fingerprint()}
	if ref, _, ok := a.ledger.InForce(); ok {
		hb.Version = ref.Version
	}
	if a.partnerOf(to).fingerprint != hb.Fingerprint {
		hb.Revisions = &r
	}
	if !a.platform.lastSeen.IsZero() {
		hb.PlatformAge = int(a.now.Sub(a.platform.lastSeen)/time.Second) + 1
	}
	return hb
}

// sendHeartbeats sends the heartbeats, probes and revisions that are due.
func (a *Agent) sendHeartbeats() {
	if !a.machine.NextDue(a.now).After(a.now) {
		for _, d := range a.machine.Due(a.now) {
			if d.Kind == membership.DueProbe {
				a.probeEntry(d.To)
				continue
			}
			a.startExchange(d.To)
		}
	}
	a.sendRevisions()
}

// scheduleRevisions schedules sending the revisions to all partners: immediately
// if they came from the platform, with jitter if a peer relayed them.
func (a *Agent) scheduleRevisions(relayed bool) {
	at := a.now
	if relayed {
		at = at.Add(a.random.N(revisionsJitter))
	}
	for _, p := range a.partners {
		if p.revisionsDueAt.IsZero() || at.Before(p.revisionsDueAt) {
			p.revisionsDueAt = at
		}
	}
}

// sendRevisions starts exchanges with the partners for which revisions are due.
func (a *Agent) sendRevisions() {
	limit := a.now.Add(-partnerIntervals * a.machine.Interval())
	fingerprint := uint64(0)
	for id, p := range a.partners {
		if p.revisionsDueAt.IsZero() || a.now.Before(p.revisionsDueAt) || a.now.Sub(p.sentAt) < minRevisionsGap {
			continue
		}
		if fingerprint == 0 {
			r := a.revisions()
			fingerprint = r.Fingerprint()
		}
		p.revisionsDueAt = time.Time{}
		if p.fingerprint != fingerprint && p.lastAt.After(limit) {
			a.startExchange(id)
		}
	}
}

// startExchange starts a heartbeat exchange with an instance.
func (a *Agent) startExchange(to ident.InstanceID) {
	address := a.directory.instances[to].agent
	if address == "" {
		return
	}
	p := a.partnerOf(to)
	if p.busy {
		return
	}
	p.busy, p.sentAt = true, a.now
	hb := a.composeHeartbeat(to)
	started := a.now
	a.counters.Heartbeats++
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		answer, err := peer.Call[wire.Heartbeat](ctx, a.peers, address, wire.MethodHeartbeat, hb, peer.Expect(to, 0))
		a.post(func() {
			p.busy = false
			a.handleExchange(to, started, answer, err)
		})
	})
}

// handleExchange handles the result of a heartbeat exchange.
func (a *Agent) handleExchange(to ident.InstanceID, started time.Time, answer wire.Heartbeat, err error) {
	if err != nil {
		a.counters.HeartbeatsFailed++
		a.peerFailed(to, started, membership.ProcessAgent, err)
		return
	}
	if err := a.machine.HeartbeatAnswered(a.now, started, to, answer.Heartbeat); err != nil {
		a.rejectHeartbeat(to, err)
		return
	}
	a.applyHeartbeat(to, started, &answer)
}

// handleHeartbeat handles a peer's heartbeat and returns the reply.
func (a *Agent) handleHeartbeat(from ident.InstanceID, hb wire.Heartbeat) (wire.Heartbeat, error) {
	a.counters.HeartbeatsTaken++
	answer, err := a.machine.Receive(a.now, from, hb.Heartbeat)
	if err != nil {
		a.rejectHeartbeat(from, err)
		return wire.Heartbeat{}, peer.Refuse(&peer.NotAllowedError{Instance: from})
	}
	// The time at which the peer sent the heartbeat is not known.
	a.applyHeartbeat(from, time.Time{}, &hb)
	out := a.composeHeartbeat(from)
	out.Heartbeat = answer
	return out, nil
}

// rejectHeartbeat counts and logs a rejected heartbeat.
func (a *Agent) rejectHeartbeat(from ident.InstanceID, err error) {
	a.counters.Refused++
	a.log.Debug("heartbeat rejected", "from", from, "error", err)
}

// applyHeartbeat applies the fields that agents add to membership heartbeats.
// started is a time after which the heartbeat was composed, zero if none is
// known.
func (a *Agent) applyHeartbeat(from ident.InstanceID, started time.Time, hb *wire.Heartbeat) {
	p := a.partnerOf(from)
	p.fingerprint, p.lastAt = hb.Fingerprint, a.now
	if hb.PlatformAge > 0 {
		seen := a.now.Add(-time.Duration(hb.PlatformAge) * time.Second)
		if seen.After(a.platform.lastSeen) {
			a.platform.lastSeen = seen
		}
	}
	if hb.Version > 0 && !started.IsZero() {
		a.orderPlanner.PeerInForce(started, from, hb.Version)
	}
	if hb.Revisions != nil {
		a.stepLedger(ledger.SummaryReceived{From: peerSource(from), Summary: hb.Revisions.Summary()})
		a.fetchLists(from, hb.Revisions)
	}
	a.viewDirty = true
}

// probeEntry checks whether the entry of an instance responds.
func (a *Agent) probeEntry(to ident.InstanceID) {
	address := a.directory.instances[to].entry
	if address == "" {
		return
	}
	a.counters.Probes++
	started := a.now
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		_, err := peer.Call[wire.Empty](ctx, a.peers, address, wire.MethodProbe, wire.Empty{}, peer.Expect(to, 0))
		a.post(func() {
			if probeAnswered(err) {
				a.machine.PeerAnswered(a.now, started, to)
				return
			}
			a.peerFailed(to, started, membership.ProcessEntry, err)
		})
	})
}

// probeAnswered reports whether the process responded to a probe. The errors for
// an unknown method, a caller that is not allowed and a stopping process are
// responses too.
func probeAnswered(err error) bool {
	var unknown *peer.MethodError
	var notAllowed *peer.NotAllowedError
	var stopping *peer.StoppingError
	return err == nil || errors.As(err, &unknown) || errors.As(err, &notAllowed) || errors.As(err, &stopping)
}

// peerFailed handles a failed call to a process of an instance.
func (a *Agent) peerFailed(to ident.InstanceID, started time.Time, p membership.Process, err error) {
	if kind, ok := failKind(err); ok {
		a.machine.PeerFailed(a.now, started, to, p, kind)
		a.viewDirty = true
	}
}

// failKind classifies the failure of a call to a peer. It returns false for a
// call that was not attempted or that the peer responded to.
func failKind(err error) (membership.FailKind, bool) {
	var waiting *peer.BackoffError
	var dial *peer.DialError
	var notAllowed *peer.NotAllowedError
	var busy *peer.BusyError
	switch {
	case errors.As(err, &waiting), errors.As(err, &busy), errors.As(err, &notAllowed):
		return 0, false
	case errors.As(err, &dial) && dial.Kind == peer.DialRefused:
		return membership.FailRefused, true
	case errors.As(err, &dial) && dial.Kind == peer.DialHelloTimeout:
		return membership.FailNoResponse, true
	default:
		return membership.FailTimeout, true
	}
}

// presumedAlive reports whether an instance is presumed alive, so that calls to
// it are worthwhile.
func presumedAlive(in membership.Instance) bool { return in.State <= membership.Suspect }
