package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/ident"
)

// coldFleet is a fleet of instances with one cold upstream, to which some of them may send.
type coldFleet struct {
	schedulers []*Scheduler
	list       []dialect.Upstream
	arrived    []time.Duration
}

func newColdFleet(instances, senders int, rate float64) *coldFleet {
	f := &coldFleet{list: []dialect.Upstream{{ID: "u", Service: "s", Zone: "z", Slots: 64, Cold: true}}}
	for i := range instances {
		b := NewScheduler("z", uint64(i))
		quota := ColdQuota(0)
		if i < senders {
			quota = ColdQuota(rate / float64(senders))
		}
		b.SetCold(map[ident.UpstreamID]ColdQuota{"u": quota})
		f.schedulers = append(f.schedulers, b)
	}
	return f
}

// simulate has requests arrive at random instances, at perSecond in the first half of the
// duration and at ten times that rate in the second half.
func (f *coldFleet) simulate(perSecond float64, duration time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	for at := time.Duration(0); at < duration; {
		rate := perSecond
		if at > duration/2 {
			rate *= 10
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		b := f.schedulers[random.IntN(len(f.schedulers))]
		if t, ok := b.PickService(start.Add(at), f.list, true, nil); ok {
			f.arrived = append(f.arrived, at)
			b.Done(t)
		}
	}
}

// after counts the requests that arrived after a time.
func (f *coldFleet) after(t time.Duration) int {
	n := 0
	for _, at := range f.arrived {
		if at > t {
			n++
		}
	}
	return n
}

// worstSecond returns the largest number of requests that arrived within any second.
func (f *coldFleet) worstSecond() int {
	worst, from := 0, 0
	for i, at := range f.arrived {
		for at-f.arrived[from] >= time.Second {
			from++
		}
		worst = max(worst, i-from+1)
	}
	return worst
}

// TestColdUpstreamsGetWhatTheyTolerate guards against overloading a cold upstream when a burst
// follows a period of low load, and against leaving it unused. At any fleet size all instances
// together stay within 1.5 times the tolerated rate, plus 5 requests, in any second. During the
// burst, when each instance that may send has enough requests, the upstream gets at least half
// of that rate.
func TestColdUpstreamsGetWhatTheyTolerate(t *testing.T) {
	const rate, most, share = 21, 1.5*21 + 5, 0.75
	for _, n := range []int{7, 60, 300, 585} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newColdFleet(n, min(n, rate/2), share*rate)
			f.simulate(10*rate, 10*time.Second)
			t.Logf("worst second %d, %.1f a second", f.worstSecond(), float64(len(f.arrived))/10)
			assert.Check(t, float64(f.worstSecond()) <= most)
			assert.Check(t, f.after(5*time.Second) >= 5*rate/2)

			// Log the alternatives for comparison.
			for name, senders := range map[string]int{"all instances": n, "one instance": 1} {
				o := newColdFleet(n, senders, share*rate)
				o.simulate(10*rate, 10*time.Second)
				t.Logf("%s: worst second %d, %.1f a second", name, o.worstSecond(), float64(len(o.arrived))/10)
			}
		})
	}
}

// TestColdLimitAffectsOnlyColdUpstream guards against a cold upstream's limit holding back warm
// upstreams, and against the limit outlasting the quota.
func TestColdLimitAffectsOnlyColdUpstream(t *testing.T) {
	b := NewScheduler("z", 1)
	list := []dialect.Upstream{{ID: "cold", Service: "s", Zone: "z", Cold: true}, {ID: "warm", Service: "s", Zone: "z"}}
	b.SetCold(map[ident.UpstreamID]ColdQuota{"cold": 0})
	now := time.Unix(1000, 0)
	for range 20 {
		u, ok := b.PickService(now, list, true, nil)
		assert.Assert(t, ok)
		assert.Equal(t, u.Upstream.ID, ident.UpstreamID("warm"))
	}
	_, ok := b.PickService(now, list[:1], true, nil)
	assert.Assert(t, !ok)
	b.SetCold(nil)
	_, ok = b.PickService(now, list[:1], true, nil)
	assert.Assert(t, ok)
}
