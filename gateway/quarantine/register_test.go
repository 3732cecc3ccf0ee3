package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
	_ "github.com/wardspool/wardspool/internal/testseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// up returns an upstream with the given ID.
func up(id string) dialect.Upstream { return dialect.Upstream{ID: ident.UpstreamID(id)} }

// TestContentIsThatOfARepeat checks that the fields that callers change in a repetition, such as
// its ID and time limit, are not part of the content, and that all other fields are.
func TestContentIsThatOfARepeat(t *testing.T) {
	call := dialect.Call{ID: "1", Method: "POST", Host: "h", Target: "/x", Caller: routing.DigestKey("c"), Body: []byte("b"), CallerTimeout: time.Second}
	repeat := call
	repeat.ID, repeat.CallerTimeout, repeat.LastEvent = "2", time.Minute, "7"
	assert.Equal(t, ContentOf(&call), ContentOf(&repeat))
	for what, change := range map[string]func(c *dialect.Call){
		"method": func(c *dialect.Call) { c.Method = "PUT" }, "host": func(c *dialect.Call) { c.Host = "o" },
		"target": func(c *dialect.Call) { c.Target = "/y" }, "caller": func(c *dialect.Call) { c.Caller = routing.DigestKey("d") },
		"body":  func(c *dialect.Call) { c.Body = []byte("B") },
		"parts": func(c *dialect.Call) { c.SharedPromptParts = []string{"p"} },
		"split": func(c *dialect.Call) { c.Host, c.Target = "h/", "x" },
	} {
		other := call
		change(&other)
		assert.Assert(t, ContentOf(&call) != ContentOf(&other), what)
	}
}

// TestCrashesQuarantine checks that a content is quarantined after two crashes before it had
// produced an event, or three crashes of any kind, and that a repeated record of the same crash
// doesn't count.
func TestCrashesQuarantine(t *testing.T) {
	r := NewRegister()
	assert.Equal(t, r.Verdict(start, 1).Standing, Clear)
	assert.Assert(t, r.Crashed(start, Attempt{Content: 1, Upstream: up("a"), Events: 0, SentAt: start, BrokenAt: start}))
	assert.Assert(t, !r.Crashed(start, Attempt{Content: 1, Upstream: up("a"), Events: 0, SentAt: start, BrokenAt: start}))
	assert.Equal(t, r.Verdict(start, 1).Standing, Suspect)
	assert.Assert(t, r.Crashed(start, Attempt{Content: 1, Upstream: up("b"), Events: 0, SentAt: start, BrokenAt: start}))
	v := r.Verdict(start.Add(time.Second), 1)
	assert.Equal(t, v.Standing, Quarantined)
	assert.Equal(t, v.Remaining, initialQuarantine-time.Second)
	assert.DeepEqual(t, v.Upstreams, []ident.UpstreamID{"a", "b"})

	for i, want := range []Standing{Suspect, Suspect, Quarantined} {
		r.Crashed(start, Attempt{Content: 2, Upstream: up(fmt.Sprint(i)), Events: 5, SentAt: start, BrokenAt: start})
		assert.Equal(t, r.Verdict(start, 2).Standing, want)
	}
	// Crashes of two incarnations of an upstream count separately.
	r.Crashed(start, Attempt{Content: 3, Upstream: dialect.Upstream{ID: "a", Incarnation: 1}, Events: 0, SentAt: start, BrokenAt: start})
	r.Crashed(start, Attempt{Content: 3, Upstream: dialect.Upstream{ID: "a", Incarnation: 2}, Events: 0, SentAt: start, BrokenAt: start})
	assert.Equal(t, r.Verdict(start, 3).Standing, Quarantined)
}

// TestQuarantineEnds checks that a content is suspect after its quarantine, and that each further
// crash doubles the quarantine, to more than an hour after six crashes.
func TestQuarantineEnds(t *testing.T) {
	r := NewRegister()
	now := start
	for i := range crashThreshold {
		r.Crashed(now, Attempt{Content: 1, Upstream: up(fmt.Sprint(i)), Events: 0, SentAt: now, BrokenAt: now})
	}
	for i := range 3 {
		remaining := r.Verdict(now, 1).Remaining
		assert.Equal(t, remaining, initialQuarantine<<i)
		now = now.Add(remaining)
		r.Expire(now)
		assert.Equal(t, r.Verdict(now, 1).Standing, Suspect)
		r.Crashed(now, Attempt{Content: 1, Upstream: up(fmt.Sprint("more", i)), Events: 0, SentAt: now, BrokenAt: now})
	}
	assert.Assert(t, r.Verdict(now, 1).Remaining > time.Hour)
	now = now.Add(r.Verdict(now, 1).Remaining + suspectPeriod)
	assert.Equal(t, r.Verdict(now, 1).Standing, Clear)
	r.Expire(now)
	assert.Equal(t, r.Digest(), uint64(0))
	assert.Equal(t, len(r.contents), 0)
	assert.Equal(t, r.size, 0)
}

// TestBystandersAreCleared checks that a content is cleared of a crash by a run that produces more
// events than before the crash, or that completes.
func TestBystandersAreCleared(t *testing.T) {
	r := NewRegister()
	r.Crashed(start, Attempt{Content: 1, Upstream: up("a"), Events: 4, SentAt: start, BrokenAt: start})
	r.Clear(1, 4, false)
	assert.Equal(t, r.Verdict(start, 1).Standing, Suspect)
	r.Clear(1, 5, false)
	assert.Equal(t, r.Verdict(start, 1).Standing, Clear)
	r.Crashed(start, Attempt{Content: 1, Upstream: up("b"), Events: 200, SentAt: start, BrokenAt: start})
	r.Clear(1, 0, true)
	assert.Equal(t, r.Verdict(start, 1).Standing, Clear)
	// Cleared crashes stay cleared if a peer sends their records again.
	r.Merge(start, []Crash{{Content: 1, Upstream: "a"}, {Content: 1, Upstream: "b"}})
	assert.Equal(t, r.Verdict(start, 1).Standing, Clear)
}

// TestCrashOfAllQuarantinesNobody guards against quarantining harmless requests when all engines
// of a service crash at once, twice within a minute, and each of their dozen streams is repeated.
func TestCrashOfAllQuarantinesNobody(t *testing.T) {
	r := NewRegister()
	const engines, streams = 48, 12
	now := start
	for round := range 2 {
		for e := range engines {
			for s := range streams {
				// One in twelve streams had not produced an event yet.
				c := Content(e*streams + s)
				r.Crashed(now, Attempt{Content: c, Upstream: up(fmt.Sprintf("%d.%d", e, round)), Events: s, SentAt: now, BrokenAt: now})
				if round == 0 {
					r.Clear(c, s+1, false)
				}
			}
		}
		now = now.Add(30 * time.Second)
	}
	for c := range Content(engines * streams) {
		assert.Assert(t, r.Verdict(now, c).Standing != Quarantined)
	}
}

// TestNewsComeTogether checks that instances that exchange their records end up with the same
// verdicts and digests, whatever crashes each detected and in whatever order they exchange them.
func TestNewsComeTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registers := []*Register{NewRegister(), NewRegister(), NewRegister()}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			r := registers[rapid.IntRange(0, 2).Draw(t, "instance")]
			c := Content(rapid.Uint64Range(1, 4).Draw(t, "content"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				r.Crashed(now, Attempt{Content: c, Upstream: up(rapid.StringMatching("[a-f]").Draw(t, "up")), Events: rapid.IntRange(0, 3).Draw(t, "made"), SentAt: now, BrokenAt: now})
				r.TakeUnsent(now)
			case 2:
				r.Merge(now, registers[rapid.IntRange(0, 2).Draw(t, "from")].SharedRecords(now))
			case 3:
				r.Clear(c, rapid.IntRange(0, 4).Draw(t, "got"), false)
			}
		}
		now = now.Add(shareDelay)
		for range 2 {
			for i, r := range registers {
				r.TakeUnsent(now)
				r.Merge(now, registers[(i+1)%3].SharedRecords(now))
				r.Merge(now, registers[(i+2)%3].SharedRecords(now))
			}
		}
		for c := range Content(5) {
			a, b := registers[0].Verdict(now, c), registers[1].Verdict(now, c)
			assert.Equal(t, a.Standing, b.Standing)
			assert.Equal(t, a.Crashes, b.Crashes)
		}
		assert.Equal(t, registers[0].Digest(), registers[1].Digest())
		assert.Equal(t, registers[1].Digest(), registers[2].Digest())
	})
}

// TestEvidenceOfTwoInstancesIsShared guards against digests that differ for ever. Two instances had
// a repetition of the same content at an engine when it crashed. One sent its record. The other's
// own record was cleared while it waited to be sent, and must still be shared.
func TestEvidenceOfTwoInstancesIsShared(t *testing.T) {
	a, b := NewRegister(), NewRegister()
	a.Crashed(start, Attempt{Content: 1, Upstream: up("x"), Events: 0, SentAt: start, BrokenAt: start})
	b.Crashed(start, Attempt{Content: 1, Upstream: up("x"), Events: 1, SentAt: start, BrokenAt: start})
	a.TakeUnsent(start)
	b.Merge(start, a.SharedRecords(start))
	b.Clear(1, 5, false)
	b.TakeUnsent(start.Add(shareDelay))
	assert.Equal(t, a.Digest(), b.Digest())
	a.Merge(start, b.SharedRecords(start))
	assert.Equal(t, a.Verdict(start, 1).Standing, Clear)
}

// TestFloodIsBounded checks that the number of records and the size of messages are bounded when
// many different contents crash engines, and that quarantined contents are evicted last.
func TestFloodIsBounded(t *testing.T) {
	r := NewRegister()
	const queryOfDeath = 1 << 40
	for i := range crashThreshold {
		r.Crashed(start, Attempt{Content: queryOfDeath, Upstream: up(fmt.Sprint(i)), Events: 0, SentAt: start, BrokenAt: start})
	}
	random := rand.New(rand.NewPCG(1, 1))
	now := start
	for i := range 5 * maxRecords {
		now = now.Add(time.Millisecond)
		r.Crashed(now, Attempt{Content: Content(random.Uint64()), Upstream: up(fmt.Sprint(i)), Events: 0, SentAt: now, BrokenAt: now})
	}
	assert.Assert(t, r.size <= maxRecords)
	assert.Equal(t, r.Verdict(now, queryOfDeath).Standing, Quarantined)
	r.TakeUnsent(now)
	assert.Equal(t, len(r.SharedRecords(now)), maxRecordsPerMessage)
	// Expired records don't count in the digest.
	r.Expire(now.Add(100 * 24 * time.Hour))
	assert.Equal(t, r.Digest(), uint64(0))
	assert.Equal(t, len(r.TakeUnsent(now)), 0)
}

// TestLateComersLearn checks that an instance that starts after eleven minutes receives the records
// of a quarantine of twenty minutes, and drops those of a content that is no longer suspect.
func TestLateComersLearn(t *testing.T) {
	r, late := NewRegister(), NewRegister()
	for i := range crashThreshold + 1 {
		r.Crashed(start, Attempt{Content: 1, Upstream: up(fmt.Sprint(i)), Events: 0, SentAt: start, BrokenAt: start})
	}
	r.Crashed(start, Attempt{Content: 2, Upstream: up("a"), Events: 0, SentAt: start, BrokenAt: start})
	r.TakeUnsent(start)
	now := start.Add(11 * time.Minute)
	late.Merge(now, r.SharedRecords(now))
	assert.Equal(t, late.Verdict(now, 1).Standing, Quarantined)
	assert.Equal(t, late.Verdict(now, 1).Remaining, 9*time.Minute)
	assert.Equal(t, len(late.contents), 1)
}

// TestBystandersAreNotTold checks that the record of a crash before the content had produced an
// event is sent at once, and that of another crash after shareDelay, unless it is cleared by then.
// ShareContent returns and shares all records of a content, since a trial needs them.
func TestBystandersAreNotTold(t *testing.T) {
	r := NewRegister()
	r.Crashed(start, Attempt{Content: 1, Upstream: up("a"), Events: 0, SentAt: start, BrokenAt: start})
	r.Crashed(start, Attempt{Content: 2, Upstream: up("a"), Events: 5, SentAt: start, BrokenAt: start})
	r.Crashed(start, Attempt{Content: 3, Upstream: up("a"), Events: 5, SentAt: start, BrokenAt: start})
	assert.Equal(t, len(r.SharedRecords(start)), 0)
	unsent := r.TakeUnsent(start)
	assert.Equal(t, len(unsent), 1)
	assert.Equal(t, unsent[0].Content, Content(1))
	assert.DeepEqual(t, r.SharedRecords(start), unsent)
	r.Clear(2, 6, false)
	unsent = r.TakeUnsent(start.Add(shareDelay))
	assert.Equal(t, len(unsent), 1)
	assert.Equal(t, unsent[0].Content, Content(3))
	assert.Equal(t, unsent[0].Age, shareDelay)
	assert.Equal(t, len(r.TakeUnsent(start.Add(time.Hour))), 0)

	r.Crashed(start, Attempt{Content: 4, Upstream: up("b"), Events: 5, SentAt: start, BrokenAt: start})
	before := r.Digest()
	assert.Equal(t, len(r.ShareRecords(start, 4)), 1)
	assert.Assert(t, r.Digest() != before)
	// The record is still sent to the other instances.
	assert.Equal(t, len(r.TakeUnsent(start.Add(shareDelay))), 1)
}

// TestHeldNamesTheEvidence checks the list of contents that operators are shown.
func TestHeldNamesTheEvidence(t *testing.T) {
	r := NewRegister()
	r.Crashed(start, Attempt{Content: 0xab, Upstream: up("a"), Events: 0, SentAt: start, BrokenAt: start})
	r.Crashed(start, Attempt{Content: 0xab, Upstream: up("b"), Events: 0, SentAt: start, BrokenAt: start})
	r.Crashed(start, Attempt{Content: 0xcd, Upstream: up("a"), Events: 3, SentAt: start, BrokenAt: start})
	list := r.List(start.Add(time.Minute))
	assert.DeepEqual(t, list, []ContentStatus{
		{Content: "00000000000000ab", Standing: "quarantined", Crashes: 2, Early: 2, RemainingSeconds: 540, Upstreams: []ident.UpstreamID{"a", "b"}},
		{Content: "00000000000000cd", Standing: "suspect", Crashes: 1, Upstreams: []ident.UpstreamID{"a"}},
	})
}

// TestTrialsAreOneAtATime checks that a content has one trial at a time, whichever instance asks,
// that only its holder ends it, that it lapses if nobody ends it, and that the number of trials is
// bounded.
func TestTrialsAreOneAtATime(t *testing.T) {
	trials := NewTrials()
	assert.Assert(t, trials.Begin(start, 1, "x", time.Second))
	assert.Assert(t, !trials.Begin(start, 1, "x", time.Second))
	assert.Assert(t, !trials.Begin(start, 1, "y", time.Second))
	assert.Assert(t, trials.Begin(start, 2, "y", time.Hour))
	trials.End(1, "y")
	assert.Assert(t, !trials.Begin(start, 1, "y", time.Second))
	trials.End(1, "x")
	assert.Assert(t, trials.Begin(start, 1, "y", time.Second))
	assert.Assert(t, trials.Begin(start.Add(time.Second), 1, "x", time.Second))
	assert.Assert(t, !trials.Begin(start.Add(MaxTrialTime-1), 2, "x", time.Second))
	assert.Assert(t, trials.Begin(start.Add(MaxTrialTime), 2, "x", time.Second))
	for c := range Subject(2 * maxTrials) {
		trials.Begin(start.Add(time.Hour), 10+c, "x", time.Second)
	}
	assert.Assert(t, len(trials.active) <= maxTrials)
}
