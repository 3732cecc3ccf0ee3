package bundle

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// rotationChain builds versions 1 to 4. Version 2 replaces oldSet by newSet.
func rotationChain(t *testing.T) []*Head {
	v1, _ := testBuild(t, Draft{Approvers: oldSet}, "ada", "ben")
	v2, _ := testBuild(t, Draft{Previous: v1, Approvers: newSet}, "ada", "cyd", "dan", "eve")
	v3, _ := testBuild(t, Draft{Previous: v2, Approvers: newSet}, "dan", "fay")
	v4, _ := testBuild(t, Draft{Previous: v3, Approvers: newSet}, "eve", "fay")
	return []*Head{v1, v2, v3, v4}
}

func TestVerifyWalksRotations(t *testing.T) {
	heads := rotationChain(t)
	for _, h := range heads {
		assert.NilError(t, Verify(h, oldSet), "verifying version %d against the old approvers", h.Manifest.Version)
	}
	for _, h := range heads[1:] {
		assert.NilError(t, Verify(h, newSet), "verifying version %d against the new approvers", h.Manifest.Version)
	}
	var untrusted *UntrustedError
	assert.Assert(t, errors.As(Verify(heads[0], newSet), &untrusted), "a version older than the rotation must not verify against the new approvers")
	other := testApprovers(1, 1, "mal")
	assert.Assert(t, errors.As(Verify(heads[3], other), &untrusted))
}

func TestVerifyRefuses(t *testing.T) {
	v1, _ := testBuild(t, Draft{Approvers: oldSet}, "ada", "ben")
	tests := []struct {
		name     string
		draft    Draft
		signers  []string
		change   func(*Head)
		rejected []RejectReason
		valid    int
	}{
		{name: "no signature"},
		{name: "one signature", signers: []string{"ada"}, valid: 1},
		{name: "one approver twice", signers: []string{"ada"}, valid: 1,
			change:   func(h *Head) { h.Signatures = append(h.Signatures, h.Signatures[0]) },
			rejected: []RejectReason{RejectDuplicate}},
		{name: "an unknown key", signers: []string{"ada", "mal"}, valid: 1,
			rejected: []RejectReason{RejectUnknownKey}},
		{name: "changed after signing", signers: []string{"ada", "ben"},
			change:   func(h *Head) { h.Manifest.Note = "forged" },
			rejected: []RejectReason{RejectBadSignature, RejectBadSignature}},
		{name: "signatures of another version", signers: []string{"ada", "ben"},
			change:   func(h *Head) { h.Signatures = v1.Signatures },
			rejected: []RejectReason{RejectBadSignature, RejectBadSignature}},
		{name: "rotation by the old set alone", draft: Draft{Approvers: newSet},
			signers: []string{"ada", "ben"}, rejected: []RejectReason{RejectUnknownKey, RejectUnknownKey}},
		{name: "rotation by the new set alone", draft: Draft{Approvers: newSet},
			signers: []string{"dan", "eve"}, rejected: []RejectReason{RejectUnknownKey, RejectUnknownKey}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tc.draft.Previous = v1
			if len(tc.draft.Approvers.Keys) == 0 {
				tc.draft.Approvers = oldSet
			}
			h, _ := testBuild(t, tc.draft, tc.signers...)
			if tc.change != nil {
				tc.change(h)
			}
			var tooFew *TooFewSignaturesError
			assert.Assert(t, errors.As(Verify(h, oldSet), &tooFew))
			assert.Equal(t, tooFew.Valid, tc.valid)
			assert.Equal(t, len(tooFew.Rejected), len(tc.rejected))
			for i, r := range tooFew.Rejected {
				assert.Equal(t, r.Reason, tc.rejected[i])
			}
		})
	}
}

// An unknown or invalid signature must not invalidate a document that a quorum
// signed, because anyone who relays the document could add one.
func TestVerifyIgnoresFurtherSignatures(t *testing.T) {
	h, _ := testBuild(t, Draft{Approvers: oldSet}, "mal", "ada", "ben", "cyd")
	h.Signatures[3].Value[0] ^= 1
	assert.NilError(t, Verify(h, oldSet))
}

// A head without one of its rotations must not verify: the rotation is the only
// proof that the new approvers are legitimate.
func TestVerifyNeedsEveryRotation(t *testing.T) {
	heads := rotationChain(t)
	third := testApprovers(3, 1, "gus")
	v5, _ := testBuild(t, Draft{Previous: heads[3], Approvers: third}, "dan", "eve", "gus")
	v6, _ := testBuild(t, Draft{Previous: v5, Approvers: third}, "gus")
	assert.Equal(t, len(v6.Rotations), 2)
	assert.NilError(t, Verify(v6, oldSet))
	v6.Rotations = v6.Rotations[1:]
	var untrusted *UntrustedError
	assert.Assert(t, errors.As(Verify(v6, oldSet), &untrusted))
	assert.NilError(t, Verify(v6, newSet))
}

func TestFollows(t *testing.T) {
	v1, _ := testBuild(t, Draft{Approvers: oldSet})
	v1b, _ := testBuild(t, Draft{Approvers: oldSet, Note: "another"})
	v2, _ := testBuild(t, Draft{Previous: v1, Approvers: oldSet})
	superseding, _ := testBuild(t, Draft{Previous: v1, Supersedes: []Digest{v1b.Manifest.Digest()}, Approvers: oldSet})
	v3, _ := testBuild(t, Draft{Previous: v2, Approvers: oldSet})
	assert.Assert(t, v2.Manifest.Follows(v1.Ref()))
	assert.Assert(t, !v2.Manifest.Follows(v1b.Ref()))
	assert.Assert(t, superseding.Manifest.Follows(v1b.Ref()))
	assert.Assert(t, v3.Manifest.Follows(v1b.Ref()), "Follows must not check versions further apart")
}

func TestApproversCheck(t *testing.T) {
	tests := []struct {
		name string
		set  Approvers
	}{
		{"no epoch", testApprovers(0, 1, "ada")},
		{"no keys", Approvers{Epoch: 1, Quorum: 1}},
		{"no quorum", testApprovers(1, 0, "ada")},
		{"half is no majority", testApprovers(1, 2, "ada", "ben", "cyd", "dan")},
		{"more than all", testApprovers(1, 3, "ada", "ben")},
		{"one name twice", testApprovers(1, 2, "ada", "ada")},
		{"bad name", testApprovers(1, 1, "Ada!")},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var bad *ApproversError
			assert.Assert(t, errors.As(tc.set.Check(), &bad))
		})
	}
	twice := testApprovers(1, 2, "ada", "ben")
	twice.Keys[1].Key = twice.Keys[0].Key
	var bad *ApproversError
	assert.Assert(t, errors.As(twice.Check(), &bad), "a key listed under two names could reach the quorum alone")
	assert.NilError(t, oldSet.Check())
}
