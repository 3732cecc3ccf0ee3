package bundle

import (
	"encoding/json"
	"fmt"

	"github.com/wardspool/wardspool/config"
)

// maxParts bounds the parts that one bundle may have.
const maxParts = 16 << 10

// PartError reports a part that is not what its bundle needs in its place.
type PartError struct {
	Section SectionName
	Digest  Digest
	Err     error
}

// Error implements error.
func (e *PartError) Error() string {
	return fmt.Sprintf("section %s, part %s: %v", e.Section, e.Digest.Short(), e.Err)
}

// Unwrap returns the cause.
func (e *PartError) Unwrap() error { return e.Err }

// MissingPartsError reports parts that are not there. There may be more below
// them.
type MissingPartsError struct{ Digests []Digest }

// Error implements error.
func (e *MissingPartsError) Error() string {
	return fmt.Sprintf("%d parts are missing, the first is %s", len(e.Digests), e.Digests[0])
}

// treeWalk visits a bundle's parts from the sections' roots down.
type treeWalk struct {
	source  PartSource
	memo    *Memo
	missing []Digest
	// wanted holds every part seen, present or missing.
	wanted map[Digest]bool
	// visits and bytes bound the walk.
	visits, bytes int
}

// MissingParts lists the parts of a bundle that source lacks, as far as they are
// known: the parts below a missing one show once it is there. It returns a
// *PartError for a part that is there but malformed.
func MissingParts(m *Manifest, source PartSource) ([]Digest, error) {
	return (*Memo)(nil).MissingParts(m, source)
}

// Wanted lists every part of a bundle that is known from the parts that source
// has, present or missing.
func Wanted(m *Manifest, source PartSource) ([]Digest, error) {
	return (*Memo)(nil).Wanted(m, source)
}

// Assemble decodes and checks a bundle's content. It returns a
// *MissingPartsError, a *PartError, or a *FindingsError for content that fails
// its checks.
func Assemble(m *Manifest, source PartSource) (*config.Content, error) {
	return (*Memo)(nil).Assemble(m, source)
}

func walkParts(m *Manifest, source PartSource, memo *Memo) (*treeWalk, error) {
	w := &treeWalk{source: source, memo: memo, wanted: map[Digest]bool{}}
	for _, s := range m.Sections {
		if err := w.walk(s.Name, s.Root, -1, nil); err != nil {
			return w, err
		}
	}
	return w, nil
}

// walk visits the part with a digest and those below it. Its level must be that
// of the part above less one; -1 allows any. The entries of leaves are added to
// c, unless it is nil.
func (w *treeWalk) walk(section SectionName, d Digest, level int, c *config.Content) error {
	b, ok := w.source.Part(d)
	if !ok {
		if !w.wanted[d] {
			w.missing = append(w.missing, d)
		}
		w.wanted[d] = true
		return nil
	}
	w.wanted[d] = true
	f, err := w.form(d, b, level)
	if err == nil && f.level == 0 && c != nil {
		err = w.memo.addLeaf(c, section, d, b)
	}
	if err != nil {
		return &PartError{Section: section, Digest: d, Err: err}
	}
	for _, child := range f.children {
		if err := w.walk(section, child, f.level-1, c); err != nil {
			return err
		}
	}
	return nil
}

// form returns a part's form and charges it to the walk's bounds. One part may
// stand in several places, so that few parts could describe very much content.
func (w *treeWalk) form(d Digest, b []byte, level int) (form, error) {
	w.visits++
	w.bytes += len(b)
	if w.visits > maxParts {
		return form{}, &SizeError{What: "parts", Size: w.visits, Limit: maxParts}
	}
	if w.bytes > MaxContentBytes {
		return form{}, &SizeError{What: "bytes of content", Size: w.bytes, Limit: MaxContentBytes}
	}
	f, err := w.memo.form(d, b)
	if err == nil && level >= 0 && f.level != level {
		err = &StructureError{What: "part", Reason: fmt.Sprintf("level %d where %d belongs", f.level, level)}
	}
	return f, err
}

// sectionReader returns the function that adds one entry of a section to c.
func sectionReader(c *config.Content, name SectionName) func(json.RawMessage) error {
	switch name {
	case SectionDeployment:
		return func(b json.RawMessage) error { return decodeStrict(b, &c.Deployment) }
	case SectionKinds:
		return appendTo(&c.Kinds)
	case SectionModels:
		return appendTo(&c.Models)
	case SectionServices:
		return appendTo(&c.Services)
	case SectionWorkspaces:
		return appendTo(&c.Workspaces)
	case SectionUpstreams:
		return appendTo(&c.Upstreams)
	case SectionPolicy:
		return func(b json.RawMessage) error { return decodeStrict(b, &c.Policy) }
	}
	return func(json.RawMessage) error {
		return &StructureError{What: "content", Reason: fmt.Sprintf("no section %q", name)}
	}
}

func appendTo[T any](list *[]T) func(json.RawMessage) error {
	return func(b json.RawMessage) error {
		var entry T
		if err := decodeStrict(b, &entry); err != nil {
			return err
		}
		*list = append(*list, entry)
		return nil
	}
}
