package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/wardspool/wardspool/ident"
)

// sender is the instance that relays all messages in the property tests.
const sender ident.InstanceID = "entry-a9"

// Processes that the messages are about.
var (
	subjects = []ident.InstanceID{"entry-a1", "entry-a2", "entry-b1"}
	backends = []ident.UpstreamID{"dc-1", "dc-2"}
)

// newMachineWithSender returns a machine that knows the sender, the subjects
// and the backends from its settings and a list without incarnations.
func newMachineWithSender() *Machine {
	m := New(Self{Instance: "entry-a0", Zone: "hall-a"}, Config{}, start)
	m.SetSelf(start, SelfState{Incarnation: 1})
	m.AddSeeds(start, []Seed{{ID: sender, Zone: "hall-a"}, {ID: subjects[0], Zone: "hall-a"}, {ID: subjects[1], Zone: "hall-a"}, {ID: subjects[2], Zone: "hall-b"}})
	m.ApplyUpstreamList(start, start, 1, []ListedUpstream{{ID: backends[0], Zone: "hall-a"}, {ID: backends[1], Zone: "hall-b"}})
	return m
}

// drawRecord draws what a message may state about a subject. A mark is part of
// an incarnation's history: in operation every message from some stamp on
// carries it. Here marks are drawn independently of the stamp, so that more
// orders of messages are tested.
func drawRecord(t *rapid.T) keyedRecord {
	r := keyedRecord{key: keyOf(string(rapid.SampledFrom(subjects).Draw(t, "subject")))}
	r.incarnation = ident.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))
	r.leaving = rapid.Bool().Draw(t, "leaving")
	r.ended = rapid.IntRange(0, 4).Draw(t, "gone") == 0
	r.missing = rapid.IntRange(0, 4).Draw(t, "missing") == 0
	r.hasStamp = rapid.Bool().Draw(t, "has stamp")
	if r.hasStamp {
		r.stamp = Stamp(rapid.IntRange(1, 500).Draw(t, "stamp"))
		r.age = time.Duration(rapid.IntRange(0, 255).Draw(t, "age")) * memberAgeUnit
	}
	return r
}

// drawDigest draws what a message may state about a backend. Reports with the
// same incarnation and sequence have the same load.
func drawDigest(t *rapid.T) UpstreamDigest {
	seq := rapid.IntRange(0, 5).Draw(t, "sequence")
	inc := rapid.IntRange(1, 3).Draw(t, "incarnation")
	return UpstreamDigest{
		Key:         uint64(keyOf(string(rapid.SampledFrom(backends).Draw(t, "backend")))),
		Incarnation: ident.Incarnation(inc),
		HasReport:   seq > 0,
		Sequence:    uint32(seq),
		Running:     10*inc + seq,
		Age:         time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * upstreamAgeUnit,
		Leaving:     rapid.Bool().Draw(t, "leaving"),
		Missing:     rapid.IntRange(0, 3).Draw(t, "missing") == 0,
		Down:        rapid.Bool().Draw(t, "down"),
	}
}

// drawMessage draws a heartbeat that relays up to three records of each kind.
func drawMessage(t *rapid.T) Heartbeat {
	var hb Heartbeat
	for _, r := range rapid.SliceOfN(rapid.Custom(drawRecord), 0, 3).Draw(t, "records") {
		hb.Members = appendMember(hb.Members, r)
	}
	for _, d := range rapid.SliceOfN(rapid.Custom(drawDigest), 0, 3).Draw(t, "digests") {
		hb.Upstreams = d.Append(hb.Upstreams)
	}
	return hb
}

// stickyFacts holds the facts about a process that must not depend on the order
// of messages.
type stickyFacts struct {
	Incarnation     ident.Incarnation
	Leaving, Gone   bool
	Stamp, Missing  Stamp
	HasReport       bool
	Report          Report
	Down            uint32
	MissingAfter    uint32
	UpstreamLeaving bool
}

// allStickyFacts returns those facts for all subjects and backends.
func allStickyFacts(m *Machine) []stickyFacts {
	var out []stickyFacts
	for _, id := range subjects {
		l := &m.members[id].facts
		out = append(out, stickyFacts{Incarnation: l.incarnation, Leaving: l.leaving, Gone: l.ended, Stamp: l.clock.stamp, Missing: l.missingAfter})
	}
	for _, id := range backends {
		u := m.upstreams[id]
		out = append(out, stickyFacts{Incarnation: u.incarnation, UpstreamLeaving: u.leaving, HasReport: u.hasReport, Report: u.report, Down: u.down.after, MissingAfter: u.missing.after})
	}
	return out
}

// deliver passes messages to a machine, one per second.
func deliver(t *rapid.T, m *Machine, messages []Heartbeat) {
	now := start
	for _, hb := range messages {
		now = now.Add(time.Second)
		_, err := m.Receive(now, sender, hb)
		assert.NilError(t, err)
	}
}

// TestOrderAndRepetitionDoNotMatter passes the same messages to two machines,
// to one of them shuffled and some of them twice.
func TestOrderAndRepetitionDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := rapid.SliceOfN(rapid.Custom(drawMessage), 1, 12).Draw(t, "messages")
		again := rapid.SliceOfN(rapid.SampledFrom(messages), 0, 6).Draw(t, "again")
		shuffled := rapid.Permutation(append(again, messages...)).Draw(t, "shuffled")
		a, b := newMachineWithSender(), newMachineWithSender()
		deliver(t, a, messages)
		deliver(t, b, shuffled)
		assert.DeepEqual(t, allStickyFacts(a), allStickyFacts(b))
		assert.Equal(t, a.Digest(), b.Digest())
	})
}

// TestWhatIsKnownOnlyGrows checks after each message that incarnations never
// decrease and that marks last as long as the incarnation.
func TestWhatIsKnownOnlyGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachineWithSender()
		before := allStickyFacts(m)
		now := start
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			now = now.Add(time.Second)
			_, err := m.Receive(now, sender, drawMessage(t))
			assert.NilError(t, err)
			index := uint64(rapid.IntRange(0, 9).Draw(t, "list index"))
			m.ApplyUpstreamList(now, now, index, []ListedUpstream{{ID: backends[0], Zone: "hall-a", Incarnation: ident.Incarnation(rapid.IntRange(0, 3).Draw(t, "listed"))}, {ID: backends[1], Zone: "hall-b"}})
			after := allStickyFacts(m)
			for i := range before {
				checkGrown(t, before[i], after[i])
			}
			before = after
		}
	})
}

// checkGrown checks that the facts about one process have only grown.
func checkGrown(t *rapid.T, before, after stickyFacts) {
	assert.Assert(t, after.Incarnation >= before.Incarnation, "incarnation decreased from %d to %d", before.Incarnation, after.Incarnation)
	if after.Incarnation > before.Incarnation {
		return
	}
	assert.Assert(t, after.Leaving || !before.Leaving, "the leaving mark was cleared")
	assert.Assert(t, after.UpstreamLeaving || !before.UpstreamLeaving, "an upstream's leaving mark was cleared")
	assert.Assert(t, after.Gone || !before.Gone, "the gone mark was cleared")
	assert.Assert(t, after.Stamp >= before.Stamp, "the stamp decreased")
	assert.Assert(t, after.Report.Sequence >= before.Report.Sequence, "a newer report was replaced by an older one")
}

// TestOldMessagesRaiseNobody lets an instance become unresponsive and then delivers
// earlier messages about it: whatever their delay, number and age, they must
// not make it alive again.
func TestOldMessagesRaiseNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachineWithSender()
		last := rapid.IntRange(10, 500).Draw(t, "last stamp")
		now := start.Add(time.Hour)
		say := func(inc int, s Stamp, age time.Duration) {
			r := keyedRecord{key: keyOf(string(subjects[0])), memberRecord: memberRecord{incarnation: ident.Incarnation(inc), hasStamp: true, stamp: s, age: age}}
			_, err := m.Receive(now, sender, Heartbeat{Members: appendMember(nil, r)})
			assert.NilError(t, err)
		}
		say(2, Stamp(last), 0)
		assert.Equal(t, m.View(now).Instances[0].State, Alive)
		for range rapid.IntRange(1, 10).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.IntRange(60, 3600).Draw(t, "later")) * time.Second)
			inc := rapid.IntRange(1, 2).Draw(t, "incarnation")
			stamp := rapid.IntRange(1, last).Draw(t, "stamp")
			say(inc, Stamp(stamp), time.Duration(rapid.IntRange(0, 255).Draw(t, "age"))*memberAgeUnit)
			assert.Equal(t, m.View(now).Instances[0].State, Unreachable)
		}
	})
}

// TestClockEstimateBounds checks that the estimated time of the last evidence
// of liveness is never before the real time, and after it by no more than the
// smallest delay of a message, the drift allowance and the resolution of a
// stamp.
func TestClockEstimateBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c livenessClock
		boot := time.Duration(rapid.IntRange(0, 1000).Draw(t, "boot")) * time.Second
		now, least, newest := boot, time.Hour, Stamp(0)
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "gap")) * time.Millisecond
			delay := time.Duration(rapid.IntRange(0, 20000).Draw(t, "delay")) * time.Millisecond
			if now-delay < boot {
				continue
			}
			s := Stamp((now - delay - boot) / stampUnit)
			c.observe(now, s, 0)
			least, newest = min(least, delay), max(newest, s)
			heard, ok := c.latestAt(now)
			assert.Assert(t, ok)
			truth := boot + time.Duration(newest)*stampUnit
			drift := (now - boot) / driftDivisor
			assert.Assert(t, heard >= truth, "estimate is too early by %s", truth-heard)
			assert.Assert(t, heard <= truth+least+drift+stampUnit, "estimate is too late by %s", heard-truth)
		}
	})
}
