package experiment

import (
	"strconv"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/load/workload"
)

// logicalRequest is one request from the caller's point of view. It may be
// submitted several times.
type logicalRequest struct {
	arrival workload.Arrival
	at      time.Duration
	subs    []*submission
	// abandoned is set when the caller disconnected or its deadline passed.
	abandoned bool
	cancelled bool
	finished  bool
	doneAt    time.Duration
	// serviceRuns counts the executions of a plain service call.
	serviceRuns int
	// computedTokens is the total number of prompt tokens computed;
	// largestUsedTokens is the most that one run computed and a decode used.
	computedTokens, largestUsedTokens int
}

// last returns the latest submission.
func (l *logicalRequest) last() *submission { return l.subs[len(l.subs)-1] }

// submission is one transmission of a logical request to one instance.
type submission struct {
	logical *logicalRequest
	// sentAt is the time at which the caller sent the submission.
	sentAt  time.Duration
	request *kernel.Request
	process *process
	// attempts lists everything that was sent to upstreams for the submission.
	attempts       []*attempt
	delivered      int
	firstOutputAt  time.Duration
	hasFirstOutput bool
	answered       bool
	outcome        api.Outcome
	// closed is set once nobody waits for the submission any more.
	closed   bool
	closedAt time.Duration
}

// recordFirstOutput records the time at which the caller got its first output.
func (s *submission) recordFirstOutput(at time.Duration) {
	if !s.hasFirstOutput {
		s.hasFirstOutput = true
		s.firstOutputAt = at
	}
}

// fullyDelivered reports whether the complete output was delivered.
func (s *submission) fullyDelivered() bool { return s.delivered == s.logical.arrival.OutputTokens }

// close marks the submission as one that nobody waits for any more.
func (s *submission) close(now time.Duration) {
	if !s.closed {
		s.closed = true
		s.closedAt = now
	}
}

// callers generates the workload and handles answers the way callers do.
type callers struct {
	w *world
	// capacity is in requests per second.
	capacity float64
	logicals []*logicalRequest
	next     int
	sent     int
}

// naiveRetryDelay is the retry delay of callers that ignore Retry-After, and of
// callers that were not connected to any instance.
const naiveRetryDelay = 100 * time.Millisecond

// balancerDetectionDelay is the time after which the platform's load balancer
// stops routing to a dead or frozen instance.
const balancerDetectionDelay = time.Second

// answerGrace is how long after its deadline a caller still accepts an answer.
const answerGrace = 50 * time.Millisecond

// Parameters of a surge, a temporary increase of the load.
const (
	surgeLoad   = 1.5
	surgeLength = 30 * time.Second
	// surgeFirstNumber is the offset of the arrival numbers of a surge, so that
	// they don't collide with those of the regular load.
	surgeFirstNumber = 1 << 24
)

func newCallers(w *world, capacity float64) *callers { return &callers{w: w, capacity: capacity} }

// start schedules the regular load of the cell.
func (c *callers) start() {
	g := workload.NewGenerator(c.w.spec, c.capacity*c.w.cell.Load, c.w.cell.Seed)
	c.scheduleNext(g, 0, 0, c.w.cell.Warmup+c.w.cell.Duration)
}

// startSurge raises the load from the cell's to surgeLoad, starting now.
func (c *callers) startSurge() {
	g := workload.NewGenerator(c.w.spec, c.capacity*(surgeLoad-c.w.cell.Load), ^c.w.cell.Seed)
	end := min(c.w.clock.now+surgeLength, c.w.cell.Warmup+c.w.cell.Duration)
	c.scheduleNext(g, surgeFirstNumber, c.w.clock.now, end)
}

// scheduleNext schedules the next arrival of a generator, which then schedules
// the one after it.
func (c *callers) scheduleNext(g *workload.Generator, first int, start, end time.Duration) {
	a := g.Next()
	a.Number += first
	at := start + a.At
	if at >= end {
		return
	}
	c.w.clock.at(at, func() {
		c.arrive(a)
		c.scheduleNext(g, first, start, end)
	})
}

// arrive sends a new request and schedules the end of its caller's wait.
func (c *callers) arrive(a workload.Arrival) {
	l := &logicalRequest{arrival: a, at: c.w.clock.now}
	c.logicals = append(c.logicals, l)
	c.send(l)
	if a.CancelAfter > 0 {
		c.w.clock.after(a.CancelAfter, func() { c.stopWaiting(l, true) })
	}
	c.w.clock.after(a.Kind.Deadline+answerGrace, func() { c.stopWaiting(l, false) })
}

// stopWaiting ends a caller's wait, because it cancelled or because its deadline
// passed.
func (c *callers) stopWaiting(l *logicalRequest, cancelled bool) {
	if l.finished {
		return
	}
	l.finished = true
	l.doneAt = c.w.clock.now
	sub := l.last()
	if sub.closed {
		// The request was refused and is waiting to be sent again.
		return
	}
	l.abandoned, l.cancelled = true, cancelled
	sub.close(c.w.clock.now)
	gone := kernel.CallerGone{Request: sub.request.ID}
	c.w.clock.after(c.w.clientDelay(), func() {
		if c.w.ideal != nil {
			c.w.ideal.receive(gone)
			return
		}
		sub.process.receive(gone)
	})
}

// send submits a request through the load balancer.
func (c *callers) send(l *logicalRequest) {
	c.sent++
	sub := &submission{logical: l, sentAt: c.w.clock.now}
	sub.request = c.request(l, len(l.subs))
	l.subs = append(l.subs, sub)
	c.w.clock.after(c.w.clientDelay(), func() {
		sub.request.Arrived = c.w.clock.time()
		if c.w.ideal != nil {
			c.w.ideal.arrive(sub)
			return
		}
		c.deliver(sub)
	})
}

// deliver passes a submission to the instance that the load balancer selects.
func (c *callers) deliver(sub *submission) {
	inst := c.selectInstance()
	if inst == nil || inst.process.dead {
		// Nothing was sent, so the caller can safely retry.
		sub.close(c.w.clock.now)
		sub.outcome = api.NotRun
		c.w.clock.after(c.w.clientDelay()+naiveRetryDelay, func() { c.resend(sub.logical) })
		return
	}
	sub.process = inst.process
	inst.process.subs[sub.request.ID] = sub
	inst.process.receive(kernel.Arrive{Request: sub.request})
}

// selectInstance simulates the platform's load balancer: round robin over the
// instances that it doesn't know to be down.
func (c *callers) selectInstance() *instance {
	for range c.w.instances {
		inst := c.w.instances[c.next%len(c.w.instances)]
		c.next++
		p := inst.process
		down := p.dead && c.w.clock.now-inst.downAt >= balancerDetectionDelay
		stuck := p.frozen && c.w.clock.now-p.frozenAt >= balancerDetectionDelay
		if !down && !stuck {
			return inst
		}
	}
	return nil
}

// request builds the kernel's description of a submission.
func (c *callers) request(l *logicalRequest, number int) *kernel.Request {
	a := l.arrival
	r := &kernel.Request{
		ID:              ident.RequestID("r" + strconv.Itoa(a.Number) + "-" + strconv.Itoa(number)),
		Workspace:       a.Workspace,
		Kind:            a.Kind.Name,
		Route:           a.Kind.Route(),
		Model:           a.Kind.Model,
		Service:         a.Kind.Service,
		PromptTokens:    a.PromptTokens,
		MaxOutputTokens: a.OutputTokens,
		Repeatable:      a.Kind.Repeatable,
		Pace:            a.Kind.Pace,
		Deadline:        epoch.Add(l.at + a.Kind.Deadline),
		Priority:        c.w.priority(a.Kind.Name),
	}
	if c.w.declaredOutput != nil {
		r.MaxOutputTokens = c.w.declaredOutput(l)
	}
	if r.Route == config.RouteModel {
		r.Blocks = a.BlockHashes(c.w.content.Models[0].PieceTokens)
		r.FirstOutputBy = epoch.Add(c.w.clock.now + a.Kind.FirstOutput)
	}
	return r
}

// priority returns the priority of a kind in the bundle.
func (w *world) priority(kind string) int {
	for _, k := range w.content.Kinds {
		if k.Name == kind {
			return k.Priority
		}
	}
	return 0
}

// handleAnswer handles a final answer and retries if the caller's policy allows
// it.
func (c *callers) handleAnswer(sub *submission, a kernel.Answer) {
	l := sub.logical
	if l.finished {
		return
	}
	l.doneAt = c.w.clock.now
	blind := c.w.cell.retriesBlindly()
	retry := a.Outcome == api.NotRun && a.Problem.RetryAfterMS > 0
	retry = retry || (a.Outcome == api.Unknown && blind)
	if !retry || !l.arrival.Retries || len(l.subs) > c.w.spec.Caller.MaxRetries {
		l.finished = true
		return
	}
	wait := naiveRetryDelay
	if !blind {
		wait = time.Duration(a.Problem.RetryAfterMS) * time.Millisecond
	}
	c.w.clock.after(wait, func() { c.resend(l) })
}

// handleBrokenConnection handles a connection that was lost because its instance
// died. A request that is not repeatable is not sent again, because its ticket
// names the dead instance as its only executor. Callers of the naive policy have
// no tickets and retry regardless.
func (c *callers) handleBrokenConnection(sub *submission) {
	l := sub.logical
	if l.finished {
		return
	}
	sub.outcome = api.Unknown
	if !l.arrival.Kind.Repeatable && !c.w.cell.retriesBlindly() {
		l.finished = true
		l.doneAt = c.w.clock.now
		return
	}
	c.resend(l)
}

// resend submits a request once more if its caller still waits.
func (c *callers) resend(l *logicalRequest) {
	if l.finished {
		return
	}
	c.send(l)
}
