package experiment

import (
	"sort"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// idealScheduler is an upper bound for the entry instances, which it replaces.
// It sees the true state of every upstream without delay, keeps one queue in
// deadline order, knows the length of each answer in advance, and starts a
// prefill only when the engine is idle and a decode slot will be free for the
// result. It shares no code with the kernel, so that changes of the kernel don't
// move the baseline.
type idealScheduler struct {
	w            *world
	lastSequence uint64
	queue        []*submission
	subs         map[ident.RequestID]*submission
	attempts     map[ident.AttemptID]*attempt
	// planned lists, by decode engine, the prompts that are in prefill or
	// waiting for their slot.
	planned       map[ident.UpstreamID][]*attempt
	plannedDecode map[*attempt]ident.UpstreamID
	// awaitingSlot lists finished prefills whose slot is not free yet.
	awaitingSlot []*attempt
	// tickScheduled is true while a check of the queue is scheduled.
	tickScheduled bool
}

// idealTick is the interval at which the queue is checked when nothing else
// happens.
const idealTick = 5 * time.Millisecond

func newIdeal(w *world) *idealScheduler {
	return &idealScheduler{
		w:             w,
		subs:          map[ident.RequestID]*submission{},
		attempts:      map[ident.AttemptID]*attempt{},
		planned:       map[ident.UpstreamID][]*attempt{},
		plannedDecode: map[*attempt]ident.UpstreamID{},
	}
}

func (i *idealScheduler) location() ident.Zone { return "" }

// arrive queues a new submission.
func (i *idealScheduler) arrive(sub *submission) {
	i.subs[sub.request.ID] = sub
	i.enqueue(sub)
	i.schedule()
}

func (i *idealScheduler) enqueue(sub *submission) {
	i.queue = append(i.queue, sub)
	sort.SliceStable(i.queue, func(a, b int) bool { return i.dueTime(i.queue[a]).Before(i.dueTime(i.queue[b])) })
}

// dueTime returns the time by which the queue is ordered.
func (i *idealScheduler) dueTime(sub *submission) time.Time {
	if sub.request.Route == config.RouteService {
		return sub.request.Arrived
	}
	return sub.request.FirstOutputBy
}

// receive implements owner.
func (i *idealScheduler) receive(ev kernel.Event) {
	switch e := ev.(type) {
	case kernel.CallerGone:
		i.handleCallerGone(i.subs[e.Request])
	case kernel.PrefillDone:
		i.awaitingSlot = append(i.awaitingSlot, i.attempts[e.Attempt])
	case kernel.FirstOutput:
		i.attempts[e.Attempt].sub.recordFirstOutput(i.w.clock.now)
	case kernel.AttemptDone:
		i.answer(i.attempts[e.Attempt].sub, api.Complete)
	case kernel.AttemptFailed:
		i.handleFailure(i.attempts[e.Attempt], e)
	}
	i.schedule()
}

// handleCallerGone releases everything held for a caller that left.
func (i *idealScheduler) handleCallerGone(sub *submission) {
	for n, q := range i.queue {
		if q == sub {
			i.queue = append(i.queue[:n:n], i.queue[n+1:]...)
			break
		}
	}
	for _, a := range sub.attempts {
		i.removePlanned(a)
		if !a.ended {
			a.upstream.cancel(a.id)
		}
	}
	i.answer(sub, api.Unknown)
}

// answer gives the final answer once; later calls have no effect.
func (i *idealScheduler) answer(sub *submission, outcome api.Outcome) {
	if sub.answered {
		return
	}
	sub.answered = true
	sub.outcome = outcome
	sub.close(i.w.clock.now)
	a := kernel.Answer{Request: sub.request.ID, Outcome: outcome}
	if outcome != api.Complete {
		// The ideal scheduler refuses only what a retry cannot save, so its
		// callers don't retry.
		a.Problem = api.NewProblem(api.ProblemInfeasible, outcome, "")
	}
	i.w.callers.handleAnswer(sub, a)
}

// handleFailure queues a submission again after one of its attempts failed.
func (i *idealScheduler) handleFailure(a *attempt, e kernel.AttemptFailed) {
	sub := a.sub
	i.removePlanned(a)
	if !a.ended {
		a.upstream.cancel(a.id)
	}
	if sub.answered {
		return
	}
	if a.role == config.RoleService && e.Evidence == kernel.Ambiguous && !sub.request.Repeatable {
		i.answer(sub, api.Unknown)
		return
	}
	sub.delivered = max(sub.delivered, e.Offset)
	i.enqueue(sub)
}

// schedule starts everything that can start now.
func (i *idealScheduler) schedule() {
	i.startReady()
	waiting := i.queue
	i.queue = nil
	for n, sub := range waiting {
		if sub.answered {
			continue
		}
		if !i.start(sub) {
			i.queue = append(i.queue, waiting[n])
		}
	}
	i.scheduleTick()
}

// scheduleTick schedules another check of the queue if anything is waiting.
func (i *idealScheduler) scheduleTick() {
	if i.tickScheduled || len(i.queue)+len(i.awaitingSlot) == 0 {
		return
	}
	i.tickScheduled = true
	i.w.clock.after(idealTick, func() {
		i.tickScheduled = false
		i.schedule()
	})
}

// startReady starts the decodes of finished prefills whose slot is free.
func (i *idealScheduler) startReady() {
	waiting := i.awaitingSlot
	i.awaitingSlot = nil
	for _, a := range waiting {
		to := i.plannedDecode[a]
		if a.ended || a.sub.answered {
			i.removePlanned(a)
			continue
		}
		d := i.w.backends[to].(*decodeEngine)
		if !d.alive {
			to = i.otherDecode(a, to)
			d = i.w.backends[to].(*decodeEngine)
		}
		if !i.fits(d, a) {
			i.awaitingSlot = append(i.awaitingSlot, a)
			continue
		}
		i.removePlanned(a)
		i.send(&attempt{sub: a.sub, role: config.RoleDecode, kv: a, startOffset: a.startOffset, generated: a.startOffset}, to)
	}
}

// start starts a queued submission, or refuses it if it would miss its target.
// It returns false if the submission has to wait.
func (i *idealScheduler) start(sub *submission) bool {
	if sub.request.Route == config.RouteService {
		return i.startService(sub)
	}
	a := &attempt{sub: sub, role: config.RolePrefill, startOffset: sub.delivered}
	best, took := i.bestPrefill(a)
	if best == nil {
		return i.refuseLate(sub, took)
	}
	transfer := best.params.TransferDuration(a.promptTokens(), len(best.flows)+1)
	free := i.freeDecode(a, took)
	if free == nil {
		return i.refuseLate(sub, took+transfer)
	}
	if i.refuseLate(sub, took+transfer+free.params.DecodeStep) {
		return true
	}
	i.send(a, best.spec.ID)
	i.plannedDecode[a] = free.spec.ID
	i.planned[free.spec.ID] = append(i.planned[free.spec.ID], a)
	return true
}

// refuseLate refuses a submission that would miss its target if it needed that
// long from now. A submission that has already delivered output is never
// refused.
func (i *idealScheduler) refuseLate(sub *submission, need time.Duration) bool {
	if sub.delivered > 0 || !i.w.clock.time().Add(need).After(sub.request.FirstOutputBy) {
		return false
	}
	outcome := api.NotRun
	for _, a := range sub.attempts {
		if a.started {
			outcome = api.Unknown
		}
	}
	i.answer(sub, outcome)
	return true
}

// startService calls the least loaded live runner of the service.
func (i *idealScheduler) startService(sub *submission) bool {
	var best *serviceRunner
	for _, id := range i.w.upstreamOrder {
		s, ok := i.w.backends[id].(*serviceRunner)
		if !ok || !s.alive || s.spec.Service != sub.request.Service {
			continue
		}
		if best == nil || len(s.running) < len(best.running) {
			best = s
		}
	}
	if best == nil {
		return false
	}
	i.send(&attempt{sub: sub, role: config.RoleService}, best.spec.ID)
	return true
}

// send sends an attempt to its upstream.
func (i *idealScheduler) send(a *attempt, to ident.UpstreamID) {
	i.lastSequence++
	a.id = ident.AttemptID{Instance: "ideal", Sequence: i.lastSequence, Deadline: a.sub.request.Deadline}
	a.owner = i
	a.upstream = i.w.backends[to]
	a.sub.attempts = append(a.sub.attempts, a)
	i.attempts[a.id] = a
	i.w.arrive(a)
}

// removePlanned releases the decode slot planned for a prefill.
func (i *idealScheduler) removePlanned(a *attempt) {
	id, ok := i.plannedDecode[a]
	if !ok {
		return
	}
	delete(i.plannedDecode, a)
	list := i.planned[id]
	for n, p := range list {
		if p == a {
			i.planned[id] = append(list[:n:n], list[n+1:]...)
			return
		}
	}
}
