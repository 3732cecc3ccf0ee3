package ledger

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/plugin"
)

// An entry that cannot run the version in force raises one alarm that names the
// remedy. The version stays in force, and the alarm is cleared when the entry
// accepts it.
func TestEntryRejects(t *testing.T) {
	d := newDocuments(t)
	s := ready(t, d)
	s.step("roll 2", RollReceived{From: platform, Roll: d.publisher.all(2, d.v2, d.v1, "ada", "ben")})
	s.supplyParts(platform)
	lacks := EntryVersion{Version: 1, Rejected: 2, Err: &plugin.UnknownError{ID: "scorer.memory"}}
	actions := s.step("the entry lacks a plug-in", lacks)
	assert.Equal(t, len(actions), 1)
	a := actions[0].(Alarm)
	assert.Equal(t, a.Type, AlarmEntryRejects)
	assert.Equal(t, a.Ref, d.v2.Ref())
	assert.Assert(t, strings.Contains(a.String(), "scorer.memory"), a.String())
	assert.Assert(t, strings.Contains(a.String(), "; step: bring this instance's entry to a release"), a.String())
	assert.Equal(t, len(s.step("the same report again", lacks)), 0)
	assert.Equal(t, s.inForce(), uint64(2))
	s.step("the entry was upgraded", EntryVersion{Version: 2})
	assert.Equal(t, len(s.ledger.Alarms()), 0)
	s.step("an outdated report", EntryVersion{Version: 0, Rejected: 1, Err: errors.ErrUnsupported})
	assert.Equal(t, len(s.ledger.Alarms()), 0)
}

// The bundle that a peer had in force is part of a starting instance's floor even
// after the peer has left the source set. Otherwise the instance would serve the
// roll's base although a peer was ready with the target.
func TestFloorOfAPeerThatLeft(t *testing.T) {
	d := newDocuments(t)
	s := started(t, d, testSettings("entry-1", "hall-a"), platform, peer("entry-2"))
	second := d.publisher.all(2, d.v2, d.v1, "ada", "ben")
	s.step("entry-2 has version 2 in force", FloorReport{From: peer("entry-2"), Ready: true, InForce: d.v2.Ref(), Roll: second})
	s.step("entry-2 left the source set", SourceSet{Sources: []Source{platform}})
	s.step("the platform has roll 2 and not its parts", FloorReport{From: platform, Roll: second})
	s.wait(time.Minute)
	assert.Equal(t, s.ledger.Status(), StatusStarting)
	assert.Equal(t, s.inForce(), uint64(0))
	s.supplyParts(platform)
	assert.Equal(t, s.ledger.Status(), StatusReady)
	assert.Equal(t, s.inForce(), uint64(2))
	s.step("the source set", SourceSet{Sources: []Source{platform}})
	assert.Equal(t, len(s.ledger.floor.answers), 1, "sources outside the source set are kept after the instance became ready")
}

// AlarmUndecodable is cleared when the same source sends a decodable document of the
// same kind, and not by documents of another source or kind.
func TestGarbledGoes(t *testing.T) {
	d := newDocuments(t)
	s := ready(t, d)
	bad := &bundle.CanonicalError{}
	s.step("garbled roll", Undecodable{From: platform, Document: DocumentRoll, Err: bad})
	s.step("garbled head", Undecodable{From: platform, Document: DocumentHead, Err: bad})
	assert.Equal(t, len(s.ledger.Alarms()), 2)
	s.step("the peer's roll", RollReceived{From: peer("entry-2"), Roll: d.first})
	assert.Equal(t, len(s.ledger.Alarms()), 2)
	s.step("the platform's roll", RollReceived{From: platform, Roll: d.first})
	assert.Equal(t, len(s.ledger.Alarms()), 1)
	s.step("the platform's head", HeadReceived{From: platform, Head: d.v1})
	assert.Equal(t, len(s.ledger.Alarms()), 0)
	s.step("roll 2", RollReceived{From: platform, Roll: d.publisher.all(2, d.v2, d.v1, "ada", "ben")})
	parts := d.publisher.partsFor(s.ledger.parts.missing)
	truncated := []bundle.Part{{Digest: parts[0].Digest, Bytes: parts[0].Bytes[1:]}}
	s.step("a truncated part", PartsReceived{From: platform, Parts: truncated})
	assert.Equal(t, len(s.ledger.Alarms()), 1)
	s.step("the part", PartsReceived{From: platform, Parts: parts[:1]})
	assert.Equal(t, len(s.ledger.Alarms()), 0)
}
