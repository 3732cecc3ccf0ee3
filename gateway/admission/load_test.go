package admission

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// constant returns a load that does not change.
func constant(factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return factor }
}

// fleets are the sizes of the specification. Small fleets play longer, so that all of them have about
// as many requests.
var fleets = []scenario{
	{instances: 7, places: 60, counted: 40 * time.Second, age: 600 * time.Millisecond},
	{instances: 90, places: 225, counted: 16 * time.Second, age: 600 * time.Millisecond},
	{instances: 300, places: 600, counted: 10 * time.Second, age: 600 * time.Millisecond},
}

// TestOverloadIsRefusedQuickly guards against callers that wait in a queue and are refused anyway.
func TestOverloadIsRefusedQuickly(t *testing.T) {
	for _, age := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond} {
		s := fleets[1]
		s.age, s.load = age, constant(2)
		t.Run(fmt.Sprint("sums of ", age), func(t *testing.T) {
			o := s.play()
			o.log(t, t.Name())
			sum := o.total()
			assert.Check(t, sum.refusals > 0)
			assert.Check(t, float64(sum.quick) >= 0.9*float64(sum.refusals), "%d of %d refusals within a quarter of the objective", sum.quick, sum.refusals)
		})
	}
}

// TestNobodyIsRefusedBelowCapacity guards against refusals of requests that would have been served.
func TestNobodyIsRefusedBelowCapacity(t *testing.T) {
	for _, age := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond} {
		s := fleets[1]
		s.age, s.load = age, constant(0.9)
		t.Run(fmt.Sprint("sums of ", age), func(t *testing.T) {
			o := s.play()
			o.log(t, t.Name())
			assert.Check(t, o.total().refusals == 0, "%d refusals", o.total().refusals)
		})
	}
}

// burst returns a calm load with a burst of twice the capacity for 4 s.
func burst(at time.Duration) float64 {
	if at >= time.Second && at < 5*time.Second {
		return 2
	}
	return 0.7
}

// burstPlay is a play of burst.
var burstPlay = sync.OnceValue(func() *outcome {
	s := fleets[1]
	s.counted, s.load = 12*time.Second, burst
	return s.play()
})

// TestBurstIsServedAtTheReturn guards against callers that return while there is still no room.
func TestBurstIsServedAtTheReturn(t *testing.T) {
	o := burstPlay()
	o.log(t, t.Name())
	sum := o.total()
	assert.Check(t, float64(sum.atReturn) >= 0.9*float64(sum.firstRefused), "%d of %d refused callers served at their return", sum.atReturn, sum.firstRefused)
}

// TestReturnsDoNotExceedThePlaces guards against a second burst that consists of returns.
func TestReturnsDoNotExceedThePlaces(t *testing.T) {
	o := burstPlay()
	for second, n := range o.returns {
		places := o.freeAtStart[second] + o.ended[second]
		assert.Check(t, n <= places, "second %d: %d returns, %d places", second-int(playWarm/time.Second), n, places)
	}
}

// overloadPlay is a lasting overload and the same with a plain queue.
type overloadPlay struct {
	name     string
	o, plain *outcome
}

// overloads are the lasting overloads of the specification.
var overloads = sync.OnceValue(func() (plays []overloadPlay) {
	for _, s := range fleets {
		for _, factor := range []float64{1.5, 2, 2.5} {
			s.load, s.plain = constant(factor), false
			o := s.play()
			s.plain = true
			plays = append(plays, overloadPlay{fmt.Sprintf("%d instances at %.1f", s.instances, factor), o, s.play()})
		}
	}
	return plays
})

// TestUrgentRequestsAreServedFirst guards against an order of the instances' queues that serves a
// more urgent class less often than a less urgent one, or starves a class.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	for _, p := range overloads() {
		t.Run(p.name, func(t *testing.T) {
			p.o.log(t, t.Name())
			p.plain.log(t, "plain queue")
			checkOrder(t, p.o)
		})
	}
}

// TestNobodyIsRefusedWhileThereIsRoom guards against refusals by a supply that is older than the room.
func TestNobodyIsRefusedWhileThereIsRoom(t *testing.T) {
	recent := fleets[1]
	recent.age, recent.load = 100*time.Millisecond, constant(2)
	withRoom := recent.play().withRoom
	assert.Check(t, withRoom == 0, "sums of 100 ms: %d refused although there was room for all that waited", withRoom)
	for _, p := range overloads() {
		assert.Check(t, p.o.withRoom == 0, "%s: %d refused although there was room for all that waited", p.name, p.o.withRoom)
	}
}

// TestOverloadUsesTheCapacity guards against capacity that a plain queue uses and that is left unused
// for more urgent requests or by refusals.
func TestOverloadUsesTheCapacity(t *testing.T) {
	for _, p := range overloads() {
		assert.Check(t, p.o.used >= p.plain.used, "%s: %.4f of the capacity used, %.4f with a plain queue", p.name, p.o.used, p.plain.used)
	}
}

// checkOrder checks that no class is served less often than a less urgent one and none is starved.
func checkOrder(t *testing.T, o *outcome) {
	t.Helper()
	for i, c := range o.class {
		assert.Check(t, c.served() > 0, "priority %d is starved", i)
		for j := i + 1; j < len(o.class); j++ {
			assert.Check(t, c.served() >= o.class[j].served()-0.05, "priority %d served %.3f, priority %d %.3f", i, c.served(), j, o.class[j].served())
		}
	}
}
