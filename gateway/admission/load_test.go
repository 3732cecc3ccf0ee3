package admission

import (
	"fmt"
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
			assert.Check(t, o.withRoom == 0, "%d refused although there was room for all that waited", o.withRoom)
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

// TestBurstIsServedAtTheReturn guards against callers that return while there is still no room, and
// against a second burst that consists of returns. The forecasts of the scheduler have each stream
// end at the mean of its remaining time; the second play has the mean number of ends instead.
func TestBurstIsServedAtTheReturn(t *testing.T) {
	for name, survival := range map[string]bool{"ends at the mean": false, "mean number of ends": true} {
		t.Run(name, func(t *testing.T) {
			s := fleets[1]
			s.counted, s.load, s.survival = 12*time.Second, burst, survival
			o := s.play()
			o.log(t, t.Name())
			sum := o.total()
			assert.Check(t, float64(sum.atReturn) >= 0.9*float64(sum.firstRefused), "%d of %d refused callers served at their return", sum.atReturn, sum.firstRefused)
			for second, n := range o.returns {
				places := o.freeAtStart[second] + o.ended[second]
				assert.Check(t, n <= places, "second %d: %d returns, %d places", second-int(playWarm/time.Second), n, places)
			}
		})
	}
}

// TestUrgentRequestsAreServedFirst guards against an order of the instances' queues that serves a
// more urgent class less often than a less urgent one, starves a class, or leaves capacity unused
// that a plain queue uses.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	for _, s := range fleets {
		for _, factor := range []float64{1.5, 2, 2.5} {
			s.load = constant(factor)
			t.Run(fmt.Sprintf("%d instances at %.1f", s.instances, factor), func(t *testing.T) {
				o := s.play()
				o.log(t, t.Name())
				plain := s
				plain.plain = true
				p := plain.play()
				p.log(t, "plain queue")
				checkOrder(t, o)
				assert.Check(t, o.used >= p.used, "%.4f of the capacity used, %.4f with a plain queue", o.used, p.used)
			})
		}
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
