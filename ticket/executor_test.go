package ticket

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/kernel"
)

var (
	testStart = time.UnixMilli(1764684000000)
	processA  = Process{Instance: "a", Incarnation: 10, Nonce: 1}
	digestOne = (&Call{Body: []byte("one")}).Digest()
	digestTwo = (&Call{Body: []byte("two")}).Digest()
)

func testLimits() Limits {
	return Limits{
		Tickets: 4, TicketsPerWorkspace: 3, AnswerBytes: 10, TotalAnswerBytes: 15,
		Lifetime: time.Minute, Retention: 10 * time.Second,
	}
}

func issue(t *testing.T, e *Executor, now time.Time) Ticket {
	t.Helper()
	tk, p := e.Issue(now, "w")
	assert.Assert(t, p == nil, "%v", p)
	return tk
}

func answerOf(body string) Result {
	return Result{Outcome: api.Complete, Status: 200, Body: []byte(body)}
}

func checkRefused(t *testing.T, v Verdict, pt api.ProblemType, o api.Outcome) {
	t.Helper()
	assert.Equal(t, v.Action, Refuse)
	assert.Equal(t, v.Problem.Type, pt)
	assert.Equal(t, v.Problem.Outcome, o)
}

func TestPresentRunsOnceThenJoinsThenReplays(t *testing.T) {
	e := NewExecutor(processA, testLimits())
	tk := issue(t, e, testStart)
	assert.Equal(t, e.Present(testStart, tk, digestOne).Action, Run)
	assert.Equal(t, e.Present(testStart, tk, digestOne).Action, Join)
	checkRefused(t, e.Present(testStart, tk, digestTwo), api.ProblemTicketReused, api.NotRun)
	assert.Equal(t, e.RemoveWaiter(tk), 1)
	assert.NilError(t, e.Finish(testStart, tk, answerOf("done")))
	v := e.Present(testStart, tk, digestOne)
	assert.Equal(t, v.Action, Replay)
	assert.DeepEqual(t, *v.Result, answerOf("done"))
	checkRefused(t, e.Present(testStart, tk, digestTwo), api.ProblemTicketReused, api.NotRun)
	var notRunning *NotRunningError
	assert.Assert(t, errors.As(e.Finish(testStart, tk, answerOf("again")), &notRunning))
}

func TestLeaveCountsToTheLastWaiter(t *testing.T) {
	e := NewExecutor(processA, testLimits())
	tk := issue(t, e, testStart)
	e.Present(testStart, tk, digestOne)
	e.Present(testStart, tk, digestOne)
	assert.Equal(t, e.RemoveWaiter(tk), 1)
	assert.Equal(t, e.RemoveWaiter(tk), 0)
	assert.Equal(t, e.Present(testStart, tk, digestOne).Action, Join)
}

func TestNotRunResultUsesTheTicketUp(t *testing.T) {
	e := NewExecutor(processA, testLimits())
	tk := issue(t, e, testStart)
	e.Present(testStart, tk, digestOne)
	assert.NilError(t, e.Finish(testStart, tk, Result{Outcome: api.NotRun}))
	v := e.Present(testStart, tk, digestOne)
	assert.Equal(t, v.Action, Replay)
	assert.Equal(t, v.Result.Outcome, api.NotRun)
}

func TestFinishWithoutOutcomeIsUnknown(t *testing.T) {
	e := NewExecutor(processA, testLimits())
	tk := issue(t, e, testStart)
	e.Present(testStart, tk, digestOne)
	assert.NilError(t, e.Finish(testStart, tk, Result{}))
	assert.Equal(t, e.Present(testStart, tk, digestOne).Result.Outcome, api.Unknown)
}

func TestAnswersAreBounded(t *testing.T) {
	e := NewExecutor(processA, testLimits())
	var tks []Ticket
	for _, body := range []string{"ten bytes.", "five.", "eleven bytes"} {
		tk := issue(t, e, testStart)
		e.Present(testStart, tk, digestOne)
		assert.NilError(t, e.Finish(testStart, tk, answerOf(body)))
		tks = append(tks, tk)
	}
	assert.Equal(t, e.Stats().AnswerBytes, 15)
	checkRefused(t, e.Present(testStart, tks[2], digestOne), api.ProblemTicketReused, api.Complete)
	four, p := e.Issue(testStart, "v")
	assert.Assert(t, p == nil)
	e.Present(testStart, four, digestOne)
	assert.NilError(t, e.Finish(testStart, four, answerOf("1")))
	checkRefused(t, e.Present(testStart, tks[0], digestOne), api.ProblemTicketReused, api.Complete)
	assert.Equal(t, e.Present(testStart, tks[1], digestOne).Action, Replay)
	assert.Equal(t, e.Stats().AnswerBytes, 6)
	e.Sweep(testStart.Add(time.Hour))
	assert.Equal(t, e.Stats(), Stats{})
	assert.Equal(t, len(e.answers.queue.items), 0)
}

func TestIssueRefusesRatherThanForget(t *testing.T) {
	e := NewExecutor(processA, testLimits())
	for range 3 {
		e.Present(testStart, issue(t, e, testStart), digestOne)
	}
	_, p := e.Issue(testStart, "w")
	assert.Equal(t, p.Type, api.ProblemOverloaded)
	assert.Equal(t, p.Outcome, api.NotRun)
	assert.Equal(t, p.RetryAfterMS, (70 * time.Second).Milliseconds())
	_, p = e.Issue(testStart, "v")
	assert.Assert(t, p == nil, "another workspace did not get a ticket")
	_, p = e.Issue(testStart, "u")
	assert.Equal(t, p.Type, api.ProblemOverloaded)
}

func TestExpiredUnusedIsNotRunForGood(t *testing.T) {
	e := NewExecutor(processA, testLimits())
	tk := issue(t, e, testStart)
	expired := testStart.Add(time.Minute)
	checkRefused(t, e.Present(expired, tk, digestOne), api.ProblemTicketExpired, api.NotRun)
	checkRefused(t, e.Present(testStart, tk, digestOne), api.ProblemTicketExpired, api.NotRun)
	assert.Equal(t, e.Sweep(expired.Add(9*time.Second)), 0)
	assert.Equal(t, e.Sweep(expired.Add(10*time.Second)), 1)
	checkRefused(t, e.Present(testStart, tk, digestOne), api.ProblemTicketExpired, api.Unknown)
}

func TestSweepKeepsRunningAndLateCalls(t *testing.T) {
	e := NewExecutor(processA, testLimits())
	tk := issue(t, e, testStart)
	e.Present(testStart, tk, digestOne)
	late := testStart.Add(time.Hour)
	assert.Equal(t, e.Sweep(late), 0)
	assert.Equal(t, e.Present(late, tk, digestOne).Action, Join)
	// The wall clock was set back in the meantime.
	assert.NilError(t, e.Finish(testStart, tk, answerOf("late")))
	next, ok := e.NextSweep()
	assert.Assert(t, ok)
	assert.Equal(t, next, testStart.Add(10*time.Second))
	assert.Equal(t, e.Present(testStart, tk, digestOne).Action, Replay)
	assert.Equal(t, e.Sweep(next), 1)
	_, ok = e.NextSweep()
	assert.Assert(t, !ok)
}

func TestSweepAfterTheClockWasSetBack(t *testing.T) {
	e := NewExecutor(processA, testLimits())
	issue(t, e, testStart.Add(time.Hour)) // its later release time delays the next ticket's release
	tk := issue(t, e, testStart)
	e.Present(testStart, tk, digestOne)
	late := testStart.Add(61 * time.Second)
	assert.NilError(t, e.Finish(late, tk, answerOf("late")))
	assert.Equal(t, e.Sweep(late.Add(10*time.Second)), 1)
	assert.Equal(t, e.Sweep(testStart.Add(2*time.Hour)), 1)
}

func TestPauseVoidsTicketsThatMayHaveExpired(t *testing.T) {
	e := NewExecutor(processA, testLimits())
	near := issue(t, e, testStart)
	used := issue(t, e, testStart)
	far := issue(t, e, testStart.Add(30*time.Second))
	e.Present(testStart, used, digestOne)
	now := testStart.Add(31 * time.Second)
	e.Paused(now, 30*time.Second)
	checkRefused(t, e.Present(now, near, digestOne), api.ProblemTicketExpired, api.NotRun)
	assert.Equal(t, e.Present(now, used, digestOne).Action, Join)
	assert.Equal(t, e.Present(now, far, digestOne).Action, Run)
}

func TestStopStartsNothing(t *testing.T) {
	e := NewExecutor(processA, testLimits())
	used, fresh := issue(t, e, testStart), issue(t, e, testStart)
	e.Present(testStart, used, digestOne)
	e.Stop()
	_, p := e.Issue(testStart, "w")
	assert.Equal(t, p.Type, api.ProblemStopping)
	checkRefused(t, e.Present(testStart, fresh, digestOne), api.ProblemStopping, api.NotRun)
	assert.NilError(t, e.Finish(testStart, used, answerOf("done")))
	assert.Equal(t, e.Present(testStart, used, digestOne).Action, Replay)
}

func TestTicketsOfOtherLivesNeverRun(t *testing.T) {
	tk := issue(t, NewExecutor(processA, testLimits()), testStart)
	for name, process := range map[string]Process{
		"restarted":                 {Instance: "a", Incarnation: 11, Nonce: 2},
		"same incarnation":          {Instance: "a", Incarnation: 10, Nonce: 2},
		"replaced, not noticed yet": {Instance: "a", Incarnation: 9, Nonce: 2},
		"another instance":          {Instance: "b", Incarnation: 10, Nonce: 1},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewExecutor(process, testLimits())
			issue(t, e, testStart) // has the same sequence
			checkRefused(t, e.Present(testStart, tk, digestOne), api.ProblemExecutorGone, api.Unknown)
		})
	}
}

func TestRoute(t *testing.T) {
	tk := Ticket{Executor: processA}
	other := Process{Instance: "b", Incarnation: 1}
	view := func(inc uint64, l kernel.Liveness) *kernel.View {
		return &kernel.View{Instances: []kernel.Instance{{ID: "b"}, {ID: "a", Incarnation: ident.Incarnation(inc), Liveness: l}}}
	}
	for name, c := range map[string]struct {
		self  Process
		view  *kernel.View
		want  Destination
		retry bool
	}{
		"own":                           {processA, nil, Local, false},
		"restarted here":                {Process{"a", 11, 2}, view(11, kernel.Live), Reject, false},
		"replaced, not noticed yet":     {Process{"a", 9, 2}, view(9, kernel.Live), Reject, true},
		"live":                          {other, view(10, kernel.Live), Forward, false},
		"view has an older incarnation": {other, view(9, kernel.Dead), Forward, false},
		"unreachable":                   {other, view(10, kernel.Unreachable), Forward, false},
		"leaving":                       {other, view(10, kernel.Leaving), Forward, false},
		"dead":                          {other, view(10, kernel.Dead), Reject, false},
		"later incarnation":             {other, view(11, kernel.Live), Reject, false},
		"not listed":                    {other, &kernel.View{}, Reject, true},
		"no view":                       {other, nil, Reject, true},
	} {
		t.Run(name, func(t *testing.T) {
			got := Route(tk, c.self, c.view)
			assert.Equal(t, got.Destination, c.want)
			if c.want == Forward {
				assert.Equal(t, string(got.To), "a")
			}
			if c.want == Reject {
				assert.Equal(t, got.Problem.Outcome, api.Unknown)
				assert.Equal(t, got.Problem.RetryAfterMS > 0, c.retry)
			}
		})
	}
}

func TestChoose(t *testing.T) {
	for name, c := range map[string]struct {
		traits Traits
		want   Path
	}{
		"ticket":                 {Traits{Ticket: true, Key: true, Deduplicates: true}, PathTicket},
		"ticket, repeatable":     {Traits{Ticket: true, Repeatable: true}, PathTicket},
		"repeatable":             {Traits{Repeatable: true, Key: true}, PathRepeatable},
		"key, deduplicated":      {Traits{Key: true, Deduplicates: true}, PathDeduplicated},
		"no key, deduplicated":   {Traits{Deduplicates: true}, PathOnce},
		"key, not deduplicated":  {Traits{Key: true}, PathTicketRequired},
		"nothing":                {Traits{}, PathOnce},
		"required":               {Traits{Required: true}, PathTicketRequired},
		"required, deduplicated": {Traits{Required: true, Key: true, Deduplicates: true}, PathDeduplicated},
		"required, repeatable":   {Traits{Required: true, Repeatable: true}, PathRepeatable},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, ChoosePath(c.traits), c.want) })
	}
}

func TestRefusedElsewhereIsUnknown(t *testing.T) {
	p := WithUnknownOutcome(api.NewProblem(api.ProblemTooLarge, api.NotRun, "too large"))
	assert.Equal(t, p.Outcome, api.Unknown)
	assert.Equal(t, p.Type, api.ProblemTooLarge)
}

// BenchmarkCycle measures a ticket's lifetime: issue, seal, open, present, finish
// and sweep, with 10,000 other tickets in memory.
func BenchmarkCycle(b *testing.B) {
	limits := DefaultLimits()
	limits.TicketsPerWorkspace = limits.Tickets
	e, c, now := NewExecutor(processA, limits), testCodec(b, "a1"), testStart
	step := (limits.Lifetime + limits.Retention) / 10_000
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(step)
		e.Sweep(now)
		tk, _ := e.Issue(now, "w")
		tk, err := c.Open(c.Seal(tk))
		if err != nil || e.Present(now, tk, digestOne).Action != Run {
			b.Fatal("did not run")
		}
		if err := e.Finish(now, tk, Result{Outcome: api.Complete}); err != nil {
			b.Fatal(err)
		}
	}
}
