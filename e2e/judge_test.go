package e2e

import (
	"fmt"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/load/referee"
	"github.com/wardspool/wardspool/standin/control"
	"github.com/wardspool/wardspool/standin/judge"
)

// upstream returns a client of the control interface of an upstream's stand-in.
func (b *bed) upstream(id ident.UpstreamID) control.Client {
	return control.Client{Address: b.Addresses[id]}
}

// setEngineFaults sets the faults of stand-in engines.
func (b *bed) setEngineFaults(f control.EngineFaults, ids ...ident.UpstreamID) {
	b.t.Helper()
	for _, id := range ids {
		assert.NilError(b.t, b.upstream(id).SetEngineFaults(b.ctx, f))
	}
}

// setServiceFaults sets the faults of all stand-in services.
func (b *bed) setServiceFaults(f control.ServiceFaults) {
	b.t.Helper()
	for _, id := range []ident.UpstreamID{serviceA, serviceB} {
		assert.NilError(b.t, b.upstream(id).SetServiceFaults(b.ctx, f))
	}
}

// reports reads the reports of all stand-ins.
func (b *bed) reports() *referee.Reports {
	b.t.Helper()
	got, err := referee.Fetch(b.ctx, b.UpstreamAddresses())
	assert.NilError(b.t, err)
	return got
}

// runs returns the runs that the stand-ins report, by request.
func (b *bed) runs() *judge.Index {
	b.t.Helper()
	r := b.reports()
	return judge.NewIndex(r.Engines, r.Services)
}

// engineReport returns the report of one engine.
func (b *bed) engineReport(id ident.UpstreamID) judge.Engine {
	b.t.Helper()
	e, err := b.upstream(id).Engine(b.ctx)
	assert.NilError(b.t, err)
	return e
}

// awaitNothingHeld waits until no engine holds an attempt or a piece of KV memory.
func (b *bed) awaitNothingHeld() {
	b.t.Helper()
	b.eventually("engines to release all attempts and pieces", func() (bool, string) {
		held := b.reports().Held()
		return held.Attempts == 0 && held.Pieces == 0, fmt.Sprintf("%+v", held)
	})
}

// awaitServiceCalls waits until the services run at least the given number of
// calls.
func (b *bed) awaitServiceCalls(calls int) {
	b.t.Helper()
	b.eventually("service calls to run", func() (bool, string) {
		n := 0
		for _, s := range b.reports().Services {
			n += s.Running
		}
		return n >= calls, fmt.Sprintf("%d running", n)
	})
}

// awaitDecode waits until an engine decodes a request.
func (b *bed) awaitDecode(id string) {
	b.t.Helper()
	b.eventually("an engine to decode "+id, func() (bool, string) {
		runs := b.runs().Request(id)
		return runs.DecodeRuns > 0, fmt.Sprintf("%+v", runs)
	})
}

// decodingEngine returns which of the given engines is decoding a request.
func (b *bed) decodingEngine(id string, engines ...ident.UpstreamID) ident.UpstreamID {
	b.t.Helper()
	for _, e := range engines {
		for _, q := range b.engineReport(e).Requests {
			if q.CorrelationID == id && q.DecodeRuns > q.Completed {
				return e
			}
		}
	}
	b.t.Fatalf("no engine is decoding %s", id)
	return ""
}
