package experiment

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/kernel/prefix"
)

// instance is one entry instance. Its processes succeed one another in life.
type instance struct {
	id   ident.InstanceID
	zone ident.Zone
	// life is the current or last process.
	life   *life
	downAt time.Duration
	// peerMessages counts the peer messages received.
	peerMessages int
}

// owner is the sender of an attempt, which is notified of its progress.
type owner interface {
	receive(ev kernel.Event)
	place() ident.Zone
}

// life is one process of an instance: a kernel and the driver around it.
type life struct {
	w           *world
	inst        *instance
	incarnation ident.Incarnation
	kernel      *kernel.Kernel
	dead        bool

	frozen   bool
	frozenAt time.Duration
	// inbox holds the events that arrived while frozen.
	inbox []kernel.Event

	subs     map[ident.RequestID]*submission
	attempts map[ident.AttemptID]*attempt
	// armed is the time of the kernel's next scheduled tick, 0 if there is none.
	armed   time.Duration
	actions []kernel.Action
	view    *kernel.View
}

// tickResolution is the resolution of the driver's timer.
const tickResolution = time.Millisecond

// start starts a new process of an instance.
func (w *world) start(inst *instance) error {
	incarnation := ident.NewIncarnation(w.clock.time())
	k, err := kernel.New(kernel.Options{
		Self:   kernel.Self{Instance: inst.id, Incarnation: incarnation, Zone: inst.zone},
		Seed:   w.rng.Uint64(),
		Prefix: prefix.New(),
	})
	if err != nil {
		return err
	}
	l := &life{
		w: w, inst: inst, incarnation: incarnation, kernel: k,
		subs:     map[ident.RequestID]*submission{},
		attempts: map[ident.AttemptID]*attempt{},
	}
	inst.life = l
	l.receive(kernel.Configured{Version: w.version, Content: w.content})
	l.receive(kernel.ViewChanged{View: w.viewOf(inst)})
	return nil
}

func (l *life) place() ident.Zone { return l.inst.zone }

// receive passes an event to the kernel, or queues it while the process is
// frozen.
func (l *life) receive(ev kernel.Event) {
	switch {
	case l.dead:
	case !l.frozen:
		l.step(ev)
	case isState(ev):
		// Dropped: the agent in the instance that delivers state is frozen as
		// well.
	default:
		l.inbox = append(l.inbox, ev)
	}
}

// isState reports whether an event describes the state of the fleet rather than
// a request.
func isState(ev kernel.Event) bool {
	switch ev.(type) {
	case kernel.ViewChanged, kernel.LoadReported, kernel.CacheChanged:
		return true
	default:
		return false
	}
}

// step runs the kernel on one event and carries out the actions it returns.
func (l *life) step(ev kernel.Event) {
	l.observe(ev)
	l.actions = append(l.actions[:0], l.kernel.Step(l.w.clock.time(), ev)...)
	for _, action := range l.actions {
		if l.w.tamper == nil {
			l.do(action)
			continue
		}
		for _, replaced := range l.w.tamper(action) {
			l.do(replaced)
		}
	}
	l.arm()
}

// observe records the view that an event brings and the first output that the
// caller sees.
func (l *life) observe(ev kernel.Event) {
	l.w.judge.note(l.inst.id, ev)
	if v, ok := ev.(kernel.ViewChanged); ok {
		l.view = v.View
	}
	first, ok := ev.(kernel.FirstOutput)
	if !ok {
		return
	}
	if a := l.attempts[first.Attempt]; a != nil {
		a.sub.sawFirst(l.w.clock.now + l.w.clientDelay())
	}
}

// arm sets the timer for the kernel's next tick.
func (l *life) arm() {
	next, ok := l.kernel.NextWake()
	if !ok {
		return
	}
	at := max(next.Sub(epoch), l.w.clock.now+tickResolution)
	if l.armed > l.w.clock.now && l.armed <= at {
		return
	}
	l.armed = at
	l.w.clock.at(at, func() {
		if l.armed == at && !l.dead && !l.frozen {
			l.step(kernel.Tick{})
		}
	})
}

// do carries out one action.
func (l *life) do(action kernel.Action) {
	l.w.judge.note(l.inst.id, action)
	switch a := action.(type) {
	case kernel.StartPrefill:
		l.send(&attempt{id: a.Attempt, sub: l.subs[a.Request], from: a.ContinueFrom, role: config.RolePrefill}, a.Upstream)
	case kernel.StartDecode:
		l.startDecode(a)
	case kernel.CallService:
		l.send(&attempt{id: a.Attempt, sub: l.subs[a.Request], role: config.RoleService}, a.Upstream)
	case kernel.ReattachDecode:
		l.reattachAfter(a.Wait, l.attempts[a.Attempt])
	case kernel.CancelAttempt:
		l.w.cancel(l, a.Attempt, a.Upstream)
	case kernel.Answer:
		l.answer(a)
	case kernel.SendPeer:
		l.sendPeer(a)
	case kernel.ConfigRejected:
		l.w.judge.rejected = a.Err
	}
}

func (l *life) startDecode(a kernel.StartDecode) {
	sub := l.subs[a.Request]
	if a.ContinueFrom != sub.delivered {
		l.w.judge.violate(BrokenStream, sub.request.ID, "decode does not continue where the stream stopped")
	}
	var kv *attempt
	if id, err := ident.ParseAttemptID(string(a.KV.Params)); err == nil {
		kv = l.w.prefills[id.String()]
	}
	l.send(&attempt{
		id: a.Attempt, sub: sub, role: config.RoleDecode,
		kv: kv, from: a.ContinueFrom, generated: a.ContinueFrom,
	}, a.Upstream)
}

// send sends an attempt to its upstream.
func (l *life) send(a *attempt, to ident.UpstreamID) {
	a.owner = l
	a.upstream = l.w.backends[to]
	a.sub.attempts = append(a.sub.attempts, a)
	l.attempts[a.id] = a
	l.w.send(a)
}

// reattachAfter resumes reading a stream after a wait, unless this process ended
// meanwhile.
func (l *life) reattachAfter(wait time.Duration, a *attempt) {
	if wait == 0 {
		l.reattach(a)
		return
	}
	l.w.clock.after(wait, func() {
		if l.inst.life == l {
			l.reattach(a)
		}
	})
}

// reattach resumes reading an attempt's stream.
func (l *life) reattach(a *attempt) {
	up := a.upstream.base()
	delay := l.w.delay(l.inst.zone, up.zone)
	if !l.w.net.connected(l.inst.zone, up.zone) {
		l.w.clock.after(dialTimeout, func() { l.lost(a) })
		return
	}
	l.w.clock.after(delay, func() {
		if !up.alive || up.incarnation != a.incarnation {
			l.w.clock.after(delay, func() { l.lost(a) })
			return
		}
		done := a.generated >= a.sub.logical.arrival.OutputTokens
		if a.over && !done {
			l.w.clock.after(delay, func() { l.lost(a) })
			return
		}
		a.unread = false
		if a.generated > a.from {
			l.w.report(a, kernel.FirstOutput{Attempt: a.id})
		}
		if done {
			l.w.report(a, kernel.AttemptDone{Attempt: a.id, Tokens: a.generated})
		}
	})
}

// lost reports a stream that could not be resumed.
func (l *life) lost(a *attempt) {
	a.sub.delivered = a.offset()
	l.receive(kernel.AttemptFailed{
		Attempt:  a.id,
		Evidence: kernel.Ambiguous,
		Code:     kernel.FailureBroken,
		Offset:   a.offset(),
	})
}

// answer delivers the final answer to a caller.
func (l *life) answer(a kernel.Answer) {
	sub := l.subs[a.Request]
	if sub == nil || sub.answered {
		l.w.judge.violate(AnsweredTwice, a.Request, string(a.Outcome))
		return
	}
	sub.answered = true
	if a.Outcome == api.Complete && !sub.whole() {
		l.w.judge.violate(NotWhole, a.Request, "complete without the last token")
	}
	sub.outcome = a.Outcome
	sub.end(l.w.clock.now)
	l.w.clock.after(l.w.clientDelay(), func() { l.w.callers.answered(sub, a) })
}

// sendPeer sends a message to another instance.
func (l *life) sendPeer(a kernel.SendPeer) {
	target := l.w.instance(a.To)
	undelivered := func() { l.receive(kernel.PeerUndelivered(a)) }
	if target == nil || !l.w.net.peers(l.inst, target) {
		l.w.clock.after(dialTimeout, undelivered)
		return
	}
	delay := l.w.delay(l.inst.zone, target.zone)
	l.w.clock.after(delay+l.w.jitter(), func() {
		if target.life.dead {
			l.w.clock.after(delay, undelivered)
			return
		}
		l.w.judge.peerMessages++
		target.peerMessages++
		target.life.receive(kernel.PeerReceived{From: l.inst.id, Message: a.Message})
	})
}
