package bundle

import (
	"encoding/json"
	"fmt"

	"github.com/wardspool/wardspool/config"
)

// Draft is the input from which Build makes a new bundle.
type Draft struct {
	// Previous is the head of the preceding version, nil for the first version.
	Previous *Head
	// Supersedes lists the digests of other signed manifests that have the same
	// version as Previous.
	Supersedes []Digest
	Content    *config.Content
	// Approvers is the set that signs the next version. Build sets its epoch:
	// that of Previous if the keys are unchanged, one more otherwise.
	Approvers Approvers
	// Note describes for operators what the version changes.
	Note string
}

// Build builds a bundle from a draft: its head, not yet signed, and its parts.
// The output is deterministic: the same draft gives the same bytes. It returns a
// *FindingsError for content that fails validation, an *ApproversError, a
// *SizeError or a *StructureError.
func Build(d Draft) (*Head, *PartSet, error) {
	if err := Check(d.Content).Err(); err != nil {
		return nil, nil, err
	}
	h := &Head{Signed: Signed{Manifest: Manifest{
		Format: Format, Version: 1, Supersedes: d.Supersedes, Note: d.Note,
		Approvers: d.Approvers.Sorted(),
	}}}
	h.setPrevious(d.Previous)
	parts := &PartSet{}
	for _, name := range sectionOrder {
		items, err := sectionItems(d.Content, name)
		if err != nil {
			return nil, nil, err
		}
		root, err := buildTree(items, parts)
		if err != nil {
			return nil, nil, err
		}
		h.Manifest.Sections = append(h.Manifest.Sections, Section{Name: name, Root: root})
	}
	if err := checkBuilt(h, parts); err != nil {
		return nil, nil, err
	}
	return h, parts, nil
}

// setPrevious sets the fields that derive from the preceding bundle: version,
// previous reference, signers, approver epoch and rotations.
func (h *Head) setPrevious(previous *Head) {
	m := &h.Manifest
	if previous == nil {
		m.Approvers.Epoch = max(m.Approvers.Epoch, 1)
		m.Signers = m.Approvers.Digest()
		return
	}
	before := previous.Manifest.Approvers
	m.Version = previous.Manifest.Version + 1
	m.Previous = previous.Ref()
	m.Signers = before.Digest()
	m.Approvers.Epoch = before.Epoch
	if !m.Approvers.SameKeys(before) {
		m.Approvers.Epoch++
	}
	h.Rotations = previous.nextRotations()
}

// checkBuilt checks that a built bundle is well formed and within the limits.
func checkBuilt(h *Head, parts *PartSet) error {
	if err := h.check(); err != nil {
		return err
	}
	if size := parts.Bytes(); size > MaxContentBytes {
		return &SizeError{What: "bytes of content", Size: size, Limit: MaxContentBytes}
	}
	// The head is not signed yet; the other half of the limit is left for the
	// signatures.
	if size := len(h.Encode()); size > MaxValueBytes/2 {
		return &SizeError{What: "bytes of the head", Size: size, Limit: MaxValueBytes / 2}
	}
	return nil
}

// sectionItems returns the entries of a section, each with its key and its JSON.
func sectionItems(c *config.Content, name SectionName) ([]item, error) {
	switch name {
	case SectionDeployment:
		return encodeItems([]string{c.Deployment}, func(s string) string { return s })
	case SectionKinds:
		return encodeItems(c.Kinds, func(k config.Kind) string { return k.Name })
	case SectionModels:
		return encodeItems(c.Models, func(m config.Model) string { return m.Name })
	case SectionServices:
		return encodeItems(c.Services, func(s config.Service) string { return s.Name })
	case SectionWorkspaces:
		return encodeItems(c.Workspaces, func(w config.Workspace) string { return string(w.Name) })
	case SectionUpstreams:
		return encodeItems(c.Upstreams, func(u config.Upstream) string { return string(u.ID) })
	case SectionPolicy:
		return encodeItems([]config.Policy{c.Policy}, func(config.Policy) string { return string(SectionPolicy) })
	}
	return nil, &StructureError{What: "content", Reason: fmt.Sprintf("unknown section %q", name)}
}

func encodeItems[T any](entries []T, key func(T) string) ([]item, error) {
	list := make([]item, len(entries))
	for i, e := range entries {
		b, err := json.Marshal(e)
		if err != nil {
			return nil, &StructureError{What: "entry " + truncate(key(e)), Reason: err.Error()}
		}
		list[i] = item{key: key(e), json: b}
	}
	return list, nil
}
