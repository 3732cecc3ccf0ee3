package ledger

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/wardspool/wardspool/bundle"
)

// session runs one ledger and records every event and action as text.
type session struct {
	t          testing.TB
	publisher  *publisher
	ledger     *Ledger
	now        time.Time
	transcript strings.Builder
	// fetched holds the digests of the last FetchParts.
	fetched []bundle.Digest
}

func newSession(t testing.TB, p *publisher, settings Settings, sources ...Source) *session {
	t.Helper()
	l, err := New(settings, epoch)
	assert.NilError(t, err)
	s := &session{t: t, publisher: p, ledger: l, now: epoch}
	s.step("the source set", SourceSet{Sources: sources})
	return s
}

// step applies an event to the ledger and records the resulting actions.
func (s *session) step(what string, e Event) []Action {
	fmt.Fprintf(&s.transcript, "%6s  %s\n", s.now.Sub(epoch), what)
	actions := s.ledger.Step(s.now, e)
	for _, a := range actions {
		fmt.Fprintf(&s.transcript, "            -> %s\n", describeAction(a))
		if f, ok := a.(FetchParts); ok {
			s.fetched = f.Digests
		}
	}
	return actions
}

// supplyParts supplies the parts that the ledger fetches until none is missing.
func (s *session) supplyParts(from Source) {
	for s.ledger.Missing() > 0 {
		s.step(fmt.Sprintf("%d parts from the %s", len(s.fetched), from), PartsReceived{From: from, Parts: s.publisher.partsFor(s.fetched)})
	}
}

// wait advances the time in steps shorter than PauseThreshold.
func (s *session) wait(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(time.Second)
		s.step("a tick", Tick{})
	}
}

func (s *session) inForce() uint64 {
	ref, _, _ := s.ledger.InForce()
	return ref.Version
}

func describeAction(a Action) string {
	switch a := a.(type) {
	case InForce:
		return fmt.Sprintf("in force: %s, before: %s, queue limit %d", a.Ref, a.From, a.Content.Policy.QueueLimit)
	case Ready:
		return fmt.Sprintf("ready with %s, unconfirmed: %v", a.InForce, a.Unconfirmed)
	case QueryFloor:
		return fmt.Sprintf("ask the %s for the floor, round %d", a.From, a.Round)
	case FetchRoll:
		return fmt.Sprintf("fetch the roll from the %s", a.From)
	case FetchHead:
		return fmt.Sprintf("fetch the newest head from the %s", a.From)
	case FetchParts:
		return fmt.Sprintf("fetch %d parts from the %s", len(a.Digests), a.From)
	case Announce:
		text := fmt.Sprintf("announce roll %d, newest %s, in force %s, %s", a.Summary.RollSequence, a.Summary.Newest, a.Summary.InForce, a.Summary.Status)
		if a.Summary.Complete {
			text += ", whole"
		}
		return text
	case Refused:
		return fmt.Sprintf("refused, from the %s: %v", a.From, a.Err)
	case Alarm:
		return "ALARM " + a.String()
	}
	return fmt.Sprintf("%#v", a)
}

// Compares the recorded events and actions of one instance in hall-a during
// complete rolls and failures with the golden files in testdata.
func TestSessions(t *testing.T) {
	sessions := []struct {
		name string
		run  func(t *testing.T, d *documents) *session
	}{
		{"whole-roll", wholeRoll},
		{"refusals", refusals},
		{"half-published", halfPublished},
		{"relayed", relayed},
		{"two-bundles", twoBundles},
		{"cut-zone", cutZone},
		{"paused", paused},
		{"far-behind", farBehind},
		{"stand-in", baseInForce},
	}
	for _, tc := range sessions {
		t.Run(tc.name, func(t *testing.T) {
			s := tc.run(t, newDocuments(t))
			golden.Assert(t, s.transcript.String(), tc.name+".golden")
		})
	}
}

// ready returns a session in which version 1 is in force.
func ready(t *testing.T, d *documents) *session {
	s := newSession(t, d.publisher, testSettings("entry-1", "hall-a"), platform, peer("entry-2"))
	s.step("the platform has roll 1", FloorReport{From: platform, Roll: d.first})
	s.supplyParts(platform)
	s.step("entry-2 has nothing", FloorReport{From: peer("entry-2")})
	assert.Equal(t, s.ledger.Status(), StatusReady)
	return s
}

func wholeRoll(t *testing.T, d *documents) *session {
	p := d.publisher
	s := ready(t, d)
	s.step("the platform has the head of version 2", HeadReceived{From: platform, Head: d.v2})
	s.supplyParts(platform)
	s.step("roll 2: canary in hall-b", RollReceived{From: platform, Roll: p.canary(2, d.v2, d.v1, "hall-b", "ada", "ben")})
	assert.Equal(t, s.inForce(), uint64(1))
	third := p.all(3, d.v2, d.v1, "ada", "ben")
	s.step("entry-2 announces roll 3", SummaryReceived{From: peer("entry-2"), Summary: Summary{RollSequence: 3, RollDigest: third.Roll.Digest()}})
	s.step("roll 3: all", RollReceived{From: peer("entry-2"), Roll: third})
	assert.Equal(t, s.inForce(), uint64(2))
	abandon := p.roll(bundle.Roll{Sequence: 4, Stage: bundle.StageAbandoned}, d.v2, d.v1, "ada", "ben")
	s.step("roll 4: version 2 abandoned, too late", RollReceived{From: platform, Roll: abandon})
	assert.Equal(t, s.inForce(), uint64(2))
	return s
}

func refusals(t *testing.T, d *documents) *session {
	s := ready(t, d)
	for i, forged := range d.forgeries() {
		s.step(fmt.Sprintf("forged roll %d", i), RollReceived{From: peer("entry-9"), Roll: forged})
	}
	forged := d.publisher.build(d.v1, 668, firstSet, "ada")
	s.step("a head with one signature", HeadReceived{From: platform, Head: forged})
	_, err := bundle.DecodeRoll(d.first.Encode()[:500])
	s.step("a truncated roll", Undecodable{From: platform, Err: err})
	s.step("roll 2: all", RollReceived{From: platform, Roll: d.publisher.all(2, d.v2, d.v1, "ada", "ben")})
	part := d.publisher.partsFor(s.fetched[:1])[0]
	part.Bytes = part.Bytes[:len(part.Bytes)-1]
	s.step("a truncated part", PartsReceived{From: platform, Parts: []bundle.Part{part}})
	assert.Equal(t, s.inForce(), uint64(1))
	s.supplyParts(platform)
	assert.Equal(t, s.inForce(), uint64(2))
	s.step("roll 1 again, from a stale read", RollReceived{From: platform, Roll: d.first})
	s.step("the head of version 1 again", HeadReceived{From: platform, Head: d.v1})
	assert.Equal(t, s.inForce(), uint64(2))
	return s
}

// relayed fetches a bundle from peers while the platform is unreachable. The peer
// that first sends the roll lacks the parts itself.
func relayed(t *testing.T, d *documents) *session {
	r := d.publisher.all(2, d.v2, d.v1, "ada", "ben")
	s := ready(t, d)
	s.step("entry-2 gives roll 2", RollReceived{From: peer("entry-2"), Roll: r})
	s.step("entry-2 gives no parts", PartsReceived{From: peer("entry-2")})
	has := Summary{RollSequence: 2, RollDigest: r.Roll.Digest(), Newest: d.v2.Ref()}
	s.step("entry-3 announces roll 2, without parts", SummaryReceived{From: peer("entry-3"), Summary: has})
	has.Complete = true
	s.step("entry-3 announces roll 2, whole", SummaryReceived{From: peer("entry-3"), Summary: has})
	s.supplyParts(peer("entry-3"))
	assert.Equal(t, s.inForce(), uint64(2))
	return s
}

func halfPublished(t *testing.T, d *documents) *session {
	s := ready(t, d)
	s.step("roll 2: all, without its parts", RollReceived{From: platform, Roll: d.publisher.all(2, d.v2, d.v1, "ada", "ben")})
	s.wait(11 * time.Second)
	assert.Equal(t, s.inForce(), uint64(1))
	s.supplyParts(platform)
	assert.Equal(t, s.inForce(), uint64(2))
	assert.Equal(t, len(s.ledger.Alarms()), 0)
	return s
}

func twoBundles(t *testing.T, d *documents) *session {
	p := d.publisher
	other := p.build(d.v1, 202, firstSet, "ben", "cyd")
	s := ready(t, d)
	s.step("roll 2: version 2", RollReceived{From: platform, Roll: p.all(2, d.v2, d.v1, "ada", "ben")})
	s.supplyParts(platform)
	s.step("roll 2: another version 2", RollReceived{From: platform, Roll: p.all(2, other, d.v1, "ben", "cyd")})
	s.step("the head of the other", HeadReceived{From: platform, Head: other})
	assert.Equal(t, s.inForce(), uint64(2))
	thirdOfOther := p.build(other, 103, firstSet, "ben", "cyd")
	s.step("roll 3: version 3, which follows the other", RollReceived{From: platform, Roll: p.all(3, thirdOfOther, other, "ben", "cyd")})
	s.supplyParts(platform)
	assert.Equal(t, s.inForce(), uint64(2))
	healing := p.draft(bundle.Draft{Previous: thirdOfOther, Approvers: firstSet}, 104, "ada", "ben")
	s.step("roll 4: version 4", RollReceived{From: platform, Roll: p.all(4, healing, thirdOfOther, "ada", "ben")})
	s.supplyParts(platform)
	assert.Equal(t, s.inForce(), uint64(4))
	assert.Equal(t, len(s.ledger.Alarms()), 0)
	return s
}

func cutZone(t *testing.T, d *documents) *session {
	settings := testSettings("entry-1", "hall-a")
	settings.Isolated = IsolatedServePreload
	s := newSession(t, d.publisher, settings, platform, peer("entry-2"), engine)
	s.step("roll 1 preloaded", RollReceived{From: preload, Roll: d.first})
	s.step("its parts preloaded", PartsReceived{From: preload, Parts: d.publisher.partsFor(s.ledger.parts.missing)})
	s.step("no platform", Unreachable{From: platform})
	s.step("entry-2 is starting too", FloorReport{From: peer("entry-2")})
	s.step("an engine has seen number 2", FloorReport{From: engine, Fence: 2})
	s.wait(6 * time.Second)
	assert.Equal(t, s.ledger.Status(), StatusStarting)
	s.step("entry-2 has roll 2", FloorReport{From: peer("entry-2"), Ready: true, Roll: d.publisher.all(2, d.v2, d.v1, "ada", "ben")})
	s.supplyParts(peer("entry-2"))
	assert.Equal(t, s.ledger.Status(), StatusReady)
	assert.Equal(t, s.inForce(), uint64(2))
	return s
}

func paused(t *testing.T, d *documents) *session {
	s := ready(t, d)
	s.now = s.now.Add(time.Minute)
	s.step("a tick after a minute's pause", Tick{})
	assert.Equal(t, s.ledger.Status(), StatusRechecking)
	s.step("an answer from before the pause", FloorReport{From: platform, Roll: d.first})
	s.step("the platform has roll 2", FloorReport{From: platform, Round: 1, Roll: d.publisher.all(2, d.v2, d.v1, "ada", "ben")})
	s.supplyParts(platform)
	assert.Equal(t, s.inForce(), uint64(1), "version changed before all sources had answered")
	s.step("entry-2 has roll 1", FloorReport{From: peer("entry-2"), Round: 1, Ready: true, Roll: d.first})
	assert.Equal(t, s.inForce(), uint64(2))
	assert.Equal(t, s.ledger.Status(), StatusReady)
	return s
}

// farBehind takes an instance from version 1 to version 9, across a rotation of
// the approvers, without any of the intermediate documents.
func farBehind(t *testing.T, d *documents) *session {
	p := d.publisher
	s := ready(t, d)
	head := p.build(d.v3, 104, withEpoch(secondSet, 2), "ada", "ben", "dan", "eve")
	for version := 5; version <= 9; version++ {
		head = p.build(head, 100+version, secondSet, "dan", "eve")
	}
	r := p.all(12, head, nil, "eve", "fay")
	s.step("roll 12: version 9, with no base", RollReceived{From: platform, Roll: r})
	r = p.all(13, head, d.v3, "eve", "fay")
	s.step("roll 13: version 9", RollReceived{From: platform, Roll: r})
	s.supplyParts(platform)
	assert.Equal(t, s.inForce(), uint64(9))
	byOld := p.build(head, 110, firstSet, "ada", "ben", "cyd")
	s.step("roll 14, by the approvers that were replaced", RollReceived{From: platform, Roll: p.all(14, byOld, head, "ada", "ben", "cyd")})
	assert.Equal(t, s.inForce(), uint64(9))
	return s
}

// baseInForce starts an instance while a canary that covers it is published only in
// part, so that the roll's base is put into force until the parts arrive.
func baseInForce(t *testing.T, d *documents) *session {
	p := d.publisher
	canary := p.canary(2, d.v2, d.v1, "hall-a", "ada", "ben")
	s := newSession(t, p, testSettings("entry-1", "hall-a"), platform, peer("entry-2"))
	s.step("entry-2 has roll 2 and version 1 in force", FloorReport{From: peer("entry-2"), Ready: true, InForce: d.v1.Ref(), Roll: canary})
	for {
		missing, err := bundle.MissingParts(&d.v1.Manifest, s.ledger.parts.have)
		assert.NilError(t, err)
		if len(missing) == 0 {
			break
		}
		s.step("parts of version 1 only", PartsReceived{From: peer("entry-2"), Parts: p.partsFor(missing)})
	}
	s.step("the platform has roll 2", FloorReport{From: platform, Roll: canary})
	s.wait(9 * time.Second)
	assert.Equal(t, s.ledger.Status(), StatusStarting)
	s.wait(time.Second)
	assert.Equal(t, s.ledger.Status(), StatusReady)
	assert.Equal(t, s.inForce(), uint64(1))
	s.supplyParts(platform)
	assert.Equal(t, s.inForce(), uint64(2))
	return s
}
