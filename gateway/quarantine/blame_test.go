package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// partsRegister is a register whose service answers prompts, at now.
type partsRegister struct {
	*Register
	now     time.Time
	crashes int
}

// newPartsRegister returns a register whose service has just begun an answer.
func newPartsRegister() *partsRegister {
	r := &partsRegister{Register: NewRegister(), now: start}
	r.begin("sound")
	return r
}

// begin records that an answer to a prompt with the given parts begins now.
func (r *partsRegister) begin(ids ...string) { r.AnswerBegun(r.now, PartsOf("s", ids)) }

// crash records that an upstream crashes 100 ms from now under a prompt with the given parts that is
// sent now.
func (r *partsRegister) crash(ids ...string) {
	sent := r.now
	r.now = r.now.Add(100 * time.Millisecond)
	r.crashes++
	r.Crashed(r.now, Attempt{Content: Content(r.crashes), Upstream: up(fmt.Sprint("u", r.crashes)), Parts: PartsOf("s", ids), SentAt: sent, BrokenAt: r.now})
}

// standing returns the standing of a prompt with the given parts.
func (r *partsRegister) standing(ids ...string) Standing {
	return r.PartsVerdict(r.now, PartsOf("s", ids)).Standing
}

// TestPartIsBlamedForSuccessiveCrashes checks that a part is quarantined after three crashes, one
// after the other, wherever it stands among parts that occur once, and that no other prompt is.
func TestPartIsBlamedForSuccessiveCrashes(t *testing.T) {
	r := newPartsRegister()
	for i, ids := range [][]string{{"bad", "a"}, {"b", "bad"}, {"c", "bad", "d"}} {
		assert.Equal(t, r.standing("bad"), Clear, "after %d crashes", i)
		r.crash(ids...)
	}
	v := r.PartsVerdict(r.now, PartsOf("s", []string{"x", "bad"}))
	assert.Equal(t, v.Standing, Quarantined)
	assert.Equal(t, v.Part, PartOf("bad"))
	assert.Equal(t, v.Crashes, 3)
	assert.Equal(t, v.Remaining, initialQuarantine)
	assert.Equal(t, len(v.Upstreams), 3)
	assert.Equal(t, r.standing("a", "b", "c", "d"), Clear)
	listed := slices.DeleteFunc(r.List(r.now), func(s ContentStatus) bool { return !s.Part })
	assert.DeepEqual(t, listed, []ContentStatus{{
		Content: PartOf("bad").String(), Part: true, Standing: "quarantined", Crashes: 3, Early: 3, RemainingSeconds: initialQuarantine.Seconds(), Upstreams: v.Upstreams,
	}})
	assert.Equal(t, r.standing(), Clear)
	assert.Equal(t, r.PartsVerdict(r.now, nil).Standing, Clear)
}

// TestPartIsTriedAtAnotherService guards against as many crashes again when a route moves to another
// service, and against keeping a part out of a service that answers prompts with it.
func TestPartIsTriedAtAnotherService(t *testing.T) {
	r := newPartsRegister()
	for range partCrashThreshold {
		r.crash("bad")
	}
	there := PartsOf("other", []string{"bad"})
	assert.Equal(t, r.PartsVerdict(r.now, there).Standing, Suspect)
	assert.Equal(t, r.PartsVerdict(r.now, PartsOf("other", []string{"sound"})).Standing, Clear)
	r.AnswerBegun(r.now, there)
	assert.Equal(t, r.PartsVerdict(r.now, there).Standing, Clear)
	assert.Equal(t, r.standing("bad"), Quarantined)

	r.now = r.now.Add(2 * acquittalPeriod)
	r.Crashed(r.now, Attempt{Content: 99, Upstream: up("other"), Parts: there, SentAt: r.now, BrokenAt: r.now})
	assert.Equal(t, r.PartsVerdict(r.now, there).Standing, Quarantined)
}

// TestCrashesAtOnceBlameNoPart guards against blaming the part that all prompts have when many
// upstreams crash at the same moment.
func TestCrashesAtOnceBlameNoPart(t *testing.T) {
	r := newPartsRegister()
	for round := range 2 {
		for i := range 50 {
			r.Crashed(r.now, Attempt{
				Content: Content(100*round + i), Upstream: up(fmt.Sprint(round, i)), Parts: PartsOf("s", []string{"first"}),
				SentAt: r.now.Add(-time.Duration(i) * time.Millisecond), BrokenAt: r.now,
			})
		}
		r.now = r.now.Add(acquittalPeriod)
	}
	assert.Equal(t, r.standing("first"), Clear)
}

// TestPartThatIsAnsweredIsNotBlamed guards against blaming the part that bad and sound prompts share,
// whether its last answer began before or after the crash.
func TestPartThatIsAnsweredIsNotBlamed(t *testing.T) {
	r := newPartsRegister()
	for range 20 {
		r.begin("first", "sound")
		r.now = r.now.Add(acquittalPeriod - 200*time.Millisecond)
		r.crash("first", "bad")
	}
	assert.Equal(t, r.standing("first"), Clear)
	assert.Equal(t, r.standing("first", "bad"), Quarantined)

	// Several crashes follow one answer.
	r.begin("other first", "sound")
	for i := range partCrashThreshold {
		r.crash("other first", fmt.Sprint("bad", i))
	}
	assert.Equal(t, r.standing("other first"), Clear)

	// A part that no answer acquits any more is blamed.
	r.now = r.now.Add(acquittalPeriod)
	for range partCrashThreshold {
		r.begin("sound")
		r.crash("first")
	}
	assert.Equal(t, r.standing("first"), Quarantined)
}

// TestPartsThatOccurTogetherAreTried guards against refusing sound prompts that have one of two parts
// which were at each crash: a prompt with both is refused, one with either is tried, and an answer
// shows which part is to blame.
func TestPartsThatOccurTogetherAreTried(t *testing.T) {
	r := newPartsRegister()
	for range partCrashThreshold {
		r.crash("bad", "beside")
	}
	assert.Equal(t, r.standing("bad", "beside"), Quarantined)
	assert.Equal(t, r.standing("beside"), Suspect)
	assert.Equal(t, r.standing("bad"), Suspect)
	r.begin("beside")
	assert.Equal(t, r.standing("beside"), Clear)
	assert.Equal(t, r.standing("bad"), Quarantined)
}

// TestPartWithMoreCrashesIsBlamed guards against refusing sound prompts that have a part which was
// only at crashes that another part explains.
func TestPartWithMoreCrashesIsBlamed(t *testing.T) {
	r := newPartsRegister()
	for range partCrashThreshold {
		r.crash("bad", "beside")
	}
	r.crash("bad")
	assert.Equal(t, r.standing("beside"), Clear)
	assert.Equal(t, r.standing("bad"), Quarantined)
}

// TestNoPartIsBlamedWhileNothingIsAnswered guards against refusing all prompts of a service whose
// upstreams crash under whatever they run. The first answer shows which parts are to blame.
func TestNoPartIsBlamedWhileNothingIsAnswered(t *testing.T) {
	r := &partsRegister{Register: NewRegister(), now: start}
	for range 20 {
		assert.Equal(t, r.standing("first", "bad"), Clear)
		r.crash("first", "bad")
	}
	r.begin("first", "sound")
	assert.Equal(t, r.standing("first", "sound"), Clear)
	assert.Equal(t, r.standing("first", "bad"), Quarantined)
}

// TestPartAtFewOfTheCrashesIsBlamedLater guards against blaming a part for crashes that hit whatever
// upstreams run, and against blaming none if a crashing part comes beside them.
func TestPartAtFewOfTheCrashesIsBlamedLater(t *testing.T) {
	r := newPartsRegister()
	// The part is at one in five crashes.
	const others = 4
	quarantinedAfter := 0
	for n := 1; quarantinedAfter == 0 && n < 100; n++ {
		for i := range others {
			r.begin("sound")
			r.crash(fmt.Sprint(n, ".", i))
		}
		r.crash("part")
		if r.standing("part") == Quarantined {
			quarantinedAfter = n
		}
	}
	assert.Equal(t, quarantinedAfter, 7)
}

// TestSilenceCountsAgainstPartsOnly checks that upstreams which fall silent count as crashes of the
// parts, but not of the content until they are known to have crashed.
func TestSilenceCountsAgainstPartsOnly(t *testing.T) {
	r := newPartsRegister()
	attempts := make([]Attempt, partCrashThreshold)
	for i := range attempts {
		sent := r.now
		r.now = r.now.Add(time.Second)
		attempts[i] = Attempt{Content: 1, Upstream: up(fmt.Sprint(i)), Parts: PartsOf("s", []string{"bad"}), Silent: true, SentAt: sent, BrokenAt: r.now}
		assert.Assert(t, r.Crashed(r.now, attempts[i]))
	}
	assert.Equal(t, r.standing("bad"), Quarantined)
	assert.Equal(t, r.Verdict(r.now, 1).Standing, Clear)
	before := r.Digest()
	r.TakeUnsent(r.now)
	for _, a := range attempts {
		a.Silent = false
		assert.Assert(t, r.Crashed(r.now, a))
		assert.Assert(t, !r.Crashed(r.now, a))
	}
	assert.Equal(t, r.Verdict(r.now, 1).Standing, Quarantined)
	assert.Assert(t, r.Digest() != before)
	assert.Equal(t, len(r.TakeUnsent(r.now)), len(attempts))
}

// TestQuarantineOfAPartOutlivesItsContents checks that a part's records stay while it is quarantined,
// that a trial follows, and that nothing is left in the end.
func TestQuarantineOfAPartOutlivesItsContents(t *testing.T) {
	r := newPartsRegister()
	for range partCrashThreshold + 2 {
		r.crash("bad")
	}
	quarantine := r.PartsVerdict(r.now, PartsOf("s", []string{"bad"})).Remaining
	assert.Equal(t, quarantine, 4*initialQuarantine)
	r.now = r.now.Add(quarantine - time.Second)
	r.Expire(r.now)
	assert.Equal(t, r.standing("bad"), Quarantined)
	r.now = r.now.Add(time.Minute)
	r.Expire(r.now)
	assert.Equal(t, r.standing("bad"), Suspect)
	r.now = r.now.Add(suspectPeriod)
	r.Expire(r.now)
	assert.Equal(t, r.standing("bad"), Clear)
	assert.Equal(t, r.size, 0)
	assert.Equal(t, len(r.byPart), 0)
}

// TestFloodOfPartsIsBounded checks that the records are bounded when many prompts with many parts
// crash upstreams, that a quarantined part is evicted last, and that no state of a part is left over.
func TestFloodOfPartsIsBounded(t *testing.T) {
	r := newPartsRegister()
	for range partCrashThreshold {
		r.crash("bad")
	}
	for n := range 2 * maxRecords {
		var ids []string
		for i := range 8 {
			ids = append(ids, fmt.Sprint(n, ".", i))
		}
		r.crash(append(ids, "first")...)
		r.begin("first")
	}
	assert.Assert(t, r.size <= maxRecords)
	assert.Equal(t, r.standing("bad"), Quarantined)
	for p, records := range r.byPart {
		for _, k := range records {
			assert.Assert(t, !k.removed, "%v", p)
		}
	}
	assert.Assert(t, len(r.answers.current) <= maxRecentAnswers/2)
}

// TestPartRecordsConverge checks that instances that exchange their records end up with the same
// verdicts on parts and the same digests, whatever each of them saw of crashes and answers.
func TestPartRecordsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registers := []*Register{NewRegister(), NewRegister(), NewRegister()}
		now := start
		ids := []string{"a", "b", "c"}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond)
			r := registers[rapid.IntRange(0, 2).Draw(t, "register")]
			count := rapid.IntRange(1, 3).Draw(t, "parts")
			parts := PartsOf("s", ids[:count])
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				r.Crashed(now, Attempt{
					Content: Content(10*count + rapid.IntRange(0, 9).Draw(t, "content")), Upstream: up(rapid.StringMatching("[a-f]").Draw(t, "up")), Parts: parts,
					Silent: rapid.Bool().Draw(t, "silent"), SentAt: now.Add(-time.Duration(rapid.IntRange(0, 500).Draw(t, "ran")) * time.Millisecond), BrokenAt: now,
				})
			case 2:
				r.AnswerBegun(now, parts)
			case 3:
				r.TakeUnsent(now)
				registers[rapid.IntRange(0, 2).Draw(t, "to")].Merge(now, r.SharedRecords(now))
			}
		}
		now = now.Add(shareDelay)
		for range 3 {
			for i, r := range registers {
				r.TakeUnsent(now)
				r.Merge(now, registers[(i+1)%3].SharedRecords(now))
				r.Merge(now, registers[(i+2)%3].SharedRecords(now))
			}
		}
		for _, r := range registers[1:] {
			assert.Equal(t, r.Digest(), registers[0].Digest())
			for i := range ids {
				parts := PartsOf("s", ids[i:])
				assert.Equal(t, r.PartsVerdict(now, parts).Standing, registers[0].PartsVerdict(now, parts).Standing)
			}
		}
	})
}

// BenchmarkPartsVerdict measures a verdict on a prompt while crash records are kept.
func BenchmarkPartsVerdict(b *testing.B) {
	r := newPartsRegister()
	for n := range maxRecords {
		r.crash(fmt.Sprint(n), "first")
		r.begin("first")
	}
	parts := PartsOf("s", []string{"first", "subject"})
	for b.Loop() {
		r.PartsVerdict(r.now, parts)
	}
}
