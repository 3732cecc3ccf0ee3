package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/testbed"
)

// otherDecode returns the decode engine that is not the given one.
func otherDecode(id ident.UpstreamID) ident.UpstreamID {
	if id == decodeA {
		return decodeB
	}
	return decodeA
}

// decodeRuns returns how many runs of a request an engine began to decode.
func (b *bed) decodeRuns(engine ident.UpstreamID, id string) (n int) {
	for _, q := range b.engineReport(engine).Requests {
		if q.CorrelationID == id {
			n += q.DecodeRuns
		}
	}
	return n
}

// TestStreamsKeepTheirSoftwareVersionWhenTheirEngineCrashes guards against streams of separate entry processes that
// go on at an engine of another software version after theirs has crashed.
func TestStreamsKeepTheirSoftwareVersionWhenTheirEngineCrashes(t *testing.T) {
	for _, c := range []struct {
		name   string
		second string
		goesOn bool
	}{{"same version", "v1", true}, {"other version", "v2", false}} {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t, func(o *testbed.Options) {
				o.SoftwareVersions = map[ident.UpstreamID]string{decodeA: "v1", decodeB: c.second}
			})
			var streams []*pending
			for _, in := range b.Instances {
				streams = append(streams, b.startStream(review(in, 500, 250)))
			}
			victim := b.decodingEngine(streams[0].id, decodeA, decodeB)
			var onVictim, elsewhere []*pending
			for _, p := range streams {
				if b.decodeRuns(victim, p.id) > 0 {
					onVictim = append(onVictim, p)
				} else {
					elsewhere = append(elsewhere, p)
				}
			}
			assert.NilError(t, b.Upstreams[victim].Kill())
			for _, p := range onVictim {
				r := b.await(p)
				assert.Equal(t, r.Complete(), c.goesOn, "%s: %s", p.id, describe(r))
				assert.Equal(t, b.decodeRuns(otherDecode(victim), p.id) > 0, c.goesOn, "%s: %s", p.id, describe(r))
			}
			for _, p := range elsewhere {
				b.requireComplete(p)
			}
		})
	}
}

// withPace sets the target time per token of all kinds of model requests.
func withPace(pace time.Duration) option {
	return func(o *testbed.Options) {
		for i := range o.Deployment.Content.Kinds {
			if kind := &o.Deployment.Content.Kinds[i]; kind.Pace > 0 {
				kind.Pace = pace
			}
		}
	}
}

// TestStreamsStayInOrderWhenTheirEngineFallsSilent guards against streams with a part that is missing or comes twice
// when their engine is frozen and goes on after another one has taken them over, while an entry and an agent are
// killed and started again.
func TestStreamsStayInOrderWhenTheirEngineFallsSilent(t *testing.T) {
	b := newBed(t, withPace(50*time.Millisecond))
	const tokens = 500
	var reviews, triages []*pending
	killed := b.Instances[3]
	for _, in := range b.others(killed) {
		reviews = append(reviews, b.startStream(review(in, 200, tokens)), b.startStream(review(in, 200, tokens)))
		triages = append(triages, b.startStream(triage(in, 200, tokens)))
	}
	lost := b.startStream(review(killed, 200, tokens))
	victim := b.decodingEngine(reviews[0].id, decodeA, decodeB)

	assert.NilError(t, b.Upstreams[victim].Freeze())
	assert.NilError(t, killed.Entry.Kill())
	assert.NilError(t, b.Instances[1].Agent.Kill())
	assert.NilError(t, b.StartAgent(b.Instances[1]))
	assert.NilError(t, b.StartEntry(killed))
	b.wait(3 * time.Second)
	assert.NilError(t, b.Upstreams[victim].Thaw())

	for _, p := range reviews {
		b.requireComplete(p)
	}
	for _, p := range triages {
		r := b.await(p)
		assert.Assert(t, r.Complete() || r.Outcome == api.Unknown, "%s: %s", p.id, describe(r))
	}
	assert.Assert(t, connectionLost(b.await(lost)))
	b.awaitNothingHeld()
	ran := b.runs()
	takenOver := 0
	for _, p := range reviews {
		takenOver += ran.Request(p.id).DecodeRuns - 1
	}
	assert.Assert(t, takenOver > 0, "no stream was taken over")
	for _, p := range triages {
		assert.Equal(t, ran.Request(p.id).DecodeRuns, 1, p.id)
	}
	assert.NilError(t, b.WaitReady(b.ctx, killed))
	b.requireComplete(b.startCompletion(review(killed, 200, 20)))
}
