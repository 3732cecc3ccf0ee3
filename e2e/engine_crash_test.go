package e2e

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/standin/control"
)

// crash makes a stand-in behave like a process that is killed and restarted after
// one second.
func (b *bed) crash(id ident.UpstreamID) {
	b.t.Helper()
	assert.NilError(b.t, b.upstream(id).Crash(b.ctx, control.Crash{DownMS: 1000}))
}

// TestDecodeEngineCrash verifies "Every counter and control room receives the
// whole answer to its own request" and "runs at most once" when a decode engine
// crashes during streams: repeatable requests resume on another engine from the
// token reached, without repeating a token; the others end with outcome unknown.
func TestDecodeEngineCrash(t *testing.T) {
	t.Run("crash", func(t *testing.T) { testDecodeEngineCrash(t, (*bed).crash) })
	t.Run("SIGKILL", func(t *testing.T) {
		testDecodeEngineCrash(t, func(b *bed, id ident.UpstreamID) { assert.NilError(b.t, b.Upstreams[id].Kill()) })
	})
}

func testDecodeEngineCrash(t *testing.T, end func(*bed, ident.UpstreamID)) {
	b := newBed(t)
	const tokens = 250
	var reviews, triages []*pending
	for i := range b.Instances {
		reviews = append(reviews, b.startStream(review(b.Instances[i], 500, tokens)))
		triages = append(triages, b.startStream(triage(b.Instances[i], 500, tokens)))
	}
	victim := b.decodingEngine(triages[0].id, decodeA, decodeB)
	onVictim := map[string]bool{}
	for _, q := range b.engineReport(victim).Requests {
		onVictim[q.CorrelationID] = q.DecodeRuns > q.Completed
	}
	end(b, victim)

	for _, p := range reviews {
		b.requireComplete(p)
	}
	for _, p := range triages {
		r := b.await(p)
		if !onVictim[p.id] {
			assert.Assert(t, r.Complete(), "%s: %s", p.id, describe(r))
			continue
		}
		assert.Equal(t, r.Outcome, api.Unknown, "%s: %s", p.id, describe(r))
	}
	if !b.Upstreams[victim].Running() {
		assert.NilError(t, b.StartUpstream(victim))
		b.eventually("the engine's restart", func() (bool, string) {
			_, err := b.upstream(victim).Engine(b.ctx)
			return err == nil, "no answer"
		})
	}
	b.awaitNothingHeld()
	ran := b.runs()
	for _, p := range triages {
		assert.Assert(t, ran.Request(p.id).DecodeRuns <= 1, p.id)
	}
	for _, in := range b.Instances {
		b.requireComplete(b.startCompletion(review(in, 200, 20)))
	}
}

// TestPrefillEngineCrash crashes a prefill engine during prefills. A prefill alone
// has no effects, so every request can be prefilled again on the other engine and
// must get its complete answer.
func TestPrefillEngineCrash(t *testing.T) {
	b := newBed(t)
	b.setEngineFaults(control.EngineFaults{SlowFactor: 5000}, prefillA)
	prefillEngineCrash(b)
}

// TestPrefillEngineCrashAfterRefusal is TestPrefillEngineCrash where the other
// engine has refused the requests before.
func TestPrefillEngineCrashAfterRefusal(t *testing.T) {
	b := newBed(t)
	b.setEngineFaults(control.EngineFaults{SlowFactor: 5000}, prefillA)
	b.setEngineFaults(control.EngineFaults{Refuse: true}, prefillB)
	prefillEngineCrash(b)
}

func prefillEngineCrash(b *bed) {
	var sent []*pending
	for _, in := range b.Instances {
		sent = append(sent, b.startCompletion(review(in, 300, 50)), b.startCompletion(triage(in, 300, 50)))
	}
	b.awaitStage("prefill", 1, prefillA)
	b.setEngineFaults(control.EngineFaults{}, prefillA, prefillB)
	b.crash(prefillA)
	for _, p := range sent {
		b.requireComplete(p)
	}
	b.awaitNothingHeld()
	ran := b.runs()
	for _, p := range sent {
		assert.Equal(b.t, ran.Request(p.id).DecodeRuns, 1, p.id)
	}
}

// TestServiceFailuresAreToldHonestly verifies "When we are told not run, the
// request truly did not run" for plain services that close the connection before
// or after the run, fail, refuse or crash.
func TestServiceFailuresAreToldHonestly(t *testing.T) {
	b := newBed(t)
	in := b.Instances[0]
	for _, c := range []struct {
		name    string
		faults  control.ServiceFaults
		outcome api.Outcome
		runs    int
	}{
		{"dies before the run", control.ServiceFaults{CloseBeforeRun: true}, api.Unknown, 0},
		{"dies after the run", control.ServiceFaults{CloseAfterRun: true}, api.Unknown, 1},
		{"runs and fails", control.ServiceFaults{ErrorRate: 1}, api.Unknown, 1},
		{"refuses", control.ServiceFaults{Refuse: true}, api.NotRun, 0},
	} {
		b.setServiceFaults(c.faults)
		call := order(in)
		r := b.await(b.startServiceCall(call))
		assert.Equal(t, r.Outcome, c.outcome, "%s: %s", c.name, describe(r))
		assert.Equal(t, b.runs().Request(call.RequestID).ServiceRuns, c.runs, c.name)
	}
	b.setServiceFaults(control.ServiceFaults{DelayMS: slowCallTime.Milliseconds()})
	call := b.startServiceCall(order(in))
	b.awaitServiceCalls(1)
	for _, id := range []ident.UpstreamID{serviceA, serviceB} {
		b.crash(id)
	}
	r := b.await(call)
	assert.Equal(t, r.Outcome, api.Unknown, describe(r))
	assert.Equal(t, b.runs().Request(call.id).ServiceRuns, 1)

	b.setServiceFaults(control.ServiceFaults{})
	b.requireComplete(b.startServiceCall(lookup(in)))
}
