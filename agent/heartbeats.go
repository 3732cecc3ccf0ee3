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
	// spreadGap is the minimum time between two exchanges with one partner that
	// only serve to propagate news.
	spreadGap = 100 * time.Millisecond
	// spreadJitter limits the random delay before news received from a peer is
	// propagated: most partners have it by then and need no exchange.
	spreadJitter = 300 * time.Millisecond
	// partnerIntervals is the number of heartbeat intervals without an exchange
	// after which an instance no longer counts as a partner.
	partnerIntervals = 4
)

// partner is an instance with which heartbeats are exchanged.
type partner struct {
	// mark is the fingerprint of the partner's news in its last heartbeat.
	mark uint64
	// at is the time of the last exchange, sentAt that of the last exchange
	// started by this instance.
	at     time.Time
	sentAt time.Time
	// busy is set while an exchange started by this instance is in progress.
	busy bool
	// spreadAt is when news is due to be sent to the partner, the zero time if
	// there is none.
	spreadAt time.Time
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

// news returns the newest document versions known to this instance, which its
// peers should have too.
func (a *Agent) news() wire.News {
	s := a.ledger.Summary()
	return wire.News{
		RollSequence: s.RollSequence, RollDigest: s.RollDigest, Newest: s.Newest,
		Instances: a.book.lists.instances.index, Upstreams: a.book.lists.upstreams.index,
	}
}

// compose returns the heartbeat to send to a peer.
func (a *Agent) compose(to ident.InstanceID) wire.Heartbeat {
	n := a.news()
	hb := wire.Heartbeat{Heartbeat: a.machine.Heartbeat(a.now, to), Mark: n.Mark()}
	if ref, _, ok := a.ledger.InForce(); ok {
		hb.Version = ref.Version
	}
	if a.partnerOf(to).mark != hb.Mark {
		hb.News = &n
	}
	if !a.source.seen.IsZero() {
		hb.PlatformAge = int(a.now.Sub(a.source.seen)/time.Second) + 1
	}
	return hb
}

// sendDue sends the heartbeats, probes and news that are due.
func (a *Agent) sendDue() {
	if !a.machine.NextDue(a.now).After(a.now) {
		for _, d := range a.machine.Due(a.now) {
			if d.Kind == membership.DueProbe {
				a.probe(d.To)
				continue
			}
			a.exchange(d.To)
		}
	}
	a.sendNews()
}

// spreadNews schedules news for all partners: immediately if it came from the
// platform, with jitter if a peer relayed it.
func (a *Agent) spreadNews(relayed bool) {
	at := a.now
	if relayed {
		at = at.Add(a.random.N(spreadJitter))
	}
	for _, p := range a.partners {
		if p.spreadAt.IsZero() || at.Before(p.spreadAt) {
			p.spreadAt = at
		}
	}
}

// sendNews starts exchanges with the partners for which news is due.
func (a *Agent) sendNews() {
	limit := a.now.Add(-partnerIntervals * a.machine.Interval())
	mark := uint64(0)
	for id, p := range a.partners {
		if p.spreadAt.IsZero() || a.now.Before(p.spreadAt) || a.now.Sub(p.sentAt) < spreadGap {
			continue
		}
		if mark == 0 {
			n := a.news()
			mark = n.Mark()
		}
		p.spreadAt = time.Time{}
		if p.mark != mark && p.at.After(limit) {
			a.exchange(id)
		}
	}
}

// exchange starts a heartbeat exchange with an instance.
func (a *Agent) exchange(to ident.InstanceID) {
	address := a.book.instances[to].agent
	if address == "" {
		return
	}
	p := a.partnerOf(to)
	if p.busy {
		return
	}
	p.busy, p.sentAt = true, a.now
	hb := a.compose(to)
	begun := a.now
	a.counters.Heartbeats++
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		answer, err := peer.Call[wire.Heartbeat](ctx, a.peers, address, wire.MethodHeartbeat, hb, peer.Expect(to, 0))
		a.post(func() {
			p.busy = false
			a.exchanged(to, begun, answer, err)
		})
	})
}

// exchanged handles the result of a heartbeat exchange.
func (a *Agent) exchanged(to ident.InstanceID, begun time.Time, answer wire.Heartbeat, err error) {
	if err != nil {
		a.counters.HeartbeatsFailed++
		a.peerFailed(to, begun, membership.ProcessAgent, err)
		return
	}
	if err := a.machine.Answered(a.now, begun, to, answer.Heartbeat); err != nil {
		a.badHeartbeat(to, err)
		return
	}
	a.hear(to, begun, &answer)
}

// receive handles a peer's heartbeat and returns the reply.
func (a *Agent) receive(from ident.InstanceID, hb wire.Heartbeat) (wire.Heartbeat, error) {
	a.counters.HeartbeatsTaken++
	answer, err := a.machine.Receive(a.now, from, hb.Heartbeat)
	if err != nil {
		a.badHeartbeat(from, err)
		return wire.Heartbeat{}, peer.Refuse(&peer.NotAllowedError{Instance: from})
	}
	// The time at which the peer sent the heartbeat is not known.
	a.hear(from, time.Time{}, &hb)
	out := a.compose(from)
	out.Heartbeat = answer
	return out, nil
}

// badHeartbeat counts and logs a rejected heartbeat.
func (a *Agent) badHeartbeat(from ident.InstanceID, err error) {
	a.counters.Refused++
	a.log.Debug("heartbeat rejected", "from", from, "error", err)
}

// hear applies the fields that agents add to membership heartbeats. begun is a
// time after which the heartbeat was composed, zero if none is known.
func (a *Agent) hear(from ident.InstanceID, begun time.Time, hb *wire.Heartbeat) {
	p := a.partnerOf(from)
	p.mark, p.at = hb.Mark, a.now
	if hb.PlatformAge > 0 {
		seen := a.now.Add(-time.Duration(hb.PlatformAge) * time.Second)
		if seen.After(a.source.seen) {
			a.source.seen = seen
		}
	}
	if hb.Version > 0 && !begun.IsZero() {
		a.orderPlanner.PeerInForce(begun, from, hb.Version)
	}
	if hb.News != nil {
		a.step(ledger.Announced{From: peerSource(from), Summary: hb.News.Summary()})
		a.fetchLists(from, hb.News)
	}
	a.viewDirty = true
}

// probe checks whether the entry of an instance responds.
func (a *Agent) probe(to ident.InstanceID) {
	address := a.book.instances[to].entry
	if address == "" {
		return
	}
	a.counters.Probes++
	begun := a.now
	a.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		_, err := peer.Call[wire.Nothing](ctx, a.peers, address, wire.MethodProbe, wire.Nothing{}, peer.Expect(to, 0))
		a.post(func() {
			if probeAnswered(err) {
				a.machine.PeerAnswered(a.now, begun, to)
				return
			}
			a.peerFailed(to, begun, membership.ProcessEntry, err)
		})
	})
}

// probeAnswered reports whether the process responded to a probe. The errors for
// an unknown method, a caller that is not allowed and a stopping process are
// responses too.
func probeAnswered(err error) bool {
	var unknown *peer.MethodError
	var stranger *peer.NotAllowedError
	var stopping *peer.StoppingError
	return err == nil || errors.As(err, &unknown) || errors.As(err, &stranger) || errors.As(err, &stopping)
}

// peerFailed handles a failed call to a process of an instance.
func (a *Agent) peerFailed(to ident.InstanceID, begun time.Time, p membership.Process, err error) {
	if kind, ok := failKind(err); ok {
		a.machine.PeerFailed(a.now, begun, to, p, kind)
		a.viewDirty = true
	}
}

// failKind classifies the failure of a call to a peer. It returns false for a
// call that was not attempted or that the peer responded to.
func failKind(err error) (membership.FailKind, bool) {
	var waiting *peer.BackoffError
	var dial *peer.DialError
	var stranger *peer.NotAllowedError
	var busy *peer.BusyError
	switch {
	case errors.As(err, &waiting), errors.As(err, &busy), errors.As(err, &stranger):
		return 0, false
	case errors.As(err, &dial) && dial.Kind == peer.DialRefused:
		return membership.FailRefused, true
	case errors.As(err, &dial) && dial.Kind == peer.DialSilent:
		return membership.FailSilent, true
	default:
		return membership.FailTimeout, true
	}
}

// answersPeers reports whether an instance is presumed alive, so that calls to it
// are worthwhile.
func answersPeers(in membership.Instance) bool { return in.State <= membership.Suspect }
