package ticket

import (
	"fmt"
	"testing"
	"time"

	"github.com/wardspool/wardspool/api"
)

// executorModel drives the executors of one instance with one ticket and checks
// the invariants after every step.
type executorModel struct {
	exec   *Executor
	ticket Ticket
	now    time.Time
	// running is the call that is running at the upstream, started by the current
	// executor or an earlier one.
	running *Digest
	// mayHaveRun holds the calls that ran or may have run.
	mayHaveRun map[Digest]bool
	runs       int
	notRun     map[Digest]bool
	violation  string
	// noEffect is true when the last operation had no effect.
	noEffect bool
}

func newExecutorModel() *executorModel {
	m := &executorModel{now: testStart, mayHaveRun: map[Digest]bool{}, notRun: map[Digest]bool{}}
	m.exec = NewExecutor(processA, testLimits())
	m.ticket, _ = m.exec.Issue(m.now, "w")
	return m
}

// operations are the steps that the search combines in every order.
var operations = []struct {
	name string
	do   func(m *executorModel)
}{
	{"present one", func(m *executorModel) { m.present(digestOne) }},
	{"present two", func(m *executorModel) { m.present(digestTwo) }},
	{"finish complete", func(m *executorModel) { m.finish(api.Complete) }},
	{"finish not-run", func(m *executorModel) { m.finish(api.NotRun) }},
	{"expire", func(m *executorModel) { m.now = m.now.Add(testLimits().Lifetime) }},
	{"clock back", func(m *executorModel) { m.now = m.now.Add(-testLimits().Lifetime) }},
	{"pause", func(m *executorModel) { m.exec.Paused(m.now, testLimits().Lifetime) }},
	{"sweep", func(m *executorModel) { m.exec.Sweep(m.now.Add(testLimits().Retention)) }},
	{"stop", (*executorModel).stop},
	{"restart", (*executorModel).restart},
}

func (m *executorModel) present(d Digest) {
	v := m.exec.Present(m.now, m.ticket, d)
	switch v.Action {
	case Run:
		m.runs++
		m.running = &d
	case Join:
		m.check(m.running != nil && *m.running == d, "joined a different call")
	case Replay:
		m.recordOutcome(d, v.Result.Outcome)
		m.check(string(v.Result.Body) == fmt.Sprint(d), "replayed the answer of a different call")
	case Refuse:
		m.recordOutcome(d, v.Problem.Outcome)
	}
}

func (m *executorModel) recordOutcome(d Digest, o api.Outcome) {
	if o == api.NotRun {
		m.notRun[d] = true
	}
}

func (m *executorModel) finish(o api.Outcome) {
	if m.running == nil {
		m.noEffect = true
		return
	}
	d := *m.running
	m.running = nil
	if o == api.NotRun {
		m.runs-- // the upstream reported that it did not run
		m.notRun[d] = true
	} else {
		m.mayHaveRun[d] = true
	}
	if m.exec.Process() == processA {
		err := m.exec.Finish(m.now, m.ticket, Result{Outcome: o, Body: fmt.Append(nil, d)})
		m.check(err == nil, "finish failed: the ticket of a running call was forgotten")
	}
}

func (m *executorModel) stop() {
	m.noEffect = m.exec.stopping
	m.exec.Stop()
}

// restart starts a new executor with the same incarnation, which issues a ticket
// with the same sequence number. A call that the old one started may still end at
// the upstream.
func (m *executorModel) restart() {
	next := m.exec.Process()
	next.Nonce++
	m.exec = NewExecutor(next, testLimits())
	m.exec.Issue(m.now, "w")
}

func (m *executorModel) check(ok bool, violation string) {
	if !ok && m.violation == "" {
		m.violation = violation
	}
}

func (m *executorModel) invariants() {
	m.check(m.runs <= 1, "ran twice")
	for d := range m.notRun {
		m.check(!m.mayHaveRun[d], "answered not-run, but the call ran")
		m.check(m.running == nil || *m.running != d, "answered not-run, but the call is running")
	}
}

// TestExhaustive tries every sequence of operations up to a fixed length.
func TestExhaustive(t *testing.T) {
	const length = 6
	path := make([]int, length)
	count := 0
	for {
		used, violation := runSequence(path)
		if violation != "" {
			t.Fatalf("%s after %s", violation, operationNames(path[:used]))
		}
		count++
		if !advance(path, used) {
			break
		}
	}
	t.Logf("%d sequences of %d operations", count, length)
}

// runSequence executes a sequence up to the first operation that has no effect or
// breaks an invariant. It returns the number of operations executed and the
// broken invariant.
func runSequence(path []int) (used int, violation string) {
	m := newExecutorModel()
	for i, op := range path {
		operations[op].do(m)
		m.invariants()
		if m.noEffect || m.violation != "" {
			return i + 1, m.violation
		}
	}
	return len(path), ""
}

// advance changes path to the next sequence that differs within the first used
// operations. It returns false after the last one.
func advance(path []int, used int) bool {
	clear(path[used:])
	for i := used - 1; i >= 0; i-- {
		path[i]++
		if path[i] < len(operations) {
			return true
		}
		path[i] = 0
	}
	return false
}

func operationNames(path []int) []string {
	var out []string
	for _, op := range path {
		out = append(out, operations[op].name)
	}
	return out
}
