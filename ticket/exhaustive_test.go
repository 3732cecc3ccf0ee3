package ticket

import (
	"fmt"
	"testing"
	"time"

	"github.com/wardspool/wardspool/api"
)

// machine drives the executors of one instance with one ticket and checks the
// invariants after every step.
type machine struct {
	exec   *Executor
	ticket Ticket
	now    time.Time
	// running is the call that is running at the upstream, started by the current
	// executor or an earlier one.
	running *Digest
	// ran holds the calls that ran or may have run.
	ran    map[Digest]bool
	runs   int
	notRun map[Digest]bool
	fault  string
	// idle is true when the last operation had nothing to do.
	idle bool
}

func newMachine() *machine {
	m := &machine{now: testStart, ran: map[Digest]bool{}, notRun: map[Digest]bool{}}
	m.exec = NewExecutor(lifeA, testLimits())
	m.ticket, _ = m.exec.Issue(m.now, "w")
	return m
}

// operations are the steps that the search combines in every order.
var operations = []struct {
	name string
	do   func(m *machine)
}{
	{"present one", func(m *machine) { m.present(orderOne) }},
	{"present two", func(m *machine) { m.present(orderTwo) }},
	{"finish complete", func(m *machine) { m.finish(api.Complete) }},
	{"finish not-run", func(m *machine) { m.finish(api.NotRun) }},
	{"expire", func(m *machine) { m.now = m.now.Add(testLimits().Lifetime) }},
	{"clock back", func(m *machine) { m.now = m.now.Add(-testLimits().Lifetime) }},
	{"pause", func(m *machine) { m.exec.Paused(m.now, testLimits().Lifetime) }},
	{"sweep", func(m *machine) { m.exec.Sweep(m.now.Add(testLimits().Retention)) }},
	{"stop", (*machine).stop},
	{"restart", (*machine).restart},
}

func (m *machine) present(d Digest) {
	v := m.exec.Present(m.now, m.ticket, d)
	switch v.Action {
	case Run:
		m.runs++
		m.running = &d
	case Join:
		m.check(m.running != nil && *m.running == d, "joined a different call")
	case Replay:
		m.told(d, v.Result.Outcome)
		m.check(string(v.Result.Body) == fmt.Sprint(d), "replayed the answer of a different call")
	case Refuse:
		m.told(d, v.Problem.Outcome)
	}
}

func (m *machine) told(d Digest, o api.Outcome) {
	if o == api.NotRun {
		m.notRun[d] = true
	}
}

func (m *machine) finish(o api.Outcome) {
	if m.running == nil {
		m.idle = true
		return
	}
	d := *m.running
	m.running = nil
	if o == api.NotRun {
		m.runs-- // the upstream reported that it did not run
		m.notRun[d] = true
	} else {
		m.ran[d] = true
	}
	if m.exec.Life() == lifeA {
		err := m.exec.Finish(m.now, m.ticket, Result{Outcome: o, Body: fmt.Append(nil, d)})
		m.check(err == nil, "finish failed: the ticket of a running call was forgotten")
	}
}

func (m *machine) stop() {
	m.idle = m.exec.stopping
	m.exec.Stop()
}

// restart starts a new executor with the same incarnation, which issues a ticket
// with the same sequence number. A call that the old one started may still end at
// the upstream.
func (m *machine) restart() {
	next := m.exec.Life()
	next.Nonce++
	m.exec = NewExecutor(next, testLimits())
	m.exec.Issue(m.now, "w")
}

func (m *machine) check(ok bool, fault string) {
	if !ok && m.fault == "" {
		m.fault = fault
	}
}

func (m *machine) invariants() {
	m.check(m.runs <= 1, "ran twice")
	for d := range m.notRun {
		m.check(!m.ran[d], "answered not-run, but the call ran")
		m.check(m.running == nil || *m.running != d, "answered not-run, but the call is running")
	}
}

// TestExhaustive tries every sequence of operations up to a fixed length.
func TestExhaustive(t *testing.T) {
	const length = 6
	path := make([]int, length)
	count := 0
	for {
		used, fault := try(path)
		if fault != "" {
			t.Fatalf("%s after %s", fault, names(path[:used]))
		}
		count++
		if !advance(path, used) {
			break
		}
	}
	t.Logf("%d sequences of %d operations", count, length)
}

// try executes a sequence up to the first operation that has no effect or breaks
// an invariant. It returns the number of operations executed and the broken
// invariant.
func try(path []int) (used int, fault string) {
	m := newMachine()
	for i, op := range path {
		operations[op].do(m)
		m.invariants()
		if m.idle || m.fault != "" {
			return i + 1, m.fault
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

func names(path []int) []string {
	var out []string
	for _, op := range path {
		out = append(out, operations[op].name)
	}
	return out
}
