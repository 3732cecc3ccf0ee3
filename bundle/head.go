package bundle

import (
	"fmt"
	"slices"
)

// Signed is a manifest with its signatures.
type Signed struct {
	Manifest   Manifest    `json:"manifest"`
	Signatures []Signature `json:"signatures"`
}

// Head is the document that publishes a bundle: its signed manifest and the
// signed manifests that replaced approver sets before it. An instance that
// trusts the approvers of any version since the oldest rotation listed can
// verify it without the versions between.
type Head struct {
	Signed
	// Rotations is in order of version.
	Rotations []Signed `json:"rotations,omitempty"`
}

// Ref returns the version and digest of the head's manifest.
func (h *Head) Ref() Ref { return h.Manifest.Ref() }

// UntrustedError reports a manifest that no chain of rotations joins to the
// approvers that an instance trusts.
type UntrustedError struct {
	// Version is the manifest's.
	Version uint64
	// TrustedEpoch is the epoch of the approvers that the instance trusts, and
	// Epoch that of the set the manifest names.
	TrustedEpoch, Epoch uint64
}

// Error implements error.
func (e *UntrustedError) Error() string {
	return fmt.Sprintf("version %d names approvers of epoch %d, and no chain of rotations leads there from the trusted epoch %d", e.Version, e.Epoch, e.TrustedEpoch)
}

// Encode returns the head's canonical form.
func (h *Head) Encode() []byte { return encode(h) }

// DecodeHead decodes what Head.Encode wrote. It checks structure and limits and
// returns a *DecodeError; it does not verify signatures.
func DecodeHead(b []byte) (*Head, error) {
	var h Head
	if err := decodeDocument("bundle head", b, &h); err != nil {
		return nil, err
	}
	return &h, nil
}

// AddSignature adds a signature to the head's manifest, in place of an earlier
// one by the same key.
func (h *Head) AddSignature(s Signature) { h.Signatures = addSignature(h.Signatures, s) }

// Tally counts the signatures on the head's manifest against an approver set.
func (h *Head) Tally(a Approvers) Tally {
	return tally(a, purposeManifest, h.Manifest.Digest(), h.Signatures)
}

// Verify verifies that the head descends from approvers that are trusted: it
// walks the rotations from the trusted set to the head's, each signed by the
// quorum of the set before and of its own, and then verifies the head itself.
// It returns an *UntrustedError or *TooFewSignaturesError.
//
// Where the head's manifest itself established the trusted set, its signature by
// that set's quorum suffices: an instance whose settings already hold the new
// approvers knows nothing of the old.
func Verify(h *Head, trusted Approvers) error {
	set := trusted
	for i := range h.Rotations {
		r := &h.Rotations[i]
		if r.Manifest.Approvers.Epoch <= set.Epoch {
			continue
		}
		if err := verifyStep(r, set); err != nil {
			return err
		}
		set = r.Manifest.Approvers
	}
	return verifyStep(&h.Signed, set)
}

// verifyStep verifies one manifest by the approvers trusted before it.
func verifyStep(s *Signed, trusted Approvers) error {
	m := &s.Manifest
	digest := m.Digest()
	what := fmt.Sprintf("manifest of version %d", m.Version)
	before, after := trusted.Digest(), m.Approvers.Digest()
	switch {
	case after == before:
		return quorum(what, trusted, purposeManifest, digest, s.Signatures)
	case m.Signers != before || m.Approvers.Epoch != trusted.Epoch+1:
		return &UntrustedError{Version: m.Version, TrustedEpoch: trusted.Epoch, Epoch: m.Approvers.Epoch}
	}
	if err := quorum(what, trusted, purposeManifest, digest, s.Signatures); err != nil {
		return err
	}
	return quorum(what, m.Approvers, purposeManifest, digest, s.Signatures)
}

// nextRotations returns the rotations that the head after h must carry.
func (h *Head) nextRotations() []Signed {
	if !h.Manifest.Rotates() {
		return h.Rotations
	}
	all := append(slices.Clone(h.Rotations), h.Signed)
	return all[max(0, len(all)-MaxRotations):]
}

// check checks structure and limits.
func (h *Head) check() error {
	if err := h.Signed.check(); err != nil {
		return err
	}
	if len(h.Rotations) > MaxRotations {
		return &SizeError{What: "rotations", Size: len(h.Rotations), Limit: MaxRotations}
	}
	for i := range h.Rotations {
		if err := h.checkRotation(i); err != nil {
			return err
		}
	}
	return nil
}

func (h *Head) checkRotation(i int) error {
	r := &h.Rotations[i]
	if err := r.check(); err != nil {
		return err
	}
	next := &h.Manifest
	if i+1 < len(h.Rotations) {
		next = &h.Rotations[i+1].Manifest
	}
	bad := func(reason string) error {
		return &StructureError{What: fmt.Sprintf("rotation at version %d", r.Manifest.Version), Reason: reason}
	}
	switch {
	case !r.Manifest.Rotates():
		return bad("the manifest keeps its approvers")
	case r.Manifest.Version >= next.Version:
		return bad("rotations must rise to the head's version")
	case next.Signers != r.Manifest.Approvers.Digest():
		return bad("the next manifest in the chain is signed by other approvers")
	case !next.Follows(r.Manifest.Ref()):
		return bad("the next version follows another manifest")
	}
	return nil
}

func (s *Signed) check() error {
	if len(s.Signatures) > MaxSignatures {
		return &SizeError{What: "signatures", Size: len(s.Signatures), Limit: MaxSignatures}
	}
	return s.Manifest.check()
}
