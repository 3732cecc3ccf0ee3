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

// logical is one request as its caller means it; it may be sent several times.
type logical struct {
	arrival workload.Arrival
	at      time.Duration
	subs    []*submission
	// gone says that the caller left or its deadline passed.
	gone      bool
	cancelled bool
	finished  bool
	doneAt    time.Duration
	// runs counts the plain service calls that ran.
	runs int
	// computed sums the prompt tokens computed; largestUsed is the most that
	// one run computed and a decode used.
	computed, largestUsed int
}

// last is the latest submission.
func (l *logical) last() *submission { return l.subs[len(l.subs)-1] }

// submission is one sending of a request to one instance.
type submission struct {
	logical *logical
	// sentAt is when the caller sent it.
	sentAt  time.Duration
	request *kernel.Request
	to      *life
	// attempts lists all that was sent to upstreams.
	attempts  []*attempt
	delivered int
	first     time.Duration
	hasFirst  bool
	answered  bool
	outcome   api.Outcome
	// over is when nobody waited any more.
	over   bool
	overAt time.Duration
}

// sawFirst notes when the caller got its first output.
func (s *submission) sawFirst(at time.Duration) {
	if !s.hasFirst {
		s.hasFirst = true
		s.first = at
	}
}

// whole reports whether all output was delivered.
func (s *submission) whole() bool { return s.delivered == s.logical.arrival.OutputTokens }

// end notes that nobody waits for the submission any more.
func (s *submission) end(now time.Duration) {
	if !s.over {
		s.over = true
		s.overAt = now
	}
}

// callers offers the workload and reacts to answers.
type callers struct {
	w *world
	// capacity is in requests a second.
	capacity float64
	logicals []*logical
	next     int
	sent     int
}

// blindRetryAfter is when callers that ignore Retry-After come back.
const blindRetryAfter = 100 * time.Millisecond

// balancerLag is when the platform's balancer stops using a dead or frozen
// instance.
const balancerLag = time.Second

// patience is how long after its deadline a caller still takes an answer.
const patience = 50 * time.Millisecond

// A surge adds to the load for a while.
const (
	surgeLoad   = 1.5
	surgeLength = 30 * time.Second
	// surgeNumbers is what the numbers of a surge's arrivals start from.
	surgeNumbers = 1 << 24
)

func newCallers(w *world, capacity float64) *callers { return &callers{w: w, capacity: capacity} }

// start begins the cell's usual load.
func (c *callers) start() {
	g := workload.NewGenerator(c.w.spec, c.capacity*c.w.cell.Load, c.w.cell.Seed)
	c.scheduleNext(g, 0, 0, c.w.cell.Warmup+c.w.cell.Duration)
}

// surge adds what is missing to surgeLoad from now on.
func (c *callers) surge() {
	g := workload.NewGenerator(c.w.spec, c.capacity*(surgeLoad-c.w.cell.Load), ^c.w.cell.Seed)
	end := min(c.w.clock.now+surgeLength, c.w.cell.Warmup+c.w.cell.Duration)
	c.scheduleNext(g, surgeNumbers, c.w.clock.now, end)
}

// scheduleNext has a generator's arrivals sent one after the other.
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

// arrive sends a new request.
func (c *callers) arrive(a workload.Arrival) {
	l := &logical{arrival: a, at: c.w.clock.now}
	c.logicals = append(c.logicals, l)
	c.send(l)
	if a.CancelAfter > 0 {
		c.w.clock.after(a.CancelAfter, func() { c.leave(l, true) })
	}
	c.w.clock.after(a.Kind.Deadline+patience, func() { c.leave(l, false) })
}

// leave ends a caller's wait.
func (c *callers) leave(l *logical, cancelled bool) {
	if l.finished {
		return
	}
	l.finished = true
	l.doneAt = c.w.clock.now
	sub := l.last()
	if sub.over {
		// It was refused and waited to be sent again.
		return
	}
	l.gone, l.cancelled = true, cancelled
	sub.end(c.w.clock.now)
	gone := kernel.CallerGone{Request: sub.request.ID}
	c.w.clock.after(c.w.clientDelay(), func() {
		if c.w.ideal != nil {
			c.w.ideal.receive(gone)
			return
		}
		sub.to.receive(gone)
	})
}

// send sends a request to the next instance of the balancer.
func (c *callers) send(l *logical) {
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

// deliver hands a submission to an instance.
func (c *callers) deliver(sub *submission) {
	inst := c.balance()
	if inst == nil || inst.life.dead {
		// Nothing was sent, so the caller may well send it again.
		sub.end(c.w.clock.now)
		sub.outcome = api.NotRun
		c.w.clock.after(c.w.clientDelay()+blindRetryAfter, func() { c.again(sub.logical) })
		return
	}
	sub.to = inst.life
	inst.life.subs[sub.request.ID] = sub
	inst.life.receive(kernel.Arrive{Request: sub.request})
}

// balance is the platform's balancer: in turn, without those it knows are down.
func (c *callers) balance() *instance {
	for range c.w.instances {
		inst := c.w.instances[c.next%len(c.w.instances)]
		c.next++
		l := inst.life
		down := l.dead && c.w.clock.now-inst.downAt >= balancerLag
		stuck := l.frozen && c.w.clock.now-l.frozenAt >= balancerLag
		if !down && !stuck {
			return inst
		}
	}
	return nil
}

// request describes a submission to the kernel.
func (c *callers) request(l *logical, number int) *kernel.Request {
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
	if c.w.declared != nil {
		r.MaxOutputTokens = c.w.declared(l)
	}
	if r.Route == config.RouteModel {
		r.Blocks = a.BlockHashes(c.w.content.Models[0].PieceTokens)
		r.FirstOutputBy = epoch.Add(c.w.clock.now + a.Kind.FirstOutput)
	}
	return r
}

// priority is a kind's priority in the bundle.
func (w *world) priority(kind string) int {
	for _, k := range w.content.Kinds {
		if k.Name == kind {
			return k.Priority
		}
	}
	return 0
}

// answered reacts to a final answer.
func (c *callers) answered(sub *submission, a kernel.Answer) {
	l := sub.logical
	if l.finished {
		return
	}
	l.doneAt = c.w.clock.now
	blind := c.w.cell.blind()
	retry := a.Outcome == api.NotRun && a.Problem.RetryAfterMS > 0
	retry = retry || (a.Outcome == api.Unknown && blind)
	if !retry || !l.arrival.Retries || len(l.subs) > c.w.spec.Caller.MaxRetries {
		l.finished = true
		return
	}
	wait := blindRetryAfter
	if !blind {
		wait = time.Duration(a.Problem.RetryAfterMS) * time.Millisecond
	}
	c.w.clock.after(wait, func() { c.again(l) })
}

// broken reacts to a connection that broke when its instance died. A request
// that may not run twice is not sent again: its ticket names the dead instance
// as its only executor. Callers of the naive policy have no tickets and send
// it again all the same.
func (c *callers) broken(sub *submission) {
	l := sub.logical
	if l.finished {
		return
	}
	sub.outcome = api.Unknown
	if !l.arrival.Kind.Repeatable && !c.w.cell.blind() {
		l.finished = true
		l.doneAt = c.w.clock.now
		return
	}
	c.again(l)
}

// again sends a request once more, if its caller still waits.
func (c *callers) again(l *logical) {
	if l.finished {
		return
	}
	c.send(l)
}
