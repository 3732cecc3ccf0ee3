package bundle

import (
	"fmt"
)

// Encode returns the canonical form of the signed roll.
func (s *SignedRoll) Encode() []byte { return encode(s) }

// DecodeRoll decodes the output of SignedRoll.Encode. It checks structure and
// limits and returns a *DecodeError; it does not verify signatures.
func DecodeRoll(b []byte) (*SignedRoll, error) {
	var s SignedRoll
	if err := decodeDocument("roll", b, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Head returns the head of the bundle that ref refers to, if the roll includes it.
func (s *SignedRoll) Head(ref Ref) (*Head, bool) {
	switch {
	case ref.IsZero():
		return nil, false
	case ref == s.Roll.Target:
		return &s.Target, true
	case ref == s.Roll.Base:
		return s.Base, true
	}
	return nil, false
}

// AddSignature adds a signature to the roll. It replaces an earlier signature by
// the same key.
func (s *SignedRoll) AddSignature(sig Signature) {
	s.Signatures = addSignature(s.Signatures, sig)
}

// Tally counts the signatures on the roll against an approver set.
func (s *SignedRoll) Tally(a Approvers) Tally {
	return countSignatures(a, purposeRoll, s.Roll.Digest(), s.Signatures)
}

// VerifyRoll verifies a signed roll: a chain of rotations must lead from the
// trusted approvers to its target, and a quorum of the approvers that the
// target names must have signed the roll. The signatures of the base are not
// verified, because they may be from approvers that this instance never knew.
// The signatures on the roll cover the digest of the base.
func VerifyRoll(s *SignedRoll, trusted Approvers) error {
	if err := Verify(&s.Target, trusted); err != nil {
		return err
	}
	what := fmt.Sprintf("roll %d", s.Roll.Sequence)
	return requireQuorum(what, s.Target.Manifest.Approvers, purposeRoll, s.Roll.Digest(), s.Signatures)
}

// check checks structure and limits, and that the heads match the references in
// the roll.
func (s *SignedRoll) check() error {
	if err := s.Roll.check(); err != nil {
		return err
	}
	if len(s.Signatures) > MaxSignatures {
		return &SizeError{What: "signatures", Size: len(s.Signatures), Limit: MaxSignatures}
	}
	if err := s.Target.check(); err != nil {
		return err
	}
	bad := func(reason string) error {
		return &StructureError{What: fmt.Sprintf("roll %d", s.Roll.Sequence), Reason: reason}
	}
	if s.Target.Ref() != s.Roll.Target {
		return bad("the head of the target does not match the target reference")
	}
	if s.Roll.Base.IsZero() != (s.Base == nil) {
		return bad("the base and its head must be both present or both absent")
	}
	if s.Base == nil {
		return nil
	}
	if err := s.Base.check(); err != nil {
		return err
	}
	if s.Base.Ref() != s.Roll.Base {
		return bad("the head of the base does not match the base reference")
	}
	return nil
}
