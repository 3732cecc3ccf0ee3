package ticket

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

const fleetSize = 3

// node is one entry instance of the simulated fleet.
type node struct {
	exec        *Executor
	skew        time.Duration
	paused      bool
	down        bool
	pausedSince time.Time
}

// message is a presentation in transit, to an entry instance or, if forwarded, to
// the executor.
type message struct {
	at        int
	call      call
	forwarded bool
}

// call is a body that is presented with a ticket.
type call struct {
	ticket Ticket
	digest Digest
}

// fleet simulates entry instances as their drivers run them. Messages may be
// delayed, lost and duplicated, and views may be arbitrarily stale.
type fleet struct {
	t        *rapid.T
	now      time.Time
	nodes    []*node
	cut      map[[2]int]bool
	messages []message
	tickets  []Ticket
	running  []call
	// runs and callRuns count the runs that happened or may have happened, by
	// ticket and by call.
	runs       map[Ticket]int
	callRuns   map[call]int
	toldNotRun map[call]bool
}

func instanceID(i int) ident.InstanceID { return ident.InstanceID(fmt.Sprintf("n%d", i)) }

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		t: t, now: testStart, cut: map[[2]int]bool{},
		runs: map[Ticket]int{}, callRuns: map[call]int{}, toldNotRun: map[call]bool{},
	}
	for i := range fleetSize {
		process := Process{Instance: instanceID(i), Incarnation: 1}
		f.nodes = append(f.nodes, &node{exec: NewExecutor(process, testLimits())})
	}
	return f
}

func (f *fleet) clock(i int) time.Time { return f.now.Add(f.nodes[i].skew) }

func (f *fleet) draw(n int, what string) int {
	if n == 0 {
		f.t.Skip("nothing to choose from")
	}
	return rapid.IntRange(0, n-1).Draw(f.t, what)
}

// drawRunning draws a running instance.
func (f *fleet) drawRunning() int {
	i := f.draw(fleetSize, "node")
	if f.nodes[i].paused || f.nodes[i].down {
		f.t.Skip("the instance is down or paused")
	}
	return i
}

func (f *fleet) issue() {
	i := f.drawRunning()
	if tk, p := f.nodes[i].exec.Issue(f.clock(i), "w"); p == nil {
		f.tickets = append(f.tickets, tk)
	}
}

func (f *fleet) present() {
	tk := f.tickets[f.draw(len(f.tickets), "ticket")]
	d := []Digest{digestOne, digestTwo}[f.draw(2, "body")]
	f.messages = append(f.messages, message{at: f.draw(fleetSize, "at"), call: call{tk, d}})
}

// deliver delivers a message; a duplicate of it may remain in transit.
func (f *fleet) deliver() {
	k := f.draw(len(f.messages), "message")
	m := f.messages[k]
	n := f.nodes[m.at]
	if n.paused {
		f.t.Skip("the instance is paused")
	}
	if f.draw(4, "duplicate") > 0 {
		f.messages = append(f.messages[:k], f.messages[k+1:]...)
	}
	if n.down {
		f.recordOutcome(m.call, UnreachableProblem().Outcome)
		return
	}
	if m.forwarded {
		f.presentAt(m.at, m.call)
		return
	}
	f.route(m)
}

func (f *fleet) route(m message) {
	d := Route(m.call.ticket, f.nodes[m.at].exec.Process(), f.view())
	switch d.Destination {
	case Local:
		f.presentAt(m.at, m.call)
	case Reject:
		f.recordOutcome(m.call, d.Problem.Outcome)
	case Forward:
		to := f.nodeOf(d.To)
		if f.cut[[2]int{m.at, to}] {
			f.recordOutcome(m.call, UnreachableProblem().Outcome)
			return
		}
		f.messages = append(f.messages, message{at: to, call: m.call, forwarded: true})
	}
}

// view returns a view in which any instance may be missing or have a wrong state.
func (f *fleet) view() *kernel.View {
	v := &kernel.View{}
	for i := range f.nodes {
		if f.draw(8, "listed") == 7 {
			continue
		}
		v.Instances = append(v.Instances, kernel.Instance{
			ID:          instanceID(i),
			Incarnation: ident.Incarnation(f.draw(3, "incarnation")),
			Liveness:    kernel.Liveness(f.draw(5, "life") + 1),
		})
	}
	return v
}

func (f *fleet) nodeOf(id ident.InstanceID) int {
	for i := range f.nodes {
		if instanceID(i) == id {
			return i
		}
	}
	f.t.Fatalf("no instance %s", id)
	return 0
}

func (f *fleet) presentAt(i int, c call) {
	v := f.nodes[i].exec.Present(f.clock(i), c.ticket, c.digest)
	switch v.Action {
	case Run:
		f.running = append(f.running, c)
		f.runs[c.ticket]++
		f.callRuns[c]++
	case Replay:
		assert.Equal(f.t, string(v.Result.Body), fmt.Sprint(c.digest[0]))
		f.recordOutcome(c, v.Result.Outcome)
	case Refuse:
		f.recordOutcome(c, v.Problem.Outcome)
	}
}

func (f *fleet) recordOutcome(c call, o api.Outcome) {
	if o == api.NotRun {
		f.toldNotRun[c] = true
	}
}

// finish ends a running call and reports it to its executor if that still runs.
func (f *fleet) finish() {
	k := f.draw(len(f.running), "running")
	c := f.running[k]
	i := f.nodeOf(c.ticket.Executor.Instance)
	f.running = append(f.running[:k], f.running[k+1:]...)
	if n := f.nodes[i]; n.down || n.exec.Process() != c.ticket.Executor {
		return
	}
	o := []api.Outcome{api.Complete, api.NotRun, api.Unknown}[f.draw(3, "outcome")]
	if o == api.NotRun {
		f.runs[c.ticket]--
		f.callRuns[c]--
		f.recordOutcome(c, o)
	}
	r := Result{Outcome: o, Body: fmt.Append(nil, c.digest[0])}
	assert.NilError(f.t, f.nodes[i].exec.Finish(f.clock(i), c.ticket, r))
}

func (f *fleet) kill() {
	if f.draw(3, "kill") == 0 {
		f.nodes[f.draw(fleetSize, "node")].down = true
	}
}

// restart starts a new executor, whose incarnation may equal that of the last
// one.
func (f *fleet) restart() {
	n := f.nodes[f.draw(fleetSize, "node")]
	if !n.down && f.draw(3, "at once") > 0 {
		f.t.Skip("the instance is not down")
	}
	process := n.exec.Process()
	process.Nonce++
	process.Incarnation += ident.Incarnation(f.draw(2, "step"))
	*n = node{exec: NewExecutor(process, testLimits()), skew: n.skew}
}

func (f *fleet) pause() {
	n := f.nodes[f.drawRunning()]
	n.paused, n.pausedSince = true, f.now
}

func (f *fleet) resume() {
	i := f.draw(fleetSize, "node")
	n := f.nodes[i]
	if !n.paused {
		f.t.Skip("the instance is not paused")
	}
	n.paused = false
	n.exec.Paused(f.clock(i), f.now.Sub(n.pausedSince))
}

func (f *fleet) wait() { f.now = f.now.Add(time.Duration(f.draw(30, "seconds")) * time.Second) }

func (f *fleet) stepClock() {
	f.nodes[f.draw(fleetSize, "node")].skew = time.Duration(f.draw(400, "skew")-200) * time.Second
}

func (f *fleet) sweep() {
	i := f.drawRunning()
	f.nodes[i].exec.Sweep(f.clock(i))
}

func (f *fleet) toggleCut() {
	link := [2]int{f.draw(fleetSize, "from"), f.draw(fleetSize, "to")}
	f.cut[link] = !f.cut[link]
}

func (f *fleet) check(t *rapid.T) {
	for tk, n := range f.runs {
		assert.Assert(t, n <= 1, "ticket %v ran %d times", tk, n)
	}
	for c := range f.toldNotRun {
		assert.Equal(t, f.callRuns[c], 0, "answered not-run, but the call ran: %v", c.ticket)
	}
}

// TestFleet checks that no call runs twice and no call that ran is reported as
// not-run, while callers retry at any instance, instances die, pause, restart and
// are partitioned, and clocks jump.
func TestFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		steps := map[string]func(*rapid.T){"": f.check}
		add := func(name string, weight int, do func()) {
			for k := range weight {
				steps[fmt.Sprint(name, k)] = func(t *rapid.T) { f.t = t; do() }
			}
		}
		add("issue", 3, f.issue)
		add("present", 6, f.present)
		add("deliver", 12, f.deliver)
		add("finish", 3, f.finish)
		add("restart", 1, f.restart)
		add("kill", 1, f.kill)
		add("freeze", 1, f.pause)
		add("thaw", 2, f.resume)
		add("wait", 1, f.wait)
		add("step clock", 1, f.stepClock)
		add("sweep", 1, f.sweep)
		add("cut", 1, f.toggleCut)
		t.Repeat(steps)
	})
}
