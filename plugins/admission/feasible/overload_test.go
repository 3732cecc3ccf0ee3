package feasible

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/internal/plugintest"
)

// The simulated system has 60 slots, and a request holds one for 6 s on average.
// Its capacity is thus 10 requests per second. A prefill takes 0.25 s.
const (
	slots   = 60
	holding = 6 * time.Second
	prefill = 250 * time.Millisecond
	tick    = 5 * time.Millisecond
)

// system simulates the check and a queue that is served in order of arrival.
type system struct {
	check   *Check
	host    *plugintest.Host
	random  *rand.Rand
	waiting []*kernel.Request
	ends    []time.Time
	// optimism is the divisor applied to the estimated waiting time.
	optimism float64
	tally    tally
}

// tally counts requests by their outcome.
type tally struct{ offered, inTime, refused, gaveUp int }

func newSystem(optimism float64) *system {
	s := &system{optimism: optimism, random: rand.New(rand.NewPCG(1, 1))}
	s.check, s.host = newCheck(0)
	s.host.Predict = s.predict
	return s
}

// predict estimates the time to first output as the kernel does: from the length
// of the queue and the rate at which slots become free.
func (s *system) predict(*kernel.Request) kernel.Estimate {
	wait := time.Duration(0)
	if len(s.ends) == slots {
		wait = time.Duration(len(s.waiting)+1) * holding / slots
	}
	wait = time.Duration(float64(wait) / s.optimism)
	return kernel.Estimate{Possible: true, FirstOutput: wait + prefill}
}

// run simulates a duration of length in which load times the capacity is offered,
// and returns the tally for that time.
func (s *system) run(load float64, length time.Duration) tally {
	s.tally = tally{}
	perTick := load * slots / holding.Seconds() * tick.Seconds()
	for range int(length / tick) {
		s.host.Time = s.host.Time.Add(tick)
		if s.random.Float64() < perTick {
			s.arrive()
		}
		s.serve()
	}
	return s.tally
}

func (s *system) arrive() {
	s.tally.offered++
	r := plugintest.Request(fmt.Sprint("r", s.host.Time.UnixMilli()))
	r.Arrived = s.host.Time
	r.FirstOutputBy = s.host.Time.Add(2 * time.Second)
	r.Deadline = s.host.Time.Add(time.Minute)
	if s.check.Admit(r) != nil {
		s.tally.refused++
		return
	}
	s.waiting = append(s.waiting, r)
}

// serve frees the slots of requests that have ended, gives up requests that can
// no longer meet their target, and starts requests while slots are free.
func (s *system) serve() {
	now := s.host.Time
	s.ends = slices.DeleteFunc(s.ends, func(t time.Time) bool { return !t.After(now) })
	for len(s.waiting) > 0 {
		r := s.waiting[0]
		switch {
		case now.Add(prefill).After(r.FirstOutputBy):
			s.tally.gaveUp++
			s.check.Finished(r, api.NotRun)
			s.observe(r, kernel.StepRefused, now.Sub(r.Arrived))
		case len(s.ends) < slots:
			s.tally.inTime++
			s.ends = append(s.ends, now.Add(time.Duration(s.random.ExpFloat64()*float64(holding))))
			s.observe(r, kernel.StepPlaced, now.Sub(r.Arrived))
			// The prefill time of this simulation includes the transfer of 0.1 s
			// that the check adds to Waited.
			s.observe(r, kernel.StepDecoding, now.Sub(r.Arrived)+prefill-100*time.Millisecond)
		default:
			return
		}
		s.waiting = s.waiting[1:]
	}
}

func (s *system) observe(r *kernel.Request, step kernel.Step, waited time.Duration) {
	rec := kernel.Record{Time: s.host.Time, Step: step, Waited: waited}
	if step == kernel.StepRefused {
		rec.Reason = kernel.ReasonInfeasible
	}
	s.check.Observe(r, rec)
}

// TestOverloadAndBack offers 0.8, 1.5 and again 0.8 times the capacity, with
// waiting times that are predicted correctly, at half and at twice the right
// value. It guards against a collapse of goodput under overload, and against
// refusals that go on after the overload has ended.
func TestOverloadAndBack(t *testing.T) {
	for _, optimism := range []float64{1, 2, 0.5} {
		t.Run(fmt.Sprint("optimism ", optimism), func(t *testing.T) {
			s := newSystem(optimism)
			s.run(0.8, 20*time.Second)
			over := s.run(1.5, 60*time.Second)
			t.Logf("1.5: %+v", over)
			// The capacity is 600 requests per minute.
			assert.Assert(t, over.inTime > 570, "goodput collapsed")
			// Most requests that cannot be served are refused on arrival, and few
			// are given up after waiting.
			assert.Assert(t, over.gaveUp*2 < over.refused)
			assert.Assert(t, over.gaveUp*10 < over.offered)
			settle := s.run(0.8, 3*time.Second)
			after := s.run(0.8, 30*time.Second)
			t.Logf("0.8: %+v, then %+v", settle, after)
			assert.Assert(t, after.inTime*100 >= after.offered*99, "requests are refused or late after the end of the overload")
			assert.Equal(t, len(s.check.admitted), len(s.waiting))
		})
	}
}
