package admission

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestExpectedWait guards against a wait that leaves out what goes first, or the prefill backlog.
func TestExpectedWait(t *testing.T) {
	for _, c := range []struct {
		name   string
		supply Supply
		demand Demand
		want   time.Duration
	}{
		{"room now", steady(1, 0), Demand{}, 0},
		{"one place after a tenth of a second", steady(0, 10), Demand{}, 100 * time.Millisecond},
		{"after those ahead", steady(0, 10), Demand{Ahead: 9}, time.Second},
		{"after those that arrive", steady(0, 10), Demand{Rate: 8}, 500 * time.Millisecond},
		{"more arrive than leave", steady(0, 10), Demand{Rate: 10}, maxWait},
		{"beyond the steps", steady(0, 10), Demand{Ahead: 39}, 4 * time.Second},
		{"after returned callers", steady(0, 10), Demand{Returns: [ReturnSlots]float64{5}}, 600 * time.Millisecond},
		{"prefill takes longer", Supply{Places: []float64{9}, PrefillRate: 10}, Demand{Ahead: 8}, 800 * time.Millisecond},
		{"no capacity at all", Supply{}, Demand{}, maxWait},
	} {
		got := expectedWait(c.supply, c.demand)
		assert.Check(t, (got-c.want).Abs() <= waitStep, "%s: %s, not %s", c.name, got, c.want)
	}
}

// TestSupplyIsBroughtUpToThePresent guards against a supply that leaves out what became free since,
// or what others took of it, and against places that appear because others fell away.
func TestSupplyIsBroughtUpToThePresent(t *testing.T) {
	const age = 600 * time.Millisecond
	for i, n := range steady(2, 10).after(0, 99).Places {
		assert.Check(t, near(n, steady(2, 10).Places[i]))
	}
	assert.Check(t, near(steady(2, 10).after(age, 0).placesBy(0), 8))
	assert.Check(t, near(steady(2, 10).after(age, 5).placesBy(0), 5))
	assert.Check(t, near(steady(2, 10).after(age, 100).placesBy(0), 2))
	assert.Check(t, near(steady(2, 10).after(age, 100).placesBy(5*time.Second), 52))
	falling := Supply{Step: 300 * time.Millisecond, Places: []float64{6, 5, 4, 4}}
	assert.Check(t, near(falling.after(age, 5).placesBy(0), 4), "%v", falling.after(age, 5).Places)
	half := steady(2, 10).times(0.5)
	assert.Check(t, near(half.placesBy(0), 1) && near(half.placesBy(10*time.Second), 51) && half.Rate == 5)
}

// near reports whether two numbers are equal but for rounding.
func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// TestDemandCountsReturnsBySlot guards against promised returns that count before or after their half
// second.
func TestDemandCountsReturnsBySlot(t *testing.T) {
	d := Demand{Ahead: 1, Rate: 2, Returns: [ReturnSlots]float64{1: 4}}
	for at, want := range map[time.Duration]float64{
		0: 1, 500 * time.Millisecond: 2, 750 * time.Millisecond: 4.5, time.Second: 7, 2 * time.Second: 9,
	} {
		assert.Check(t, near(d.by(at), want), "%s: %v, not %v", at, d.by(at), want)
	}
	l := ledger{}
	first := slotOf(start)
	l.add(first-1, 0, 100)
	l.add(first+1, 0, 1)
	l.add(first+1, 1, 2)
	l.add(first+1, 2, 100)
	l.add(first+ReturnSlots, 0, 100)
	d = Demand{}
	d.addReturns(start, l, 1, 0.5)
	assert.DeepEqual(t, d.Returns, [ReturnSlots]float64{1: 1.5})
	assert.Equal(t, l.prune(first+2), 203.0)
	assert.Equal(t, len(l), 1)
}

// TestQueueAfterDropsPassedReturns guards against promises of a report that count longer than they
// last, and against reports without content that cost bytes on a calm day.
func TestQueueAfterDropsPassedReturns(t *testing.T) {
	q := Queue{Waiting: []int{1}, Returns: [][]int{{1, 2, 3}, nil, {4}}}
	assert.DeepEqual(t, q.After(499*time.Millisecond), q)
	assert.DeepEqual(t, q.After(time.Second), Queue{Waiting: []int{1}, Returns: [][]int{{3}, nil, {}}})
	assert.DeepEqual(t, q.Plus(Queue{Waiting: []int{0, 5}}).Minus(q).Waiting, []int{0, 5})
	assert.DeepEqual(t, Queue{Waiting: []int{1}}.Minus(Queue{Waiting: []int{3}}).Waiting, []int{0})
	assert.Check(t, Queue{Returns: q.Returns}.After(time.Minute).Empty())
	assert.Check(t, q.Minus(q).Empty())
}

// TestKeptShareFollowsWhatCallersDo guards against a share above 1, and against one that stays low
// after a while.
func TestKeptShareFollowsWhatCallersDo(t *testing.T) {
	var k keptShare
	assert.Equal(t, k.at(start), 1.0)
	k.expired(start, 9)
	assert.Check(t, near(k.at(start), 0.25))
	k.returned(start)
	assert.Check(t, near(k.at(start), 4.0/12))
	assert.Check(t, k.at(start.Add(5*keptHalfLife)) > 0.8)
	for range 100 {
		k.returned(start)
	}
	assert.Equal(t, k.at(start), 1.0)
}

// TestCorrectionIsBoundedAndFades guards against errors in one overload that refuse or admit all
// requests of the next.
func TestCorrectionIsBoundedAndFades(t *testing.T) {
	for _, waited := range []time.Duration{0, 10 * time.Second} {
		var k correction
		assert.Equal(t, k.at(start), time.Duration(0))
		for range 100 {
			k.observe(start, 5*time.Second, waited)
			assert.Assert(t, k.at(start).Abs() <= maxCorrection)
		}
		assert.Equal(t, k.at(start).Abs(), maxCorrection)
		assert.Equal(t, k.at(start.Add(correctionHalfLife)).Abs(), maxCorrection/2)
		assert.Assert(t, k.at(start.Add(10*correctionHalfLife)).Abs() < time.Millisecond)
	}
}

// TestReportReachesPeers guards against waiting requests and promises that peers do not count, and
// against a report of an idle instance.
func TestReportReachesPeers(t *testing.T) {
	a, b := New(1), New(2)
	assert.Equal(t, len(a.Report(start)), 0)
	for _, priority := range []int{0, 2, 2} {
		a.Enter(start, request(start, priority))
	}
	refused := a.Enter(start, request(start, 1))
	at := refused.PromiseReturn(start, Supply{})
	refused.Leave(start, false)
	q := a.Report(start)["s"]
	assert.Assert(t, q.Valid())
	assert.DeepEqual(t, q.Waiting, []int{0, 1, 0, 0, 0, 2})
	now := start.Add(600 * time.Millisecond)
	b.SetPeers(now, Peers{Instances: 2, Age: 600 * time.Millisecond, Queues: a.Report(start), Rates: map[string]float64{"s": 3}})
	w := b.Enter(now, request(now, 2))
	hold, held := w.Held(now, func() bool { return false })
	assert.Assert(t, held)
	assert.DeepEqual(t, hold, Hold{For: 0, Waiting: 1, Age: 600 * time.Millisecond})
	assert.Equal(t, w.Decide(now, steady(0, 1), playLead).Ahead, 3.0)
	promised := b.services["s"].peerReturns[slotOf(start.Add(at))]
	assert.Assert(t, promised != nil)
	assert.Equal(t, promised[rankOf(1, true)], 1.0)
	st := b.Status(now)
	assert.Equal(t, len(st), 1)
	assert.DeepEqual(t, st[0].Peers.Waiting, []int{1, 0, 2})
	assert.DeepEqual(t, st[0].Own.Waiting, []int{0, 0, 1})
	assert.Check(t, st[0].Service == "s" && st[0].AgeMS == 600 && !st[0].Alone && st[0].RequestRate > 3 && st[0].CorrectionMS == 0)
	assert.Check(t, b.Status(now.Add(2 * time.Second))[0].Alone)
}
