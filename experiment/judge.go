package experiment

import (
	"fmt"
	"time"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
)

// ViolationKind names a guarantee of the system that was violated.
type ViolationKind string

// The kinds of violation.
const (
	// RanTwice means that a request that is not repeatable ran twice.
	RanTwice ViolationKind = "ran_twice"
	// FalseNotRun means that a request answered "not-run" did run.
	FalseNotRun ViolationKind = "false_not_run"
	// AnsweredTwice means a second final answer, or one to an unknown request.
	AnsweredTwice ViolationKind = "answered_twice"
	// Unanswered means that there was no final answer by the deadline.
	Unanswered ViolationKind = "unanswered"
	// Incomplete means that an answer was reported complete but is truncated.
	Incomplete ViolationKind = "not_whole"
	// Discontinuous means that a decode repeats or skips output.
	Discontinuous ViolationKind = "broken_stream"
	// Leaked means that engine memory was held although nobody waited for the
	// request.
	Leaked ViolationKind = "leaked"
)

// Violation is one violated guarantee.
type Violation struct {
	// At is the virtual time since the start of the run.
	At      time.Duration
	Kind    ViolationKind
	Request ident.RequestID
	Detail  string
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s %s: %s", v.At, v.Kind, v.Request, v.Detail)
}

// wasteCause is the reason why computed prompt tokens were discarded.
type wasteCause int

const (
	wasteCancelled wasteCause = iota
	wasteEvicted
	wasteKilled
	wasteCauseCount
)

// Tolerances of the leak check.
const (
	// leakGrace is how long memory may be held for a request that nobody waits
	// for.
	leakGrace = 6 * time.Second
	// leakCheckPeriod is the interval between two checks of the engines.
	leakCheckPeriod = time.Second
)

// maxKeptViolations limits the number of violations that are kept in detail.
const maxKeptViolations = 100

// checker verifies the guarantees of a run and accounts for the work done.
// Unlike the kernels it sees the true state of all engines.
type checker struct {
	w               *world
	violations      []Violation
	violationCounts map[ViolationKind]int
	// promptTokens is the total number of prompt tokens computed; wastedTokens
	// is the part that was discarded, by cause. Tokens that were computed again
	// are only visible in the accounting per request.
	promptTokens  int
	wastedTokens  [wasteCauseCount]int
	peerMessages  int
	reportedLeaks map[*attempt]bool
	// samples counts the samples taken in the measured time; decodeBusy and
	// prefillBusy are the sums of the utilization in them.
	samples                 int
	decodeBusy, prefillBusy float64
	// rejected is the error with which a kernel rejected the policy, or with
	// which an instance could not be restarted.
	rejected error
	trace    func(line string)
	// observer, if set, receives each event and action of an instance.
	observer func(id ident.InstanceID, what any)
}

func (c *checker) start() {
	c.reportedLeaks = map[*attempt]bool{}
	c.w.clock.after(leakCheckPeriod, c.checkLeaks)
}

// record passes an event or an action of an instance to the observer and the
// trace.
func (c *checker) record(id ident.InstanceID, what any) {
	if c.observer != nil {
		c.observer(id, what)
	}
	if c.trace != nil {
		c.trace(fmt.Sprintf("%s %s %T%+v", c.w.clock.now, id, what, what))
	}
}

// addViolation records a violation.
func (c *checker) addViolation(kind ViolationKind, id ident.RequestID, detail string) {
	if c.violationCounts == nil {
		c.violationCounts = map[ViolationKind]int{}
	}
	c.violationCounts[kind]++
	if len(c.violations) < maxKeptViolations {
		c.violations = append(c.violations, Violation{At: c.w.clock.now, Kind: kind, Request: id, Detail: detail})
	}
	if c.trace != nil {
		c.trace(fmt.Sprintf("%s VIOLATION %s %s: %s", c.w.clock.now, kind, id, detail))
	}
}

// addComputed accounts for prompt tokens that were computed.
func (c *checker) addComputed(a *attempt, tokens int) {
	c.promptTokens += tokens
	a.sub.logical.computedTokens += tokens
}

// markUsed records that a decode imported a prefill result.
func (c *checker) markUsed(a *attempt) {
	l := a.sub.logical
	l.largestUsedTokens = max(l.largestUsedTokens, a.computedTokens)
}

// addWasted accounts for prompt tokens that no decode used.
func (c *checker) addWasted(a *attempt, cause wasteCause) { c.wastedTokens[cause] += a.computedTokens }

// addServiceRun records that a plain service call ran.
func (c *checker) addServiceRun(a *attempt) {
	l := a.sub.logical
	l.serviceRuns++
	if l.serviceRuns > 1 && !l.arrival.Kind.Repeatable {
		c.addViolation(RanTwice, a.sub.request.ID, "")
	}
}

// checkLeaks looks for memory held for requests that nobody waits for. It is
// lenient for leakGrace after a fault has ended.
func (c *checker) checkLeaks() {
	c.w.clock.after(leakCheckPeriod, c.checkLeaks)
	c.sample()
	settled := c.w.clock.now - leakGrace
	if c.w.recoveredAt > settled {
		return
	}
	for _, id := range c.w.upstreamOrder {
		b := c.w.backends[id]
		for _, a := range b.heldAttempts() {
			if a.sub.closed && a.sub.closedAt < settled && !c.reportedLeaks[a] && c.reachable(a) {
				c.reportedLeaks[a] = true
				c.addViolation(Leaked, a.sub.request.ID, fmt.Sprintf("%s holds %s attempt %s", id, a.role, a.id))
			}
		}
	}
}

// sample measures the utilization of the engines, within the measured time.
func (c *checker) sample() {
	now := c.w.clock.now
	if now < c.w.cell.Warmup || now > c.w.cell.Warmup+c.w.cell.Duration {
		return
	}
	var full, decodes, busy, prefills float64
	for _, id := range c.w.upstreamOrder {
		switch b := c.w.backends[id].(type) {
		case *decodeEngine:
			decodes++
			full += b.utilization()
		case *prefillEngine:
			prefills++
			if b.current != nil {
				busy++
			}
		}
	}
	c.samples++
	c.decodeBusy += full / max(decodes, 1)
	c.prefillBusy += busy / max(prefills, 1)
}

// reachable reports whether the attempt could have been released: by its owner
// or, if the owner has crashed, by another instance that can know of it. Without
// the platform's list a crashed instance cannot be distinguished from a
// partitioned or paused one.
func (c *checker) reachable(a *attempt) bool {
	p, ok := a.owner.(*process)
	if !ok {
		return true
	}
	if p.dead && c.w.platformDown {
		return false
	}
	return !p.frozen && c.w.net.connected(p.inst.zone, a.upstream.base().zone)
}

// checkFinal checks what can only be checked at the end of the run.
func (c *checker) checkFinal() {
	for _, l := range c.w.callers.logicals {
		for _, sub := range l.subs {
			c.checkSubmission(sub)
		}
	}
}

func (c *checker) checkSubmission(sub *submission) {
	if sub.answered && sub.outcome == api.NotRun {
		for _, a := range sub.attempts {
			if a.started {
				c.addViolation(FalseNotRun, sub.request.ID, fmt.Sprintf("%s attempt %s ran", a.role, a.id))
				break
			}
		}
	}
	if sub.process != nil && !sub.process.dead && !sub.answered {
		// The run continues long after the last deadline, so an answer is
		// missing for good.
		c.addViolation(Unanswered, sub.request.ID, "")
	}
}

// good reports whether a request was answered completely and within its targets,
// measured from a given time: its arrival or its latest submission.
func (l *logicalRequest) good(since time.Duration) bool {
	if !l.complete() {
		return false
	}
	k := l.arrival.Kind
	if k.Route() == config.RouteService {
		return l.doneAt-since <= k.FirstOutput
	}
	return l.last().firstOutputAt-since <= k.FirstOutput && l.pace() <= k.Pace
}

// complete reports whether the caller got a complete answer.
func (l *logicalRequest) complete() bool {
	return l.finished && !l.abandoned && l.last().outcome == api.Complete
}

// pace returns the mean time between the output tokens that the caller got.
func (l *logicalRequest) pace() time.Duration {
	sub := l.last()
	gaps := l.arrival.OutputTokens - 1
	if gaps < 1 {
		return 0
	}
	return (l.doneAt - sub.firstOutputAt) / time.Duration(gaps)
}
