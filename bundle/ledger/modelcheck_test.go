package ledger

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/bundle"
	"github.com/wardspool/wardspool/bundle/modelcheck"
	"github.com/wardspool/wardspool/ident"
)

// modelLimit bounds the states of one scenario. Every scenario must be explored
// completely below it.
const modelLimit = 400_000

// documents holds the documents that the scenarios publish, and the publisher
// that built them.
type documents struct {
	publisher *publisher
	// v1 is in force at the start of most scenarios.
	v1, v2, v3 *bundle.Head
	first      *bundle.SignedRoll
}

func newDocuments(t testing.TB) *documents {
	p := newPublisher(t)
	d := &documents{publisher: p}
	d.v1 = p.build(nil, 101, firstSet, "ada", "ben")
	d.v2 = p.build(d.v1, 102, firstSet, "ada", "ben")
	d.v3 = p.build(d.v2, 103, firstSet, "ben", "cyd")
	d.first = p.all(1, d.v1, nil, "ada", "ben")
	return d
}

// forgeries returns rolls forged by an attacker who has the key of one approver
// and keys of their own.
func (d *documents) forgeries() []*bundle.SignedRoll {
	p := d.publisher
	own := p.build(nil, 666, attackers, "mal", "mat")
	short := p.build(d.v1, 667, firstSet, "ada", "mal")
	return []*bundle.SignedRoll{
		p.all(9, own, nil, "mal", "mat"),
		p.all(9, short, d.v1, "ada", "cyd"),
		p.all(9, d.v2, d.v1, "ada"),
	}
}

func scenarios(t testing.TB) ([]scenario, bundle.PartSource) {
	d := newDocuments(t)
	p := d.publisher
	halls := []ident.Zone{"hall-a", "hall-b"}
	canary := p.canary(2, d.v2, d.v1, "hall-a", "ada", "ben")
	abandoned := p.roll(bundle.Roll{Sequence: 3, Stage: bundle.StageAbandoned}, d.v2, d.v1, "ada", "ben")
	undone := p.all(4, d.v3, d.v1, "ada", "ben")
	all2 := p.all(3, d.v2, d.v1, "ada", "ben")

	v2b := p.build(d.v1, 202, firstSet, "ben", "cyd")
	v3chained := p.build(d.v2, 103, firstSet, "ada", "cyd")
	healing := p.draft(bundle.Draft{Previous: d.v2, Supersedes: []bundle.Digest{v2b.Manifest.Digest()}, Approvers: firstSet}, 103, "ada", "cyd")
	raceA := p.all(2, d.v2, d.v1, "ada", "ben")
	raceB := p.all(2, v2b, d.v1, "ben", "cyd")

	rotated := p.build(d.v1, 102, withEpoch(secondSet, 2), "ada", "ben", "dan", "eve")
	after := p.build(rotated, 103, secondSet, "dan", "fay")
	rotate := p.all(2, rotated, d.v1, "dan", "eve")
	afterRoll := p.all(3, after, rotated, "eve", "fay")

	return []scenario{
		{name: "canary then all", zones: halls, published: 1, restarts: 2, delayed: true,
			rolls: []*bundle.SignedRoll{d.first, canary, all2}},
		{name: "canary abandoned and undone", zones: halls, published: 1, restarts: 1, delayed: true,
			rolls: []*bundle.SignedRoll{d.first, canary, abandoned, undone}},
		{name: "three instances", zones: []ident.Zone{"hall-a", "hall-b", "hall-b"}, published: 1, restarts: 1, startReady: true,
			rolls: []*bundle.SignedRoll{d.first, canary, all2}},
		{name: "forged documents", zones: halls, published: 1, restarts: 1,
			rolls: []*bundle.SignedRoll{d.first, canary, all2}, forged: d.forgeries()},
		{name: "racing operators, chained", zones: halls, published: 1, restarts: 1, signedTwice: true, mayDiverge: true,
			rolls: []*bundle.SignedRoll{d.first, raceA, raceB, p.all(3, v3chained, d.v2, "ada", "ben")}},
		{name: "racing operators, healed", zones: halls, published: 1, restarts: 1, signedTwice: true,
			rolls: []*bundle.SignedRoll{d.first, raceA, raceB, p.all(3, healing, d.v2, "ada", "ben")}},
		{name: "zone cut off", zones: []ident.Zone{"hall-a", "hall-a"}, published: 1, restarts: 2,
			rolls: []*bundle.SignedRoll{d.first, all2}, preload: d.first, cut: []int{0}, fencing: true},
		{name: "approvers rotated", zones: halls, published: 1, restarts: 2,
			rolls: []*bundle.SignedRoll{d.first, rotate, afterRoll}},
	}, p
}

func withEpoch(a bundle.Approvers, epoch uint64) bundle.Approvers {
	a.Epoch = epoch
	return a
}

// explore checks a scenario with one guard disabled for one invariant, or for all
// if only is empty.
func explore(s scenario, disabled guard, only invariant, parts bundle.PartSource) modelcheck.Result {
	m := &model{scenario: s, disabledGuard: disabled, only: only, checker: modelChecker(parts)}
	return modelcheck.Explore(modelcheck.Model[*modelState]{Start: m.start(), Key: m.key, Next: m.next, Limit: modelLimit})
}

// With every guard enabled, every invariant holds in every reachable state of
// every scenario.
func TestPromisesHold(t *testing.T) {
	all, parts := scenarios(t)
	for _, s := range all {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			r := explore(s, noGuard, "", parts)
			if r.Violation != nil {
				t.Fatal(r.Violation)
			}
			assert.Assert(t, r.Complete, "more than %d states", modelLimit)
			t.Logf("%d states, %d steps, depth %d", r.States, r.Steps, r.Depth)
		})
	}
}

// Each guard is necessary: with it disabled, some invariant is violated.
func TestEachGuardIsNeeded(t *testing.T) {
	tests := []struct {
		name     string
		disabled guard
		scenario string
		violated invariant
	}{
		{"rising", guardMonotonic, "canary abandoned and undone", monotonic},
		{"manifest", guardManifest, "forged documents", onlyRolled},
		{"manifest and split", guardManifest, "forged documents", noSplit},
		{"roll", guardRoll, "forged documents", onlyRolled},
		{"order", guardOrder, "canary abandoned and undone", noAbandoned},
		{"order and floor", guardOrder, "canary then all", peersFloor},
		{"coverage", guardCoverage, "canary then all", onlyRolled},
		{"abandoned", guardAbandoned, "canary abandoned and undone", noAbandoned},
		{"chain", guardChain, "racing operators, chained", chained},
		{"answers", guardAnswers, "canary then all", peersFloor},
		{"evidence", guardAuthoritative, "zone cut off", notReadyIsolated},
		{"fence", guardFence, "zone cut off", fencesFloor},
		{"conflict", guardConflict, "racing operators, healed", splitAlarm},
	}
	byName := map[string]scenario{}
	all, parts := scenarios(t)
	for _, s := range all {
		byName[s.name] = s
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := explore(byName[tc.scenario], tc.disabled, tc.violated, parts)
			assert.Assert(t, r.Violation != nil, "no invariant was violated in %d states", r.States)
			var found *violation
			assert.Assert(t, errors.As(r.Violation.Err, &found))
			assert.Equal(t, found.invariant, tc.violated)
			t.Logf("after %d states, %d steps: %v", r.States, len(r.Violation.Trace), r.Violation)
		})
	}
}
