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
	// NotWhole means that an answer was reported complete but is truncated.
	NotWhole ViolationKind = "not_whole"
	// BrokenStream means that a decode repeats or skips output.
	BrokenStream ViolationKind = "broken_stream"
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
	wasteCauses
)

// Tolerances of the leak check.
const (
	// leakGrace is how long memory may be held for a request that nobody waits
	// for.
	leakGrace = 6 * time.Second
	// leakCheckPeriod is the interval between two checks of the engines.
	leakCheckPeriod = time.Second
)

// maxViolations limits the number of violations that are kept in detail.
const maxViolations = 100

// judge checks the guarantees of a run and accounts for the work done. Unlike
// the kernels it sees the true state of all engines.
type judge struct {
	w          *world
	violations []Violation
	counts     map[ViolationKind]int
	// prompt is the total number of prompt tokens computed; byCause is the part
	// that was discarded, by cause. Tokens that were computed again are only
	// visible in the accounting per request.
	prompt       int
	byCause      [wasteCauses]int
	peerMessages int
	leaked       map[*attempt]bool
	// samples counts the samples taken in the measured time; decodeBusy and
	// prefillBusy are the sums of the utilization in them.
	samples                 int
	decodeBusy, prefillBusy float64
	// rejected is the error with which a kernel rejected the policy, or with
	// which an instance could not be restarted.
	rejected error
	trace    func(line string)
	// watch, if set, receives each event and action of an instance.
	watch func(id ident.InstanceID, what any)
}

func (j *judge) start() {
	j.leaked = map[*attempt]bool{}
	j.w.clock.after(leakCheckPeriod, j.checkLeaks)
}

// note passes an event or an action of an instance to the watch function and the
// trace.
func (j *judge) note(id ident.InstanceID, what any) {
	if j.watch != nil {
		j.watch(id, what)
	}
	if j.trace != nil {
		j.trace(fmt.Sprintf("%s %s %T%+v", j.w.clock.now, id, what, what))
	}
}

// violate records a violation.
func (j *judge) violate(kind ViolationKind, id ident.RequestID, detail string) {
	if j.counts == nil {
		j.counts = map[ViolationKind]int{}
	}
	j.counts[kind]++
	if len(j.violations) < maxViolations {
		j.violations = append(j.violations, Violation{At: j.w.clock.now, Kind: kind, Request: id, Detail: detail})
	}
	if j.trace != nil {
		j.trace(fmt.Sprintf("%s VIOLATION %s %s: %s", j.w.clock.now, kind, id, detail))
	}
}

// computed accounts for prompt tokens that were computed.
func (j *judge) computed(a *attempt, tokens int) {
	j.prompt += tokens
	a.sub.logical.computed += tokens
}

// used records that a decode imported a prefill result.
func (j *judge) used(a *attempt) {
	l := a.sub.logical
	l.largestUsed = max(l.largestUsed, a.computed)
}

// wasted accounts for prompt tokens that no decode used.
func (j *judge) wasted(a *attempt, cause wasteCause) { j.byCause[cause] += a.computed }

// serviceRan records that a plain service call ran.
func (j *judge) serviceRan(a *attempt) {
	l := a.sub.logical
	l.runs++
	if l.runs > 1 && !l.arrival.Kind.Repeatable {
		j.violate(RanTwice, a.sub.request.ID, "")
	}
}

// checkLeaks looks for memory held for requests that nobody waits for. It is
// lenient for leakGrace after a fault has ended.
func (j *judge) checkLeaks() {
	j.w.clock.after(leakCheckPeriod, j.checkLeaks)
	j.sample()
	settled := j.w.clock.now - leakGrace
	if j.w.disturbedAt > settled {
		return
	}
	for _, id := range j.w.order {
		b := j.w.backends[id]
		for _, a := range b.heldAttempts() {
			if a.sub.over && a.sub.overAt < settled && !j.leaked[a] && j.reachable(a) {
				j.leaked[a] = true
				j.violate(Leaked, a.sub.request.ID, fmt.Sprintf("%s holds %s attempt %s", id, a.role, a.id))
			}
		}
	}
}

// sample measures the utilization of the engines, within the measured time.
func (j *judge) sample() {
	now := j.w.clock.now
	if now < j.w.cell.Warmup || now > j.w.cell.Warmup+j.w.cell.Duration {
		return
	}
	var full, decodes, busy, prefills float64
	for _, id := range j.w.order {
		switch b := j.w.backends[id].(type) {
		case *decodeEngine:
			decodes++
			full += b.fill()
		case *prefillEngine:
			prefills++
			if b.current != nil {
				busy++
			}
		}
	}
	j.samples++
	j.decodeBusy += full / max(decodes, 1)
	j.prefillBusy += busy / max(prefills, 1)
}

// reachable reports whether the attempt could have been released: by its owner
// or, if the owner is dead, by another instance that can know of it. Without the
// platform's list a dead instance cannot be told from a partitioned or paused
// one.
func (j *judge) reachable(a *attempt) bool {
	l, ok := a.owner.(*life)
	if !ok {
		return true
	}
	if l.dead && j.w.platformDown {
		return false
	}
	return !l.frozen && j.w.net.connected(l.inst.zone, a.upstream.base().zone)
}

// finish checks what can only be checked at the end of the run.
func (j *judge) finish() {
	for _, l := range j.w.callers.logicals {
		for _, sub := range l.subs {
			j.judgeSubmission(sub)
		}
	}
}

func (j *judge) judgeSubmission(sub *submission) {
	if sub.answered && sub.outcome == api.NotRun {
		for _, a := range sub.attempts {
			if a.ran {
				j.violate(FalseNotRun, sub.request.ID, fmt.Sprintf("%s attempt %s ran", a.role, a.id))
				break
			}
		}
	}
	if sub.to != nil && !sub.to.dead && !sub.answered {
		// The run continues long after the last deadline, so an answer is
		// missing for good.
		j.violate(Unanswered, sub.request.ID, "")
	}
}

// good reports whether a request was answered completely and within its targets,
// measured from a given time: its arrival or its latest submission.
func (l *logical) good(since time.Duration) bool {
	if !l.complete() {
		return false
	}
	k := l.arrival.Kind
	if k.Route() == config.RouteService {
		return l.doneAt-since <= k.FirstOutput
	}
	return l.last().first-since <= k.FirstOutput && l.pace() <= k.Pace
}

// complete reports whether the caller got a complete answer.
func (l *logical) complete() bool {
	return l.finished && !l.gone && l.last().outcome == api.Complete
}

// pace returns the mean time between the output tokens that the caller got.
func (l *logical) pace() time.Duration {
	sub := l.last()
	gaps := l.arrival.OutputTokens - 1
	if gaps < 1 {
		return 0
	}
	return (l.doneAt - sub.first) / time.Duration(gaps)
}
