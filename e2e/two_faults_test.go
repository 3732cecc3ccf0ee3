package e2e

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/api"
	"github.com/wardspool/wardspool/standin/control"
)

// TestEntryKilledWhilePlatformIsDown injects two failures at once: the platform is
// down, and the entry of an instance that holds streams is killed. The peers must
// release what it held and continue to serve, and the restarted instance must get
// the version in force.
func TestEntryKilledWhilePlatformIsDown(t *testing.T) {
	b := newBed(t)
	assert.Equal(t, b.roll(), uint64(2))
	b.awaitVersion(2, b.Instances...)
	victim := b.Instances[3]
	tr := b.startTraffic(callerAddresses(b.others(victim)))
	sent := []*pending{b.startStream(review(victim, 200, endlessTokens)), b.startStream(triage(victim, 200, endlessTokens))}

	b.setPlatformMode(control.PlatformMode{Mode: control.ModeDown, DownBehavior: control.DownByHang})
	assert.NilError(t, victim.Entry.Kill())
	for _, p := range sent {
		assert.Assert(t, connectionLost(b.await(p)), p.id)
	}
	b.eventually("the release of the streams", func() (bool, string) {
		for _, e := range b.reports().Engines {
			for _, q := range e.Requests {
				if q.CorrelationID == sent[0].id || q.CorrelationID == sent[1].id {
					if q.DecodeRuns > 0 && q.Aborts == 0 {
						return false, q.CorrelationID + " is held by " + string(e.ID)
					}
				}
			}
		}
		return true, ""
	})
	assert.NilError(t, b.StartEntry(victim))
	assert.NilError(t, b.WaitReady(b.ctx, victim))
	b.awaitVersion(2, b.Instances...)
	b.requireAnswers(2, victim)
	b.requireGuarantees(tr.stop(), true)
}

// TestEngineCrashWhileAgentIsFrozen freezes the agent of an instance and crashes
// an engine that the instance uses: the entry must detect the crash without its
// agent.
func TestEngineCrashWhileAgentIsFrozen(t *testing.T) {
	b := newBed(t)
	victim := b.Instances[0]
	streams := []*pending{b.startStream(review(victim, 200, 300)), b.startStream(review(victim, 200, 300))}
	once := b.startStream(triage(victim, 200, 300))
	assert.NilError(t, victim.Agent.Freeze())
	engine := b.decodingEngine(once.id, decodeA, decodeB)
	b.crash(engine)

	for _, p := range streams {
		b.requireComplete(p)
	}
	r := b.await(once)
	assert.Equal(t, r.Outcome, api.Unknown, "%s: %s", once.id, describe(r))
	for range 3 {
		b.requireComplete(b.startCompletion(review(victim, 200, 20)))
		b.requireComplete(b.startServiceCall(b.withTicket(order(victim))))
	}
	assert.NilError(t, victim.Agent.Thaw())
	b.awaitNothingHeld()
	ran := b.runs()
	assert.Equal(t, ran.Request(once.id).DecodeRuns, 1)
	for _, in := range b.Instances {
		b.requireComplete(b.startCompletion(review(in, 200, 20)))
	}
}

// TestTrafficOverFlappingPlatform has the platform go down and up repeatedly while
// versions are rolled and an instance restarts: every version must reach every
// instance, no instance may revert, and all guarantees must hold for the traffic.
func TestTrafficOverFlappingPlatform(t *testing.T) {
	b := newBed(t)
	w := b.watchBundles()
	tr := b.startTraffic(b.CallerAddresses())
	b.setPlatformMode(control.PlatformMode{
		Mode: control.ModeFlapping, DownBehavior: control.DownByClose, Seed: 1, MeanUpMS: 300, MeanDownMS: 700,
	})
	for range 2 {
		version := b.roll()
		b.awaitVersion(version, b.Instances...)
	}
	b.restart(b.Instances[2])
	version := b.roll()
	b.awaitVersion(version, b.Instances...)
	b.wait(time.Second)
	b.requireGuarantees(tr.stop(), true)
	w.requireNoRevert()
}
