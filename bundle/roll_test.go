package bundle

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wardspool/wardspool/ident"
)

func testRoll(t testing.TB, r Roll, target, base *Head, signers ...string) *SignedRoll {
	t.Helper()
	r.Format = Format
	r.Target = target.Ref()
	s := &SignedRoll{Target: *target, Base: base}
	if base != nil {
		r.Base = base.Ref()
	}
	s.Roll = r
	assert.NilError(t, s.check())
	for _, name := range signers {
		s.AddSignature(SignRoll(testKey(name), &s.Roll))
	}
	return s
}

func TestVerifyRoll(t *testing.T) {
	heads := rotationChain(t)
	all := Roll{Sequence: 1, Stage: StageAll}
	var tooFew *TooFewSignaturesError
	assert.NilError(t, VerifyRoll(testRoll(t, all, heads[0], nil, "ada", "ben"), oldSet))
	assert.Assert(t, errors.As(VerifyRoll(testRoll(t, all, heads[0], nil, "ada"), oldSet), &tooFew))

	// A roll of the version that replaces the approvers must be signed by the new
	// approvers: distrust of the old ones may be the reason for the rotation.
	assert.Assert(t, errors.As(VerifyRoll(testRoll(t, all, heads[1], heads[0], "ada", "ben"), oldSet), &tooFew))
	rotating := testRoll(t, all, heads[1], heads[0], "dan", "eve")
	assert.NilError(t, VerifyRoll(rotating, oldSet))
	assert.NilError(t, VerifyRoll(rotating, newSet))

	// A signature on a manifest must not be valid for a roll.
	forged := testRoll(t, all, heads[0], nil)
	forged.Signatures = heads[0].Signatures
	assert.Assert(t, errors.As(VerifyRoll(forged, oldSet), &tooFew))
}

func TestRollStructure(t *testing.T) {
	heads := rotationChain(t)
	good := func() *SignedRoll {
		return testRoll(t, Roll{Sequence: 3, Stage: StageCanary, Share: 100, Zones: []ident.Zone{"hall-a"}}, heads[1], heads[0])
	}
	tests := []struct {
		name   string
		change func(*SignedRoll)
	}{
		{"no sequence", func(s *SignedRoll) { s.Roll.Sequence = 0 }},
		{"unknown stage", func(s *SignedRoll) { s.Roll.Stage = "some" }},
		{"canary of no share", func(s *SignedRoll) { s.Roll.Share = 0 }},
		{"canary of more than all", func(s *SignedRoll) { s.Roll.Share = FullShare + 1 }},
		{"all with zones", func(s *SignedRoll) { s.Roll.Stage = StageAll }},
		{"bad zone", func(s *SignedRoll) { s.Roll.Zones = []ident.Zone{"Hall A"} }},
		{"zone twice", func(s *SignedRoll) { s.Roll.Zones = []ident.Zone{"hall-a", "hall-a"} }},
		{"base as new as target", func(s *SignedRoll) { s.Roll.Base = s.Roll.Target }},
		{"other target head", func(s *SignedRoll) { s.Target = *heads[2] }},
		{"no base head", func(s *SignedRoll) { s.Base = nil }},
		{"other base head", func(s *SignedRoll) { s.Base = heads[2] }},
	}
	assert.NilError(t, good().check())
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := good()
			tc.change(s)
			var bad *DecodeError
			_, err := DecodeRoll(s.Encode())
			assert.Assert(t, errors.As(err, &bad))
		})
	}
	_, err := DecodeRoll(good().Encode())
	assert.NilError(t, err)
}

func TestCheckOrder(t *testing.T) {
	ref := func(v uint64) Ref { return Ref{Version: v, Digest: DigestOf(fmt.Append(nil, v))} }
	canary := Roll{Sequence: 5, Base: ref(4), Target: ref(6), Stage: StageCanary, Share: 10}
	all := Roll{Sequence: 5, Base: ref(4), Target: ref(6), Stage: StageAll}
	abandoned := Roll{Sequence: 5, Base: ref(4), Target: ref(6), Stage: StageAbandoned}
	tests := []struct {
		name   string
		before Roll
		next   Roll
		ok     bool
	}{
		{"widened", canary, Roll{Sequence: 6, Base: ref(4), Target: ref(6), Stage: StageCanary, Share: 20}, true},
		{"to all", canary, Roll{Sequence: 6, Base: ref(4), Target: ref(6), Stage: StageAll}, true},
		{"abandoned", canary, Roll{Sequence: 6, Base: ref(4), Target: ref(6), Stage: StageAbandoned}, true},
		{"replayed", canary, canary, false},
		{"older sequence", canary, Roll{Sequence: 4, Base: ref(4), Target: ref(6), Stage: StageAll}, false},
		{"older target", canary, Roll{Sequence: 6, Base: ref(4), Target: ref(5), Stage: StageAll}, false},
		{"older base", canary, Roll{Sequence: 6, Base: ref(3), Target: ref(6), Stage: StageAll}, false},
		{"abandon what is everywhere", all, Roll{Sequence: 6, Base: ref(4), Target: ref(6), Stage: StageAbandoned}, false},
		{"reopen what is abandoned", abandoned, Roll{Sequence: 6, Base: ref(4), Target: ref(6), Stage: StageAll}, false},
		{"next after all", all, Roll{Sequence: 6, Base: ref(6), Target: ref(7), Stage: StageAll}, true},
		{"next after all on an old base", all, Roll{Sequence: 6, Base: ref(4), Target: ref(7), Stage: StageCanary, Share: 1}, false},
		{"next after abandoned", abandoned, Roll{Sequence: 6, Base: ref(4), Target: ref(7), Stage: StageAll}, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.before.CheckOrder(&tc.next)
			if tc.ok {
				assert.NilError(t, err)
				return
			}
			var order *RollOrderError
			assert.Assert(t, errors.As(err, &order))
		})
	}
}

// Widening the share of a canary must only add instances, and the fraction of
// instances covered must be close to the share.
func TestShareOnlyGrows(t *testing.T) {
	target := Ref{Version: 9}
	covered := 0
	for i := range 2000 {
		id := ident.InstanceID(fmt.Sprintf("entry-%d", i))
		before := false
		for _, share := range []int{1, 10, 100, 500, 1000} {
			r := Roll{Target: target, Stage: StageCanary, Share: share}
			now := r.Covers(id, "hall-a")
			assert.Assert(t, now || !before)
			before = now
			if share == 100 && now {
				covered++
			}
		}
		assert.Assert(t, before, "a full share must cover every instance")
	}
	assert.Assert(t, covered > 150 && covered < 250, "covered %d of 2000 instances at a share of 100, want 151 to 249", covered)
}
