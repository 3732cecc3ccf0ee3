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

// Bounds of calls to peers.
const (
	heartbeatTimeout = 2 * time.Second
	probeTimeout     = time.Second
	// peerFrame is the largest frame between agents: a roll of the largest size,
	// in base64.
	peerFrame = 2 << 20
	// peerBackoff bounds the pause between attempts to reach one address.
	peerBackoff = time.Second
	// spreadGap is the least time between two exchanges with one partner that
	// only serve to spread news.
	spreadGap = 100 * time.Millisecond
	// spreadJitter bounds the time for which an instance keeps news that a peer
	// gave it: most partners have it by then, and need not be told.
	spreadJitter = 300 * time.Millisecond
	// partnerIntervals is after how many intervals without an exchange an
	// instance is no partner any more.
	partnerIntervals = 4
)

// partner is an instance with which heartbeats are exchanged.
type partner struct {
	// mark is the last one heard.
	mark uint64
	// at is when the last exchange was, and sentAt when one was begun here.
	at     time.Time
	sentAt time.Time
	// busy says that an exchange begun here has not ended.
	busy bool
	// spreadAt is when the partner is to be told news, the zero time if it is not.
	spreadAt time.Time
}

// partnerOf returns what is kept of a partner.
func (a *Agent) partnerOf(id ident.InstanceID) *partner {
	p := a.partners[id]
	if p == nil {
		p = &partner{}
		a.partners[id] = p
	}
	return p
}

// news returns what this instance has that all should have.
func (a *Agent) news() wire.News {
	s := a.ledger.Summary()
	return wire.News{
		RollSequence: s.RollSequence, RollDigest: s.RollDigest, Newest: s.Newest,
		Instances: a.book.lists.instances.index, Upstreams: a.book.lists.upstreams.index,
	}
}

// compose returns the heartbeat for a peer.
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

// sendDue sends the heartbeats and probes that are due.
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

// spreadNews has all partners told that this instance has news: at once if it has
// them from the platform.
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

// sendNews tells the partners that are to be told.
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

// exchange exchanges heartbeats with an instance.
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

// exchanged takes in how an exchange ended.
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

// receive answers a peer's heartbeat.
func (a *Agent) receive(from ident.InstanceID, hb wire.Heartbeat) (wire.Heartbeat, error) {
	a.counters.HeartbeatsTaken++
	answer, err := a.machine.Receive(a.now, from, hb.Heartbeat)
	if err != nil {
		a.badHeartbeat(from, err)
		return wire.Heartbeat{}, peer.Refuse(&peer.NotAllowedError{Instance: from})
	}
	// How long the heartbeat was on its way is not known.
	a.hear(from, time.Time{}, &hb)
	out := a.compose(from)
	out.Heartbeat = answer
	return out, nil
}

// badHeartbeat notes a heartbeat that was not taken in.
func (a *Agent) badHeartbeat(from ident.InstanceID, err error) {
	a.counters.Refused++
	a.log.Debug("heartbeat refused", "from", from, "error", err)
}

// hear takes in what agents add to heartbeats. begun is a time after which it was
// said, zero if there is none that is known.
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

// probe learns whether the entry of an instance answers.
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

// probeAnswered reports whether the process answered a probe. That it knows no
// such method, or not this instance, is an answer.
func probeAnswered(err error) bool {
	var unknown *peer.MethodError
	var stranger *peer.NotAllowedError
	var stopping *peer.StoppingError
	return err == nil || errors.As(err, &unknown) || errors.As(err, &stranger) || errors.As(err, &stopping)
}

// peerFailed takes in a failed call to a process of an instance.
func (a *Agent) peerFailed(to ident.InstanceID, begun time.Time, p membership.Process, err error) {
	if kind, ok := failKind(err); ok {
		a.machine.PeerFailed(a.now, begun, to, p, kind)
		a.viewDirty = true
	}
}

// failKind classifies the failure of a call to a peer. It returns false for a
// call that was not tried, or that the peer answered.
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

// answersPeers reports whether an instance is worth asking.
func answersPeers(in membership.Instance) bool { return in.State <= membership.Suspect }
