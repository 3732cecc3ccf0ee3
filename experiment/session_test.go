package experiment

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

// Times of the events in a session. The killed instance restarts after
// killLength, the partition ends after cutLength.
const (
	sessionKill    = 2 * time.Second
	sessionCut     = 5 * time.Second
	sessionRollout = 7 * time.Second
	sessionLength  = 17 * time.Second
	// rolloutInterval is the interval at which the instances get the new bundle
	// one after the other.
	rolloutInterval = 50 * time.Millisecond
)

// session describes a run of a complete example deployment: its usual mixed
// traffic at a fraction of its capacity, a kill, a network partition and a
// bundle rollout.
type session struct {
	deployment string
	load       float64
	seed       uint64
	// limited is the workspace whose rate limit the new bundle lowers.
	limited ident.Workspace
}

var sessions = []session{
	{deployment: "coastline", load: 0.06, seed: 4, limited: "franchise-north"},
	{deployment: "lagos", load: 0.12, seed: 27, limited: "supplier-ikeja"},
}

// TestWholeSessions compares the events of complete sessions of both examples
// with golden files: each decision with its place, reason and bundle version,
// each answer and each cancel.
func TestWholeSessions(t *testing.T) {
	for _, s := range sessions {
		t.Run(s.deployment, func(t *testing.T) {
			golden.Assert(t, s.run(t), "session_"+s.deployment+".golden")
		})
	}
}

// TestWholeSessionsRepeat checks that a session depends on its seed only.
func TestWholeSessionsRepeat(t *testing.T) {
	for _, s := range sessions {
		assert.Equal(t, s.run(t), s.run(t), s.deployment)
	}
}

// transcript records the events in a world.
type transcript struct {
	w     *world
	lines []string
	// cancelled contains the attempts whose first cancel is recorded.
	cancelled map[ident.AttemptID]bool
}

func (tr *transcript) add(format string, args ...any) {
	at := fmt.Sprintf("%6d ms  ", tr.w.clock.now.Milliseconds())
	tr.lines = append(tr.lines, at+fmt.Sprintf(format, args...))
}

// run runs the session and returns its transcript.
func (s session) run(t *testing.T) string {
	t.Helper()
	d := deployment(t, s.deployment)
	cell := NewCell(d, PolicyCurrent, s.load, FaultNone, s.seed)
	cell.Instances, cell.Warmup, cell.Duration = 2*len(d.Zones), 0, sessionLength
	w, err := newWorld(cell, d)
	assert.NilError(t, err)
	tr := &transcript{w: w, cancelled: map[ident.AttemptID]bool{}}
	w.checker.observer = tr.record
	w.clock.at(sessionKill, tr.kill)
	w.clock.at(sessionCut, tr.cut)
	w.clock.at(sessionRollout, func() { tr.rollOut(s.limited) })
	assert.NilError(t, w.run())
	assert.Equal(t, len(w.checker.violations), 0, "%v", w.checker.violations)
	return strings.Join(tr.lines, "\n") + "\n" + w.summary()
}

// kill kills the instance that the others depend on most.
func (tr *transcript) kill() {
	tr.w.withTargetInstance(func(inst *instance) {
		tr.add("%-20s KILLED, in flight:%s", inst.id, inst.process.inFlight())
		tr.w.killInstance(inst)
		tr.w.clock.after(killLength, func() { tr.add("%-20s STARTED", inst.id) })
	})
}

// inFlight lists the requests that an instance has accepted and not answered.
func (p *process) inFlight() string {
	list := ""
	for _, id := range sortedKeys(p.subs) {
		if !p.subs[id].closed {
			list += " " + string(id)
		}
	}
	return list
}

// cut partitions one zone from the others.
func (tr *transcript) cut() {
	tr.w.cutZone()
	isolated := tr.w.isolatedZone()
	tr.add("%-20s CUT OFF from the other zones", isolated)
	tr.w.clock.after(cutLength, func() { tr.add("%-20s REJOINED", isolated) })
}

// rollOut distributes version 2, in which one workspace has almost no rate, to
// one instance after the other, and to those in the partitioned zone once the
// partition has ended.
func (tr *transcript) rollOut(limited ident.Workspace) {
	w := tr.w
	w.content, w.version = withRate(w.content, limited), w.version+1
	isolated := w.isolatedZone()
	for i, inst := range w.instances {
		at := time.Duration(i) * rolloutInterval
		if inst.zone == isolated {
			at += sessionCut + cutLength - sessionRollout
		}
		w.clock.after(at, func() {
			if inst.process.dead {
				return
			}
			tr.add("%-20s ROLLED to version %d", inst.id, w.version)
			inst.process.receive(kernel.Configured{Version: w.version, Content: w.content})
		})
	}
}

// isolatedZone returns the zone that is partitioned from all others.
func (w *world) isolatedZone() ident.Zone {
	for _, zone := range w.zones() {
		cuts := 0
		for _, other := range w.zones() {
			if !w.net.connected(zone, other) {
				cuts++
			}
		}
		if cuts == len(w.zones())-1 {
			return zone
		}
	}
	return ""
}

// withRate returns a copy of the content in which one workspace has almost no
// rate.
func withRate(c *config.Content, limited ident.Workspace) *config.Content {
	next := *c
	next.Workspaces = append([]config.Workspace(nil), c.Workspaces...)
	for i := range next.Workspaces {
		if next.Workspaces[i].Name == limited {
			next.Workspaces[i].RatePerSecond = 0.1
			next.Workspaces[i].Burst = 1
		}
	}
	return &next
}

// record adds an instance's decisions, cancels and answers. It leaves out
// messages to peers, the records of pending slot requests, of which each model
// request has one, repeated cancels, and complete answers, which appear in a
// decision record and whose absence the checker would report.
func (tr *transcript) record(id ident.InstanceID, what any) {
	switch a := what.(type) {
	case kernel.Log:
		if a.Record.Reason != kernel.ReasonSlotPending {
			tr.add("%-20s %s", id, describeRecord(&a.Record))
		}
	case kernel.CancelAttempt:
		if !tr.cancelled[a.Attempt] {
			tr.cancelled[a.Attempt] = true
			tr.add("%-20s cancel %s on %s", id, shortAttempt(a.Attempt), a.Upstream)
		}
	case kernel.Answer:
		if a.Problem != nil {
			tr.add("%-20s %-6s answered %s, %s", id, a.Request, a.Outcome, a.Problem.Type)
		}
	case kernel.CallerGone:
		tr.add("%-20s %-6s caller gone", id, a.Request)
	case kernel.AttemptFailed:
		tr.add("%-20s failed %s: %s", id, shortAttempt(a.Attempt), a.Code)
	}
}

// shortAttempt formats an attempt ID without its incarnation and deadline, which
// are times.
func shortAttempt(id ident.AttemptID) string {
	return fmt.Sprintf("attempt %d of %s", id.Sequence, id.Instance)
}

// describeRecord formats a decision in one line.
func describeRecord(r *kernel.Record) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-6s %-9s %s, %s of %s, v%d", r.Request, r.Step, r.Reason, r.Kind, r.Workspace, r.BundleVersion)
	if r.Prefill != "" {
		fmt.Fprintf(&b, ", prefill %s", r.Prefill)
	}
	if r.Decode != "" {
		fmt.Fprintf(&b, ", at %s", r.Decode)
	}
	if len(r.RunnersUp) > 0 {
		next := r.RunnersUp[0]
		fmt.Fprintf(&b, ", cost %.2f before %s%s %.2f", r.Cost, next.Prefill, next.Decode, next.Cost)
	}
	if r.Outcome != "" {
		fmt.Fprintf(&b, ", %s", r.Outcome)
	}
	if r.RetryAfter > 0 {
		fmt.Fprintf(&b, ", retry after %d ms", r.RetryAfter.Milliseconds())
	}
	if r.Offset > 0 {
		fmt.Fprintf(&b, ", from token %d", r.Offset)
	}
	return b.String()
}

// summary counts the outcomes of the requests, by kind.
func (w *world) summary() string {
	var b strings.Builder
	r := w.result()
	for _, kind := range sortedKeys(r.ByKind) {
		c := r.ByKind[kind]
		fmt.Fprintf(&b, "%-12s offered %d, complete %d, refused %d, unknown %d, cancelled %d\n",
			kind, c.Offered, c.Complete, c.Refused, c.Unknown, c.Cancelled)
	}
	return b.String()
}
