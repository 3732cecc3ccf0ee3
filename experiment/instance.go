package experiment

import (
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/kernel/prefix"
)

// instance is one entry instance, which runs one process after another.
type instance struct {
	id   ident.InstanceID
	zone ident.Zone
	// process is the current or last process.
	process *process
	downAt  time.Duration
	// peerMessages counts the peer messages received.
	peerMessages int
}

// owner is the sender of an attempt, which is notified of its progress.
type owner interface {
	receive(ev kernel.Event)
	location() ident.Zone
}

// process is one run of an instance's program: a kernel and the driver around
// it.
type process struct {
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
	// tickAt is the time of the kernel's next scheduled tick, 0 if there is none.
	tickAt  time.Duration
	actions []kernel.Action
	view    *kernel.View
}

// tickResolution is the resolution of the driver's timer.
const tickResolution = time.Millisecond

// startProcess starts a new process of an instance.
func (w *world) startProcess(inst *instance) error {
	incarnation := ident.NewIncarnation(w.clock.time())
	k, err := kernel.New(kernel.Options{
		Self:   kernel.Self{Instance: inst.id, Incarnation: incarnation, Zone: inst.zone},
		Seed:   w.rng.Uint64(),
		Prefix: prefix.New(),
	})
	if err != nil {
		return err
	}
	p := &process{
		w: w, inst: inst, incarnation: incarnation, kernel: k,
		subs:     map[ident.RequestID]*submission{},
		attempts: map[ident.AttemptID]*attempt{},
	}
	inst.process = p
	p.receive(kernel.Configured{Version: w.version, Content: w.content})
	p.receive(kernel.ViewChanged{View: w.viewOf(inst)})
	return nil
}

func (p *process) location() ident.Zone { return p.inst.zone }

// receive passes an event to the kernel, or queues it while the process is
// frozen.
func (p *process) receive(ev kernel.Event) {
	switch {
	case p.dead:
	case !p.frozen:
		p.step(ev)
	case isState(ev):
		// Dropped: the agent in the instance that delivers state is frozen as
		// well.
	default:
		p.inbox = append(p.inbox, ev)
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
func (p *process) step(ev kernel.Event) {
	p.recordObserved(ev)
	p.actions = append(p.actions[:0], p.kernel.Step(p.w.clock.time(), ev)...)
	for _, action := range p.actions {
		if p.w.replaceActions == nil {
			p.execute(action)
			continue
		}
		for _, replaced := range p.w.replaceActions(action) {
			p.execute(replaced)
		}
	}
	p.scheduleTick()
}

// recordObserved records the view that an event brings and the first output that
// the caller sees.
func (p *process) recordObserved(ev kernel.Event) {
	p.w.checker.record(p.inst.id, ev)
	if v, ok := ev.(kernel.ViewChanged); ok {
		p.view = v.View
	}
	first, ok := ev.(kernel.FirstOutput)
	if !ok {
		return
	}
	if a := p.attempts[first.Attempt]; a != nil {
		a.sub.recordFirstOutput(p.w.clock.now + p.w.clientDelay())
	}
}

// scheduleTick sets the timer for the kernel's next tick.
func (p *process) scheduleTick() {
	next, ok := p.kernel.NextWake()
	if !ok {
		return
	}
	at := max(next.Sub(epoch), p.w.clock.now+tickResolution)
	if p.tickAt > p.w.clock.now && p.tickAt <= at {
		return
	}
	p.tickAt = at
	p.w.clock.at(at, func() {
		if p.tickAt == at && !p.dead && !p.frozen {
			p.step(kernel.Tick{})
		}
	})
}

// execute carries out one action.
func (p *process) execute(action kernel.Action) {
	p.w.checker.record(p.inst.id, action)
	switch a := action.(type) {
	case kernel.StartPrefill:
		p.send(&attempt{id: a.Attempt, sub: p.subs[a.Request], startOffset: a.ContinueFrom, role: config.RolePrefill}, a.Upstream)
	case kernel.StartDecode:
		p.startDecode(a)
	case kernel.CallService:
		p.send(&attempt{id: a.Attempt, sub: p.subs[a.Request], role: config.RoleService}, a.Upstream)
	case kernel.ReattachDecode:
		p.reattachAfter(a.Wait, p.attempts[a.Attempt])
	case kernel.CancelAttempt:
		p.w.cancel(p, a.Attempt, a.Upstream)
	case kernel.Answer:
		p.answer(a)
	case kernel.SendPeer:
		p.sendPeer(a)
	case kernel.ConfigRejected:
		p.w.checker.rejected = a.Err
	}
}

func (p *process) startDecode(a kernel.StartDecode) {
	sub := p.subs[a.Request]
	if a.ContinueFrom != sub.delivered {
		p.w.checker.addViolation(Discontinuous, sub.request.ID, "decode does not continue where the stream stopped")
	}
	var kv *attempt
	if id, err := ident.ParseAttemptID(string(a.KV.Params)); err == nil {
		kv = p.w.prefillsByHandle[id.String()]
	}
	p.send(&attempt{
		id: a.Attempt, sub: sub, role: config.RoleDecode,
		kv: kv, startOffset: a.ContinueFrom, generated: a.ContinueFrom,
	}, a.Upstream)
}

// send sends an attempt to its upstream.
func (p *process) send(a *attempt, to ident.UpstreamID) {
	a.owner = p
	a.upstream = p.w.backends[to]
	a.sub.attempts = append(a.sub.attempts, a)
	p.attempts[a.id] = a
	p.w.send(a)
}

// reattachAfter resumes reading a stream after a wait, unless this process ended
// meanwhile.
func (p *process) reattachAfter(wait time.Duration, a *attempt) {
	if wait == 0 {
		p.reattach(a)
		return
	}
	p.w.clock.after(wait, func() {
		if p.inst.process == p {
			p.reattach(a)
		}
	})
}

// reattach resumes reading an attempt's stream.
func (p *process) reattach(a *attempt) {
	up := a.upstream.base()
	delay := p.w.delay(p.inst.zone, up.zone)
	if !p.w.net.connected(p.inst.zone, up.zone) {
		p.w.clock.after(dialTimeout, func() { p.reportLost(a) })
		return
	}
	p.w.clock.after(delay, func() {
		if !up.alive || up.incarnation != a.incarnation {
			p.w.clock.after(delay, func() { p.reportLost(a) })
			return
		}
		done := a.generated >= a.sub.logical.arrival.OutputTokens
		if a.ended && !done {
			p.w.clock.after(delay, func() { p.reportLost(a) })
			return
		}
		a.disconnected = false
		if a.generated > a.startOffset {
			p.w.report(a, kernel.FirstOutput{Attempt: a.id})
		}
		if done {
			p.w.report(a, kernel.AttemptDone{Attempt: a.id, Tokens: a.generated})
		}
	})
}

// reportLost reports a stream that could not be resumed.
func (p *process) reportLost(a *attempt) {
	a.sub.delivered = a.offset()
	p.receive(kernel.AttemptFailed{
		Attempt:  a.id,
		Evidence: kernel.Ambiguous,
		Code:     kernel.FailureBroken,
		Offset:   a.offset(),
	})
}

// answer delivers the final answer to a caller.
func (p *process) answer(a kernel.Answer) {
	sub := p.subs[a.Request]
	if sub == nil || sub.answered {
		p.w.checker.addViolation(AnsweredTwice, a.Request, string(a.Outcome))
		return
	}
	sub.answered = true
	if a.Outcome == api.Complete && !sub.fullyDelivered() {
		p.w.checker.addViolation(Incomplete, a.Request, "complete without the last token")
	}
	sub.outcome = a.Outcome
	sub.close(p.w.clock.now)
	p.w.clock.after(p.w.clientDelay(), func() { p.w.callers.handleAnswer(sub, a) })
}

// sendPeer sends a message to another instance.
func (p *process) sendPeer(a kernel.SendPeer) {
	target := p.w.instance(a.To)
	undelivered := func() { p.receive(kernel.PeerUndelivered(a)) }
	if target == nil || !p.w.net.peersConnected(p.inst, target) {
		p.w.clock.after(dialTimeout, undelivered)
		return
	}
	delay := p.w.delay(p.inst.zone, target.zone)
	p.w.clock.after(delay+p.w.jitter(), func() {
		if target.process.dead {
			p.w.clock.after(delay, undelivered)
			return
		}
		p.w.checker.peerMessages++
		target.peerMessages++
		target.process.receive(kernel.PeerReceived{From: p.inst.id, Message: a.Message})
	})
}
