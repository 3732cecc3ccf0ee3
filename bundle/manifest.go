package bundle

import (
	"crypto/ed25519"
	"fmt"
	"unicode/utf8"
)

// SectionName identifies a top-level section of the content of a bundle.
type SectionName string

// The sections, in the order in which a manifest lists them.
const (
	SectionDeployment SectionName = "deployment"
	SectionKinds      SectionName = "kinds"
	SectionModels     SectionName = "models"
	SectionServices   SectionName = "services"
	SectionWorkspaces SectionName = "workspaces"
	SectionUpstreams  SectionName = "upstreams"
	SectionPolicy     SectionName = "policy"
)

// sectionOrder is the order of a manifest's sections.
var sectionOrder = []SectionName{
	SectionDeployment, SectionKinds, SectionModels, SectionServices,
	SectionWorkspaces, SectionUpstreams, SectionPolicy,
}

// Section refers to the parts of one section.
type Section struct {
	Name SectionName `json:"name"`
	// Root is the digest of the root of the section's tree of parts.
	Root Digest `json:"root"`
}

// Manifest describes one version of a bundle. It is the document that approvers
// sign, and refers to the parts by digest.
type Manifest struct {
	Format int `json:"format"`
	// Version starts at 1 and increases by one with each manifest.
	Version uint64 `json:"version"`
	// Previous refers to the preceding manifest; it is zero for version 1.
	Previous Ref `json:"previous"`
	// Supersedes lists the digests of other signed manifests of the preceding
	// version, in case several were signed by mistake. An instance on which one
	// of them is in force accepts this version as if it had Previous in force.
	Supersedes []Digest `json:"supersedes,omitempty"`
	// Signers is the digest of the approver set whose quorum must sign.
	Signers Digest `json:"signers"`
	// Approvers is the set that signs the next version. If it differs from the
	// set of Signers, its quorum must sign this version as well.
	Approvers Approvers `json:"approvers"`
	// Note describes for operators what the version changes.
	Note string `json:"note,omitempty"`
	// Sections lists all sections of the content, in the order of sectionOrder.
	Sections []Section `json:"sections"`
}

// Digest returns the digest of the manifest's canonical form.
func (m *Manifest) Digest() Digest { return DigestOf(encode(m)) }

// Ref returns the manifest's version and digest.
func (m *Manifest) Ref() Ref { return Ref{Version: m.Version, Digest: m.Digest()} }

// Rotates reports whether the manifest replaces the approver set.
func (m *Manifest) Rotates() bool { return m.Signers != m.Approvers.Digest() }

// Follows reports whether the manifest is a valid successor of the one that ref
// refers to. It checks adjacent versions only. Versions further apart carry no
// reference to each other, and only their signatures link them.
func (m *Manifest) Follows(ref Ref) bool {
	if ref.Version+1 != m.Version {
		return true
	}
	if m.Previous.Digest == ref.Digest {
		return true
	}
	for _, d := range m.Supersedes {
		if d == ref.Digest {
			return true
		}
	}
	return false
}

// Sign signs a manifest. The caller must ensure that an approver signs at most one
// manifest for each version.
func Sign(key ed25519.PrivateKey, m *Manifest) Signature {
	return sign(key, purposeManifest, m.Digest())
}

// check validates the structure of the manifest. It does not verify signatures.
func (m *Manifest) check() error {
	bad := func(format string, args ...any) error {
		return &StructureError{What: fmt.Sprintf("manifest of version %d", m.Version), Reason: fmt.Sprintf(format, args...)}
	}
	switch {
	case m.Format != Format:
		return &FormatError{What: "manifest", Format: m.Format, Known: Format}
	case m.Version == 0:
		return bad("the version must be at least 1")
	case m.Version == 1 && !m.Previous.IsZero():
		return bad("version 1 must not name a previous version")
	case m.Version > 1 && (m.Previous.Version != m.Version-1 || m.Previous.Digest.IsZero()):
		return bad("previous must be version %d, but is %s", m.Version-1, m.Previous)
	case len(m.Supersedes) > MaxSupersedes:
		return &SizeError{What: "superseded manifests", Size: len(m.Supersedes), Limit: MaxSupersedes}
	case len(m.Note) > MaxNoteBytes || !utf8.ValidString(m.Note):
		return bad("the note must be UTF-8 of at most %d bytes", MaxNoteBytes)
	case m.Version == 1 && m.Rotates():
		return bad("version 1 must be signed by the approvers that it names")
	}
	if err := m.checkSections(); err != nil {
		return err
	}
	return m.Approvers.Check()
}

func (m *Manifest) checkSections() error {
	if len(m.Sections) != len(sectionOrder) {
		return &StructureError{What: "manifest", Reason: fmt.Sprintf("%d sections, must be %d", len(m.Sections), len(sectionOrder))}
	}
	for i, s := range m.Sections {
		if s.Name != sectionOrder[i] {
			return &StructureError{What: "manifest", Reason: fmt.Sprintf("section %d must be %q", i, sectionOrder[i])}
		}
	}
	return nil
}
