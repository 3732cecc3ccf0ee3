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

// Head is the document that publishes a bundle. It holds the signed manifest of
// the bundle and the earlier signed manifests that replaced the approver set. An
// instance that trusts the approvers of any version since the oldest listed
// rotation can verify the head without the versions in between.
type Head struct {
	Signed
	// Rotations is sorted by version.
	Rotations []Signed `json:"rotations,omitempty"`
}

// Ref returns the version and digest of the head's manifest.
func (h *Head) Ref() Ref { return h.Manifest.Ref() }

// UntrustedError reports a manifest whose approvers are not linked by a chain of
// rotations to the approvers that an instance trusts.
type UntrustedError struct {
	// Version is the version of the manifest.
	Version uint64
	// TrustedEpoch is the epoch of the trusted approvers, and Epoch that of the
	// approvers in the manifest.
	TrustedEpoch, Epoch uint64
}

// Error implements error.
func (e *UntrustedError) Error() string {
	return fmt.Sprintf("version %d names approvers of epoch %d, and no chain of rotations leads there from the trusted epoch %d", e.Version, e.Epoch, e.TrustedEpoch)
}

// Encode returns the head's canonical form.
func (h *Head) Encode() []byte { return encode(h) }

// DecodeHead decodes the output of Head.Encode. It checks structure and limits and
// returns a *DecodeError; it does not verify signatures.
func DecodeHead(b []byte) (*Head, error) {
	var h Head
	if err := decodeDocument("bundle head", b, &h); err != nil {
		return nil, err
	}
	return &h, nil
}

// AddSignature adds a signature to the manifest of the head. It replaces an earlier
// signature by the same key.
func (h *Head) AddSignature(s Signature) { h.Signatures = addSignature(h.Signatures, s) }

// Tally counts the signatures on the head's manifest against an approver set.
func (h *Head) Tally(a Approvers) Tally {
	return countSignatures(a, purposeManifest, h.Manifest.Digest(), h.Signatures)
}

// Verify verifies that a chain of rotations leads from the trusted approvers to
// the head. Each rotation must be signed by a quorum of the approvers before it and
// by a quorum of the approvers that it introduces. Verify then verifies the head
// itself. It returns an *UntrustedError or *TooFewSignaturesError.
//
// If the manifest of the head is the one that introduced the trusted set, a quorum
// of that set is sufficient: an instance that already has the new approvers in its
// settings does not know the old ones.
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

// verifyStep verifies one manifest of the chain, given the approvers that are
// trusted before it.
func verifyStep(s *Signed, trusted Approvers) error {
	m := &s.Manifest
	digest := m.Digest()
	what := fmt.Sprintf("manifest of version %d", m.Version)
	before, after := trusted.Digest(), m.Approvers.Digest()
	switch {
	case after == before:
		return requireQuorum(what, trusted, purposeManifest, digest, s.Signatures)
	case m.Signers != before || m.Approvers.Epoch != trusted.Epoch+1:
		return &UntrustedError{Version: m.Version, TrustedEpoch: trusted.Epoch, Epoch: m.Approvers.Epoch}
	}
	if err := requireQuorum(what, trusted, purposeManifest, digest, s.Signatures); err != nil {
		return err
	}
	return requireQuorum(what, m.Approvers, purposeManifest, digest, s.Signatures)
}

// nextRotations returns the rotations that the head of the next version carries:
// the last MaxRotations up to and including h.
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
		return bad("the manifest does not replace the approvers")
	case r.Manifest.Version >= next.Version:
		return bad("the version must be lower than that of the next manifest in the chain")
	case next.Signers != r.Manifest.Approvers.Digest():
		return bad("the next manifest in the chain names other approvers as its signers")
	case !next.Follows(r.Manifest.Ref()):
		return bad("the next version names another manifest as its previous one")
	}
	return nil
}

func (s *Signed) check() error {
	if len(s.Signatures) > MaxSignatures {
		return &SizeError{What: "signatures", Size: len(s.Signatures), Limit: MaxSignatures}
	}
	return s.Manifest.check()
}
