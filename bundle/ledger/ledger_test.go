package ledger

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/config"
)

func TestNewRefusesUnusableApprovers(t *testing.T) {
	s := testSettings("entry-1", "hall-a")
	s.Approvers.Quorum = 1
	var bad *bundle.ApproversError
	_, err := New(s, epoch)
	assert.Assert(t, errors.As(err, &bad))
}

// started returns a session in which roll 1 and its parts are preloaded and no
// source has answered yet.
func started(t *testing.T, d *documents, s Settings, sources ...Source) *session {
	t.Helper()
	x := newSession(t, d.publisher, s, sources...)
	x.step("preload", RollReceived{From: preload, Roll: d.first})
	for x.ledger.Missing() > 0 {
		x.step("preload", PartsReceived{From: preload, Parts: d.publisher.partsFor(x.ledger.parts.missing)})
	}
	return x
}

// The combinations of answers, timeouts and settings under which a starting
// instance becomes ready, and the alarms under which it does not.
func TestReadiness(t *testing.T) {
	d := newDocuments(t)
	second := d.publisher.all(2, d.v2, d.v1, "ada", "ben")
	unverifiable := d.forgeries()[0]
	var (
		other      = peer("entry-2")
		fromOther  = FloorReport{From: other, Ready: true, Roll: d.first}
		starting   = FloorReport{From: other, Roll: d.first}
		platform1  = FloorReport{From: platform, Roll: d.first}
		noRoll     = FloorReport{From: platform}
		serve      = IsolatedServePreload
		everyone   = []Source{platform, other, engine}
		noUpstream = []Source{platform, other}
	)
	tests := []struct {
		name     string
		sources  []Source
		isolated IsolatedPolicy
		events   []Event
		timeout  bool
		ready    bool
		alarm    AlarmType
	}{
		{name: "everyone answered", sources: noUpstream, events: []Event{platform1, fromOther}, ready: true},
		{name: "a peer has not answered yet", sources: noUpstream, events: []Event{platform1}},
		{name: "a peer did not answer within the timeout", sources: noUpstream, events: []Event{platform1}, timeout: true, ready: true},
		{name: "the platform did not answer within the timeout", sources: noUpstream, events: []Event{fromOther}, timeout: true, ready: true},
		{name: "nobody answers", sources: noUpstream, timeout: true, alarm: AlarmIsolated},
		{name: "nobody answers, serve the preload", sources: noUpstream, isolated: serve, timeout: true, ready: true},
		{name: "all peers are starting", sources: noUpstream, events: []Event{starting}, timeout: true, alarm: AlarmIsolated},
		{name: "no source set", timeout: true, alarm: AlarmIsolated},
		{name: "the platform lost its roll", sources: noUpstream, events: []Event{noRoll}, timeout: true, alarm: AlarmIsolated},
		{name: "a roll that cannot be verified is no answer", sources: noUpstream,
			events: []Event{platform1, FloorReport{From: other, Ready: true, Roll: unverifiable}}},
		{name: "an answer of another round", sources: noUpstream,
			events: []Event{platform1, FloorReport{From: other, Round: 7, Ready: true, Roll: d.first}}},
		{name: "an answer of a source outside the source set", sources: []Source{platform},
			events: []Event{FloorReport{From: other, Ready: true, Roll: d.first}}},
		{name: "an upstream saw this version", sources: everyone,
			events: []Event{platform1, fromOther, FloorReport{From: engine, Fence: 1}}, ready: true},
		{name: "an upstream saw a higher version", sources: everyone, timeout: true, alarm: AlarmFloorAbove,
			events: []Event{platform1, fromOther, FloorReport{From: engine, Fence: 2}}},
		{name: "an upstream saw a higher version, serve the preload", sources: everyone, isolated: serve, timeout: true,
			events: []Event{FloorReport{From: engine, Fence: 2}}, alarm: AlarmFloorAbove},
		{name: "an upstream that left the source set does not count", sources: everyone, timeout: true, ready: true,
			events: []Event{platform1, FloorReport{From: engine, Fence: 2}, SourceSet{Sources: noUpstream}}},
		{name: "the assigned version's parts are missing", sources: noUpstream, timeout: true,
			events: []Event{platform1, FloorReport{From: other, Ready: true, Roll: second}}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			settings := testSettings("entry-1", "hall-a")
			settings.Isolated = tc.isolated
			s := started(t, d, settings, tc.sources...)
			for _, e := range tc.events {
				s.step("event", e)
			}
			if tc.timeout {
				s.wait(DefaultStartTimeout)
			}
			assert.Equal(t, s.ledger.Status() == StatusReady, tc.ready)
			if tc.alarm != "" {
				alarms := s.ledger.Alarms()
				assert.Equal(t, alarms[len(alarms)-1].Type, tc.alarm)
				assert.Assert(t, tc.alarm.Remedy() != "")
			}
		})
	}
}

// Documents a known limitation that docs/design/bundles.md states: if all
// instances are replaced at once while the platform is stale and no upstream
// checks fencing numbers, no source knows the version that was in force, and the
// replacements become ready with an older one.
func TestLimitNothingRemembers(t *testing.T) {
	d := newDocuments(t)
	first := ready(t, d)
	first.step("roll 2", RollReceived{From: platform, Roll: d.publisher.all(2, d.v2, d.v1, "ada", "ben")})
	first.supplyParts(platform)
	assert.Equal(t, first.inForce(), uint64(2))
	replacement := ready(t, d)
	assert.Equal(t, replacement.inForce(), uint64(1))
	assert.Equal(t, replacement.ledger.Status(), StatusReady)
}

// Parts that are not missing are discarded, so that a peer cannot exhaust an
// instance's memory with them.
func TestUnwantedPartsAreDropped(t *testing.T) {
	s := ready(t, newDocuments(t))
	before := s.ledger.parts.have.Len()
	junk := bundle.Part{Bytes: []byte("junk")}
	junk.Digest = bundle.DigestOf(junk.Bytes)
	s.step("junk", PartsReceived{From: peer("entry-9"), Parts: []bundle.Part{junk}})
	assert.Equal(t, s.ledger.parts.have.Len(), before)
}

// Parts that no bundle needs any more are removed.
func TestOldPartsAreDropped(t *testing.T) {
	d := newDocuments(t)
	s := ready(t, d)
	head, base, sequence := d.v2, d.v1, uint64(2)
	for queue := 300; queue < 310; queue++ {
		s.step("roll", RollReceived{From: platform, Roll: d.publisher.all(sequence, head, base, "ada", "ben")})
		s.supplyParts(platform)
		base, sequence = head, sequence+1
		head = d.publisher.build(base, queue, firstSet, "ada", "ben")
	}
	// The policy part differs in each version. Only the parts of the newest version
	// and its base are kept.
	referenced := map[bundle.Digest]bool{}
	for _, h := range []*bundle.Head{&s.ledger.roll.Target, s.ledger.roll.Base} {
		digests, err := bundle.ReferencedParts(&h.Manifest, s.ledger.parts.have)
		assert.NilError(t, err)
		for _, digest := range digests {
			referenced[digest] = true
		}
	}
	assert.Equal(t, s.ledger.parts.have.Len(), len(referenced))
}

// A signed bundle whose content fails validation on the instance is not put into
// force, and does not prevent the next one from being put into force.
func TestInvalidContentStaysOut(t *testing.T) {
	d := newDocuments(t)
	s := ready(t, d)
	s.ledger.checker.assemble = func(*bundle.Manifest, bundle.PartSource) (*config.Content, error) {
		return nil, &bundle.FindingsError{}
	}
	s.step("roll 2", RollReceived{From: platform, Roll: d.publisher.all(2, d.v2, d.v1, "ada", "ben")})
	s.supplyParts(platform)
	assert.Equal(t, s.inForce(), uint64(1))
	assert.Equal(t, s.ledger.Alarms()[0].Type, AlarmInvalidContent)
	s.ledger.checker = newChecker()
	s.step("roll 3", RollReceived{From: platform, Roll: d.publisher.all(3, d.v3, d.v2, "ada", "ben")})
	s.supplyParts(platform)
	assert.Equal(t, s.inForce(), uint64(3))
	assert.Equal(t, len(s.ledger.Alarms()), 0)
}

func TestAlarmsAreBounded(t *testing.T) {
	s := ready(t, newDocuments(t))
	for i := range 2 * maxAlarms {
		s.step("junk", Undecodable{From: peer(time.Duration(i).String()), Err: &bundle.CanonicalError{}})
	}
	assert.Equal(t, len(s.ledger.Alarms()), maxAlarms)
}
