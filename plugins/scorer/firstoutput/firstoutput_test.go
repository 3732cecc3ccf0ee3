package firstoutput

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/wardspool/wardspool/internal/testseed"

	"github.com/wardspool/wardspool/config"
	"github.com/wardspool/wardspool/kernel"
	"github.com/wardspool/wardspool/plugins/internal/plugintest"
)

// setup returns a scorer, a decision, and the first prefill engine and the first
// decode engine of its view.
func setup() (*Scorer, *kernel.Decision, *kernel.Upstream, *kernel.Upstream) {
	v := plugintest.View(6, 2)
	s := &Scorer{}
	s.Attach(plugintest.NewHost(v))
	d := plugintest.Decision(plugintest.Request("r"), v)
	return s, d, &v.Upstreams[0], &v.Upstreams[1]
}

// total returns the total cost of a placement, in seconds.
func total(s *Scorer, d *kernel.Decision, p, q *kernel.Upstream) float64 {
	return s.Prefill(d, p) + s.Decode(d, q) + s.Pair(d, p, q)
}

// assertNear asserts that got equals want, with a tolerance for durations that are
// rounded to nanoseconds.
func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 1e-6, "got %v, want %v", got, want)
}

// slots is a slot policy that returns the same availability for all upstreams.
// Its other methods must not be called.
type slots struct {
	kernel.SlotPolicy
	answer kernel.Availability
}

func (s slots) Availability(*kernel.Upstream) kernel.Availability { return s.answer }

// fixedPrefix is a prefix index that returns the same number of cached blocks for
// all engines.
type fixedPrefix int

func (f fixedPrefix) CachedBlocks(*kernel.Upstream, []uint64) int { return int(f) }

// idle is the time to first output on an idle pair of engines, in seconds: 5,000
// prompt tokens at 20,000 tokens per second, and 0.5 GB of KV cache at 5 GB per
// second.
const idle = 0.25 + 0.1

// TestCost checks the total cost of a placement for each of its parts.
func TestCost(t *testing.T) {
	full := func(wait time.Duration) slots {
		return slots{answer: kernel.Availability{NextFree: wait}}
	}
	tests := []struct {
		name   string
		change func(s *Scorer, d *kernel.Decision, p, q *kernel.Upstream)
		want   float64
	}{
		{"idle", func(*Scorer, *kernel.Decision, *kernel.Upstream, *kernel.Upstream) {}, idle},
		{"queue", func(_ *Scorer, _ *kernel.Decision, p, _ *kernel.Upstream) {
			p.Load.QueuedTokens = 10_000
		}, 0.5 + idle},
		{"queue drained since the report", func(_ *Scorer, d *kernel.Decision, p, _ *kernel.Upstream) {
			p.Load.QueuedTokens = 10_000
			d.Now = d.Now.Add(250 * time.Millisecond)
		}, 0.25 + idle},
		{"cached", func(_ *Scorer, d *kernel.Decision, _, _ *kernel.Upstream) {
			d.Prefix = fixedPrefix(2)
		}, 0.05 + 0.1},
		{"slot free before the prefill ends", func(_ *Scorer, d *kernel.Decision, _, _ *kernel.Upstream) {
			d.Slots = full(200 * time.Millisecond)
		}, idle},
		{"slot free later", func(_ *Scorer, d *kernel.Decision, _, _ *kernel.Upstream) {
			d.Slots = full(time.Second)
		}, 1},
		{"memory full", func(_ *Scorer, _ *kernel.Decision, _, q *kernel.Upstream) {
			q.Load.PiecesUsed = q.Spec.Pieces - 2
		}, fullMemoryWait},
		{"link busy", func(s *Scorer, d *kernel.Decision, p, q *kernel.Upstream) {
			for range 5 {
				s.Observe(d.Request, kernel.Record{Time: d.Now, Step: kernel.StepPlaced, Prefill: p.ID, Decode: q.ID})
			}
		}, 0.5 + 0.1},
		{"link drained", func(s *Scorer, d *kernel.Decision, p, q *kernel.Upstream) {
			for range 5 {
				s.Observe(d.Request, kernel.Record{Time: d.Now, Step: kernel.StepPlaced, Prefill: p.ID, Decode: q.ID})
			}
			d.Now = d.Now.Add(time.Second)
		}, idle},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, d, p, q := setup()
			tt.change(s, d, p, q)
			assertNear(t, total(s, d, p, q), tt.want)
		})
	}
}

// TestTotalIsTheLongerWay checks that the total cost is the larger of the prefill
// end plus transfer and the slot wait, and that Pair returns the same after
// Prefill was called for another request.
func TestTotalIsTheLongerWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, d, p, q := setup()
		p.Load.QueuedTokens = rapid.IntRange(0, 40_000).Draw(t, "queued")
		wait := rapid.IntRange(0, 3000).Draw(t, "slot wait ms")
		d.Slots = slots{answer: kernel.Availability{NextFree: time.Duration(wait) * time.Millisecond}}
		want := max(float64(p.Load.QueuedTokens)/20_000+idle, float64(wait)/1000)
		got := total(s, d, p, q)
		assert.Assert(t, math.Abs(got-want) < 1e-6, "got %v, want %v", got, want)
		pair := s.Pair(d, p, q)
		other := plugintest.Decision(plugintest.Request("other"), d.View)
		other.PromptTokens = 1
		s.Prefill(other, p)
		assert.Equal(t, s.Pair(d, p, q), pair)
	})
}

// TestSlowStart checks that the cost at an upstream that has just returned to
// service is raised for the second request but not for the first, and that it is
// normal again after the slow start.
func TestSlowStart(t *testing.T) {
	s, d, p, _ := setup()
	p.Health.AvailableSince = d.Now
	first := s.Prefill(d, p)
	assertNear(t, first, 0.25)
	p.LocalLoad.Requests = 1
	p.LocalLoad.Tokens = 5000
	assert.Assert(t, s.Prefill(d, p) > 3*first)
	d.Now = d.Now.Add(slowStartPeriod)
	assertNear(t, s.Prefill(d, p), 2*first)
}

// TestServiceCalls checks that the cost at a plain service's upstream follows the
// durations of completed calls only.
func TestServiceCalls(t *testing.T) {
	u := plugintest.ServiceUpstream(0)
	u.Load.Slots = 4
	v := &kernel.View{Upstreams: []kernel.Upstream{u}}
	s := &Scorer{}
	s.Attach(plugintest.NewHost(v))
	r := plugintest.Request("r")
	r.Route = config.RouteService
	r.Service = plugintest.Service
	d := plugintest.Decision(r, v)
	idleCost := s.Decode(d, &v.Upstreams[0])
	assertNear(t, idleCost, 0)
	v.Upstreams[0].LocalLoad.Requests = 4
	before := s.Decode(d, &v.Upstreams[0])
	assert.Assert(t, before >= initialCallTime/4)

	began := plugintest.Start
	s.Observe(r, kernel.Record{Time: began, Step: kernel.StepCalled})
	s.Observe(r, kernel.Record{Time: began.Add(2 * time.Second), Step: kernel.StepCompleted})
	assertNear(t, s.Decode(d, &v.Upstreams[0]), before*2/initialCallTime)

	// A call that failed does not change the average and is no longer stored.
	s.Observe(r, kernel.Record{Time: began, Step: kernel.StepCalled})
	s.Observe(r, kernel.Record{Time: began.Add(time.Hour), Step: kernel.StepFailed})
	s.Observe(r, kernel.Record{Time: began.Add(time.Hour), Step: kernel.StepCompleted})
	assertNear(t, s.Decode(d, &v.Upstreams[0]), before*2/initialCallTime)
	assert.Equal(t, len(s.serviceCalls.started), 0)
}
