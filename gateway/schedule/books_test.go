package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/gateway/dialect"
	"github.com/wardspool/wardspool/gateway/routing"
	"github.com/wardspool/wardspool/ident"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func service(ids ...string) []dialect.Upstream {
	var out []dialect.Upstream
	for _, id := range ids {
		out = append(out, dialect.Upstream{ID: ident.UpstreamID(id), Service: "s", Zone: "a"})
	}
	return out
}

func engines(prefill, decode int) []dialect.Upstream {
	var out []dialect.Upstream
	for i := range prefill + decode {
		u := dialect.Upstream{ID: ident.UpstreamID(rune('a' + i)), Service: "m", Zone: "a", Stage: dialect.StageDecode}
		if i < prefill {
			u.Stage = dialect.StagePrefill
		}
		out = append(out, u)
	}
	return out
}

var engine = &routing.Engine{Slots: 64, KVTokens: 90000, TokensPerEvent: 64}

func TestRequestsSpreadOverAService(t *testing.T) {
	b := NewScheduler("a", 1)
	list := service("x", "y", "z")
	counts := map[ident.UpstreamID]int{}
	for range 9 {
		ticket, ok := b.PickService(at(0), list, false, nil)
		assert.Assert(t, ok)
		counts[ticket.Upstream.ID]++
	}
	assert.DeepEqual(t, counts, map[ident.UpstreamID]int{"x": 3, "y": 3, "z": 3})
}

func TestPeersRequestsCount(t *testing.T) {
	b := NewScheduler("a", 1)
	list := service("x", "y")
	first, _ := b.PickService(at(0), list, false, nil)
	b.Done(first)
	b.SetPeers(at(0), map[ident.UpstreamID]*InFlight{"x": {Requests: 5}})
	for range 4 {
		ticket, _ := b.PickService(at(0), list, false, nil)
		assert.Equal(t, ticket.Upstream.ID, ident.UpstreamID("y"))
	}
}

func TestLeavingAndExcludedGetNothing(t *testing.T) {
	b := NewScheduler("a", 1)
	list := service("x", "y", "z")
	list[0].Leaving = true
	for range 5 {
		ticket, ok := b.PickService(at(0), list, true, []ident.UpstreamID{"y"})
		assert.Assert(t, ok)
		assert.Equal(t, ticket.Upstream.ID, ident.UpstreamID("z"))
	}
	_, ok := b.PickService(at(0), list[:1], true, nil)
	assert.Assert(t, !ok)
}

// TestFailedUpstreamIsTriedByRepeatableRequestsFirst guards against the loss of requests that
// must not be repeated. An upstream that reset connections is ejected. Once the ejection time
// has passed, only a repeatable request retries it, and a success ends the ejection.
func TestFailedUpstreamIsTriedByRepeatableRequestsFirst(t *testing.T) {
	b := NewScheduler("a", 1)
	list := service("x", "y")
	assert.Assert(t, !b.RecordFailure(at(0), list[0], Hard))
	assert.Assert(t, b.RecordFailure(at(0), list[0], Hard))
	pick := func(ms int, repeatable bool) ident.UpstreamID {
		ticket, ok := b.PickService(at(ms), list, repeatable, nil)
		assert.Assert(t, ok)
		b.Done(ticket)
		return ticket.Upstream.ID
	}
	assert.Equal(t, pick(100, true), ident.UpstreamID("y"))
	assert.Equal(t, pick(600, false), ident.UpstreamID("y"))
	assert.Equal(t, pick(600, true), ident.UpstreamID("x"))
	b.RecordSuccess(at(0), list[0], 50*time.Millisecond)
	b.RecordSuccess(at(0), list[1], 50*time.Millisecond)
	seen := map[ident.UpstreamID]bool{}
	for range 4 {
		ticket, ok := b.PickService(at(700), list, false, nil)
		assert.Assert(t, ok)
		seen[ticket.Upstream.ID] = true
	}
	assert.Assert(t, seen["x"])
}

// TestEjectionGrows checks that a failed retry ejects the upstream again, for longer.
func TestEjectionGrows(t *testing.T) {
	b := NewScheduler("a", 1)
	u := service("x")[0]
	assert.Assert(t, b.RecordFailure(at(0), u, Unreachable))
	assert.Equal(t, b.records["x"].state(at(499)), stateEjected)
	assert.Equal(t, b.records["x"].state(at(501)), stateRetry)
	assert.Assert(t, b.RecordFailure(at(501), u, Hard))
	assert.Equal(t, b.records["x"].state(at(1400)), stateEjected)
	assert.Equal(t, b.records["x"].state(at(1502)), stateRetry)
}

// TestAllEjectedStillServes checks that with all upstreams ejected, the one whose ejection ends
// first is used.
func TestAllEjectedStillServes(t *testing.T) {
	b := NewScheduler("a", 1)
	list := service("x", "y")
	b.RecordFailure(at(0), list[0], Unreachable)
	b.RecordFailure(at(100), list[1], Unreachable)
	ticket, ok := b.PickService(at(150), list, false, nil)
	assert.Assert(t, ok)
	assert.Equal(t, ticket.Upstream.ID, ident.UpstreamID("x"))
}

// TestSilentUpstreamIsAvoided checks that an upstream with an overdue request gets no further
// ones, before any request to it has failed.
func TestSilentUpstreamIsAvoided(t *testing.T) {
	b := NewScheduler("a", 1)
	list := service("x", "y")
	for _, u := range list {
		b.RecordSuccess(at(0), u, 20*time.Millisecond)
	}
	stuck, _ := b.PickService(at(0), list, false, nil)
	for range 5 {
		ticket, _ := b.PickService(at(1000), list, false, nil)
		assert.Assert(t, ticket.Upstream.ID != stuck.Upstream.ID)
	}
}

func TestDoneTwiceCountsOnce(t *testing.T) {
	b := NewScheduler("a", 1)
	ticket, _ := b.PickService(at(0), service("x"), false, nil)
	b.Done(ticket)
	b.Done(ticket)
	assert.Equal(t, b.RequestCount("x"), 0)
}

// TestRefusingEngineIsPassedOver checks that an engine that rejected a request despite a
// reservation gets none for a while, from this instance and from peers to which it was
// reported.
func TestRefusingEngineIsPassedOver(t *testing.T) {
	list := engines(0, 2)
	here, peer := NewScheduler("a", 1), NewScheduler("a", 2)
	size := Size{Prompt: 5000, Estimate: 4000}
	for _, b := range []*Scheduler{here, peer} {
		ticket, _ := b.PlaceDecode(at(0), list, engine, size, nil)
		b.Done(ticket)
		b.recordOf(list[0])
		b.recordOf(list[1])
	}
	here.RecordRejection(at(0), list[0])
	peer.SetPeersUnavailable(at(100), here.OwnUnavailable(at(100)))
	for _, b := range []*Scheduler{here, peer} {
		for range 6 {
			ticket, ok := b.PlaceDecode(at(200), list, engine, size, nil)
			assert.Assert(t, ok)
			assert.Equal(t, ticket.Upstream.ID, list[1].ID)
			b.Done(ticket)
		}
		ticket, ok := b.PlaceDecode(at(1200), list[:1], engine, size, nil)
		assert.Assert(t, ok, "engine not retried after the rejection backoff")
		b.Done(ticket)
	}
}

// TestSwitchingEngineIsPassedOver checks that an engine that was ordered to change its stage
// gets no requests until the store lists it with the new stage.
func TestSwitchingEngineIsPassedOver(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(1, 1)
	size := Size{Prompt: 100, Estimate: 100}
	ticket, _ := b.PlaceDecode(at(0), list, engine, size, nil)
	b.Done(ticket)
	b.RecordStageOrder(at(0), list[1].ID, dialect.StagePrefill)
	_, ok := b.PlaceDecode(at(5000), list, engine, size, nil)
	assert.Assert(t, !ok)
	staged := b.WithPendingStages(at(5000), list)
	assert.Equal(t, staged[1].Stage, dialect.StagePrefill)
	list[1].Stage = dialect.StagePrefill
	_, ok = b.PlacePrefill(at(5100), list[1:], 100, "a", nil)
	assert.Assert(t, ok)
}

// TestFewEnginesOfACutZoneAreProbed guards against an instance probing every engine of a zone
// that is suspected to be unreachable.
func TestFewEnginesOfACutZoneAreProbed(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 1000)
	for i := range list {
		list[i].Zone = "z"
	}
	assert.Equal(t, len(b.ProbeCandidates(at(0), list)), 0)
	b.RecordFailure(at(0), list[0], Unreachable)
	b.RecordFailure(at(100), list[1], Unreachable)
	probed := map[ident.UpstreamID]bool{}
	for range 10 {
		trials := b.ProbeCandidates(at(200), list)
		assert.Assert(t, len(trials) > 0 && len(trials) <= 5, "%d probed", len(trials))
		for _, u := range trials {
			probed[u.ID] = true
		}
	}
	assert.Assert(t, len(probed) > 5, "only the same %d engines are probed", len(probed))
	b.RecordContact(at(300), list[2])
	assert.Equal(t, len(b.ProbeCandidates(at(400), list)), 0)
}

// TestZoneThatSeemsCutOff checks that after two unreachable upstreams in another zone the whole
// zone is avoided until one of its upstreams responds. The instance's own zone is never
// suspected.
func TestZoneThatSeemsCutOff(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 5)
	for i := range list[:4] {
		list[i].Zone = "z"
	}
	size := Size{Prompt: 100, Estimate: 100}
	b.RecordFailure(at(0), list[0], Unreachable)
	b.RecordFailure(at(100), list[1], Unreachable)
	for range 20 {
		ticket, ok := b.PlaceDecode(at(200), list, engine, size, nil)
		assert.Assert(t, ok)
		assert.Equal(t, ticket.Upstream.ID, list[4].ID)
	}
	assert.Equal(t, len(b.ProbeCandidates(at(200), list)), 2, "engines probed in the suspected zone")
	b.Readmit(at(300), list[2])
	_, ok := b.PlaceDecode(at(400), list[2:3], engine, size, nil)
	assert.Assert(t, ok)
	assert.Equal(t, len(b.ProbeCandidates(at(400), list)), 0)
	own := NewScheduler("z", 1)
	own.RecordFailure(at(0), list[0], Unreachable)
	own.RecordFailure(at(0), list[1], Unreachable)
	_, ok = own.PlaceDecode(at(10), list[2:3], engine, size, nil)
	assert.Assert(t, ok)
}

// TestReadmittedEngineIsEjectedBySingleFailures guards against an engine that answers probes
// but fails requests. Each failure ejects it for longer.
func TestReadmittedEngineIsEjectedBySingleFailures(t *testing.T) {
	b := NewScheduler("a", 1)
	u := engines(0, 1)[0]
	b.RecordFailure(at(0), u, Hard)
	assert.Assert(t, b.RecordFailure(at(0), u, Hard))
	b.Readmit(at(600), u)
	assert.Equal(t, b.records[u.ID].state(at(600)), stateHealthy)
	assert.Assert(t, b.RecordFailure(at(700), u, Hard))
	assert.Equal(t, b.records[u.ID].state(at(1600)), stateEjected)
}

// TestOutOfReachIsRefusedAtOnce guards against requests waiting for a connection time-out.
// While one request retries the only upstream, to which a connection has failed, others are
// refused at once. An upstream that fails in other ways remains in use.
func TestOutOfReachIsRefusedAtOnce(t *testing.T) {
	b := NewScheduler("a", 1)
	list := service("x")
	b.RecordFailure(at(0), list[0], Unreachable)
	first, ok := b.PickService(at(100), list, false, nil)
	assert.Assert(t, ok)
	_, ok = b.PickService(at(110), list, false, nil)
	assert.Assert(t, !ok)
	b.Done(first)
	b.RecordSuccess(at(200), list[0], time.Millisecond)
	for range 3 {
		_, ok = b.PickService(at(210), list, false, nil)
		assert.Assert(t, ok)
	}
	b.RecordFailure(at(300), list[0], Hard)
	b.RecordFailure(at(300), list[0], Hard)
	_, ok = b.PickService(at(310), list, false, nil)
	assert.Assert(t, ok)
}

// TestReplacedUpstreamGetsNothing checks that an upstream whose address another incarnation
// uses gets no requests or probes, even if it is the only one and still listed.
func TestReplacedUpstreamGetsNothing(t *testing.T) {
	b := NewScheduler("a", 1)
	list := service("x")
	b.RecordReplacement(list[0])
	_, ok := b.PickService(at(0), list, true, nil)
	assert.Assert(t, !ok)
	prefill := engines(1, 0)
	b.RecordReplacement(prefill[0])
	_, ok = b.PlacePrefill(at(0), prefill, 100, "a", nil)
	assert.Assert(t, !ok)
	assert.Equal(t, len(b.ProbeCandidates(at(0), prefill)), 0)
}

// TestPeersHearOfDeadEngines checks that engines that refused a connection or were replaced are
// reported to peers until a probe succeeds. Time-outs, and refusals before any other upstream has
// accepted a connection, are not reported, since they may be caused by the network path.
func TestPeersHearOfDeadEngines(t *testing.T) {
	b, peer := NewScheduler("a", 1), NewScheduler("b", 1)
	list := engines(3, 0)
	for _, u := range list {
		peer.RecordContact(at(0), u)
	}
	b.RecordFailure(at(0), list[0], Closed)
	b.RecordFailure(at(0), list[1], Unreachable)
	b.RecordReplacement(list[2])
	assert.Equal(t, len(b.OwnUnavailable(at(50)).Rejecting), 1, "an engine was reported although no upstream has accepted a connection")
	b.ConfirmRefusals(at(60), list[0].Service)
	away := b.OwnUnavailable(at(100))
	assert.Equal(t, len(away.Rejecting), 2)
	peer.SetPeersUnavailable(at(100), away)
	for range 10 {
		ticket, ok := peer.PlacePrefill(at(110), list, 100, "b", nil)
		assert.Assert(t, ok)
		assert.Equal(t, ticket.Upstream.ID, list[1].ID)
	}
	b.Readmit(at(600), list[0])
	assert.Equal(t, len(b.OwnUnavailable(at(600)).Rejecting), 1)
}

// TestRefusalsDuringADisconnectionAreNotReported guards against engines that are reported to peers
// as down because connections succeed again some time after all of them were refused.
func TestRefusalsDuringADisconnectionAreNotReported(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(3, 0)
	for i, u := range list {
		b.RecordFailure(at(100*i), u, Closed)
	}
	b.ConfirmRefusals(at(2000), list[0].Service)
	assert.Equal(t, len(b.OwnUnavailable(at(2000)).Rejecting), 0)
}

// TestRestartedUpstreamHasANewBook checks that load, rejections, failures and stage changes of
// a former incarnation do not apply to the new one, and that later results for the former
// incarnation are dropped.
func TestRestartedUpstreamHasANewBook(t *testing.T) {
	b := NewScheduler("a", 1)
	list := engines(0, 1)
	list[0].Incarnation = 5
	former := list[0]
	size := Size{Prompt: 40000, Estimate: 500}
	old, ok := b.PlaceDecode(at(0), list, engine, size, nil)
	assert.Assert(t, ok)
	b.RecordRejection(at(0), former)
	b.RecordStageOrder(at(0), former.ID, dialect.StagePrefill)
	b.RecordFailure(at(0), former, Closed)
	_, ok = b.PlaceDecode(at(10), list, engine, size, nil)
	assert.Assert(t, !ok)

	fresh := []dialect.Upstream{former}
	fresh[0].Incarnation = 6
	b.RecordRestart(fresh[0])
	assert.Equal(t, b.RequestCount(former.ID), 0)
	for range 3 {
		b.RecordFailure(at(20), former, Hard)
		b.RecordReplacement(former)
	}
	first, ok := b.PlaceDecode(at(30), fresh, engine, size, nil)
	assert.Assert(t, ok)
	b.Done(old)
	assert.Equal(t, b.RequestCount(former.ID), 1, "the end of a request of the former incarnation changed the load of the new one")
	b.Done(first)
	assert.Equal(t, b.RequestCount(former.ID), 0)
}
