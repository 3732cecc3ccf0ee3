package bundle

import (
	"crypto/ed25519"
	"fmt"
	"unicode/utf8"
)

// SectionName names a top-level part of a bundle's content.
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

// Section points at one section's parts.
type Section struct {
	Name SectionName `json:"name"`
	// Root is the digest of the topmost part.
	Root Digest `json:"root"`
}

// Manifest is what approvers sign: one version of a bundle without its parts.
type Manifest struct {
	Format int `json:"format"`
	// Version rises by one with each manifest.
	Version uint64 `json:"version"`
	// Previous is the manifest before, zero for the first.
	Previous Ref `json:"previous"`
	// Supersedes names further signed manifests of the version before, where
	// two came to exist. An instance on which one of them is in force accepts
	// this version as if it were Previous.
	Supersedes []Digest `json:"supersedes,omitempty"`
	// Signers is the digest of the approver set whose quorum must sign.
	Signers Digest `json:"signers"`
	// Approvers is the set that signs the next version. Where it is not the
	// set of Signers, its quorum must sign this version too.
	Approvers Approvers `json:"approvers"`
	// Note says for people what the version changes.
	Note string `json:"note,omitempty"`
	// Sections lists the content's sections, in fixed order.
	Sections []Section `json:"sections"`
}

// Digest returns the digest of the manifest's canonical form.
func (m *Manifest) Digest() Digest { return DigestOf(encode(m)) }

// Ref returns the manifest's version and digest.
func (m *Manifest) Ref() Ref { return Ref{Version: m.Version, Digest: m.Digest()} }

// Rotates reports whether the manifest replaces the approver set.
func (m *Manifest) Rotates() bool { return m.Signers != m.Approvers.Digest() }

// Follows reports whether the manifest may come directly after the one that ref
// names. Versions further apart are not checked: the signatures alone join them.
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

// Sign signs a manifest. The caller sees to it that one approver signs one
// manifest of a version only.
func Sign(key ed25519.PrivateKey, m *Manifest) Signature {
	return sign(key, purposeManifest, m.Digest())
}

// check checks the manifest's structure, not its signatures.
func (m *Manifest) check() error {
	bad := func(format string, args ...any) error {
		return &StructureError{What: fmt.Sprintf("manifest of version %d", m.Version), Reason: fmt.Sprintf(format, args...)}
	}
	switch {
	case m.Format != Format:
		return &FormatError{What: "manifest", Format: m.Format, Known: Format}
	case m.Version == 0:
		return bad("versions count from 1")
	case m.Version == 1 && !m.Previous.IsZero():
		return bad("the first version has none before it")
	case m.Version > 1 && (m.Previous.Version != m.Version-1 || m.Previous.Digest.IsZero()):
		return bad("previous must name version %d, names %s", m.Version-1, m.Previous)
	case len(m.Supersedes) > MaxSupersedes:
		return &SizeError{What: "superseded manifests", Size: len(m.Supersedes), Limit: MaxSupersedes}
	case len(m.Note) > MaxNoteBytes || !utf8.ValidString(m.Note):
		return bad("the note must be UTF-8 of at most %d bytes", MaxNoteBytes)
	case m.Version == 1 && m.Rotates():
		return bad("the first version is signed by the approvers it names")
	}
	if err := m.checkSections(); err != nil {
		return err
	}
	return m.Approvers.Check()
}

func (m *Manifest) checkSections() error {
	if len(m.Sections) != len(sectionOrder) {
		return &StructureError{What: "manifest", Reason: fmt.Sprintf("%d sections, not %d", len(m.Sections), len(sectionOrder))}
	}
	for i, s := range m.Sections {
		if s.Name != sectionOrder[i] {
			return &StructureError{What: "manifest", Reason: fmt.Sprintf("section %d must be %q", i, sectionOrder[i])}
		}
	}
	return nil
}
