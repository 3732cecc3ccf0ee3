package bundle

import (
	"encoding/json"
	"fmt"

	"github.com/wardspool/wardspool/config"
)

// maxParts bounds the number of parts that one walk of a bundle visits.
const maxParts = 16 << 10

// PartError reports a part that is malformed or does not fit the place where
// its bundle refers to it.
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

// MissingPartsError reports parts that the source does not have. Parts below a
// missing one are not known yet and are not listed.
type MissingPartsError struct{ Digests []Digest }

// Error implements error.
func (e *MissingPartsError) Error() string {
	return fmt.Sprintf("%d parts are missing; first missing part: %s", len(e.Digests), e.Digests[0])
}

// treeWalk traverses the parts of a bundle, from the root of each section down
// to its leaves.
type treeWalk struct {
	source  PartSource
	cache   *PartCache
	missing []Digest
	// referenced holds the digest of every part reached, present or missing.
	referenced map[Digest]bool
	// visits and bytes count the visited parts and their size. Limits on both
	// bound the work of the walk.
	visits, bytes int
}

// MissingParts lists the parts of a bundle that source does not have. The parts
// below a missing part are found only once that part is present, so callers
// repeat the call until the list is empty. It returns a *PartError for a part
// that is present but malformed.
func MissingParts(m *Manifest, source PartSource) ([]Digest, error) {
	return (*PartCache)(nil).MissingParts(m, source)
}

// ReferencedParts lists every part of a bundle that can be reached through the
// parts that source has, whether the part itself is present or missing.
func ReferencedParts(m *Manifest, source PartSource) ([]Digest, error) {
	return (*PartCache)(nil).ReferencedParts(m, source)
}

// Assemble decodes and validates the content of a bundle. It returns a
// *MissingPartsError, a *PartError, or a *FindingsError for content that fails
// validation.
func Assemble(m *Manifest, source PartSource) (*config.Content, error) {
	return (*PartCache)(nil).Assemble(m, source)
}

func walkParts(m *Manifest, source PartSource, cache *PartCache) (*treeWalk, error) {
	w := &treeWalk{source: source, cache: cache, referenced: map[Digest]bool{}}
	for _, s := range m.Sections {
		if err := w.walk(s.Name, s.Root, -1, nil); err != nil {
			return w, err
		}
	}
	return w, nil
}

// walk visits the part with the given digest and, recursively, its children. The
// part must be at the given level, which is one below that of its parent; -1
// accepts any level. Unless c is nil, the entries of leaves are added to it.
func (w *treeWalk) walk(section SectionName, d Digest, level int, c *config.Content) error {
	b, ok := w.source.Part(d)
	if !ok {
		if !w.referenced[d] {
			w.missing = append(w.missing, d)
		}
		w.referenced[d] = true
		return nil
	}
	w.referenced[d] = true
	f, err := w.partInfo(d, b, level)
	if err == nil && f.level == 0 && c != nil {
		err = w.cache.addLeaf(c, section, d, b)
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

// partInfo returns the level and children of a part and counts the part towards
// the limits of the walk. A part may be referenced from several places and is
// counted each time; otherwise a few parts could expand to an unbounded amount of
// content.
func (w *treeWalk) partInfo(d Digest, b []byte, level int) (partInfo, error) {
	w.visits++
	w.bytes += len(b)
	if w.visits > maxParts {
		return partInfo{}, &SizeError{What: "parts", Size: w.visits, Limit: maxParts}
	}
	if w.bytes > MaxContentBytes {
		return partInfo{}, &SizeError{What: "bytes of content", Size: w.bytes, Limit: MaxContentBytes}
	}
	f, err := w.cache.partInfo(d, b)
	if err == nil && level >= 0 && f.level != level {
		err = &StructureError{What: "part", Reason: fmt.Sprintf("level is %d, must be %d", f.level, level)}
	}
	return f, err
}

// entryDecoder returns a function that decodes one entry of the named section into
// c.
func entryDecoder(c *config.Content, name SectionName) func(json.RawMessage) error {
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
		return &StructureError{What: "content", Reason: fmt.Sprintf("unknown section %q", name)}
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
