package bundle

import (
	"maps"

	"github.com/wardspool/wardspool/config"
)

// Memo remembers what decoding parts gave, by digest, so that a bundle of which
// few parts changed costs the decoding of these few. It may be used with any
// sources that give a digest's own bytes only, as PartSet does. The nil Memo
// remembers nothing: it is the plain walk that the tests compare with.
//
// Contents assembled by one Memo share memory: callers must not change them. A
// Memo is not safe for concurrent use.
type Memo struct {
	forms  map[Digest]form
	leaves map[leafKey]*config.Content
}

// form is what a walk needs to know of a decoded part.
type form struct {
	level    int
	children []Digest
}

// leafKey names a leaf in a section: the same bytes could stand in two.
type leafKey struct {
	section SectionName
	digest  Digest
}

// NewMemo returns a Memo that knows nothing yet.
func NewMemo() *Memo {
	return &Memo{forms: map[Digest]form{}, leaves: map[leafKey]*config.Content{}}
}

// MissingParts is the function MissingParts, without decoding a part twice.
func (m *Memo) MissingParts(f *Manifest, source PartSource) ([]Digest, error) {
	w, err := walkParts(f, source, m)
	return w.missing, err
}

// Wanted is the function Wanted, without decoding a part twice.
func (m *Memo) Wanted(f *Manifest, source PartSource) ([]Digest, error) {
	w, err := walkParts(f, source, m)
	list := make([]Digest, 0, len(w.wanted))
	for d := range w.wanted {
		list = append(list, d)
	}
	return list, err
}

// Assemble is the function Assemble, without decoding a leaf twice. The content
// must not be changed.
func (m *Memo) Assemble(f *Manifest, source PartSource) (*config.Content, error) {
	if missing, err := m.MissingParts(f, source); err != nil {
		return nil, err
	} else if len(missing) > 0 {
		return nil, &MissingPartsError{Digests: missing}
	}
	var c config.Content
	w := &treeWalk{source: source, memo: m, wanted: map[Digest]bool{}}
	for _, s := range f.Sections {
		if err := w.walk(s.Name, s.Root, -1, &c); err != nil {
			return nil, err
		}
	}
	if err := Check(&c).Err(); err != nil {
		return nil, err
	}
	return &c, nil
}

// Keep forgets every part that keep does not hold.
func (m *Memo) Keep(keep func(Digest) bool) {
	if m == nil {
		return
	}
	maps.DeleteFunc(m.forms, func(d Digest, _ form) bool { return !keep(d) })
	maps.DeleteFunc(m.leaves, func(k leafKey, _ *config.Content) bool { return !keep(k.digest) })
}

// form decodes a part unless its form is known.
func (m *Memo) form(d Digest, b []byte) (form, error) {
	if m != nil {
		if f, ok := m.forms[d]; ok {
			return f, nil
		}
	}
	n, err := decodeNode(b)
	if err != nil {
		return form{}, err
	}
	f := form{level: n.Level, children: n.Children}
	if m != nil {
		m.forms[d] = f
	}
	return f, nil
}

// addLeaf adds a leaf's entries to c.
func (m *Memo) addLeaf(c *config.Content, section SectionName, d Digest, b []byte) error {
	if m == nil || !section.list() {
		return readLeaf(c, section, b)
	}
	key := leafKey{section: section, digest: d}
	leaf, known := m.leaves[key]
	if !known {
		leaf = new(config.Content)
		if err := readLeaf(leaf, section, b); err != nil {
			return err
		}
		m.leaves[key] = leaf
	}
	c.Kinds = append(c.Kinds, leaf.Kinds...)
	c.Models = append(c.Models, leaf.Models...)
	c.Services = append(c.Services, leaf.Services...)
	c.Workspaces = append(c.Workspaces, leaf.Workspaces...)
	c.Upstreams = append(c.Upstreams, leaf.Upstreams...)
	return nil
}

// list reports whether the section is a list, to which each leaf adds entries of
// its own. Entries of the others are read one over the other.
func (n SectionName) list() bool { return n != SectionDeployment && n != SectionPolicy }

// readLeaf decodes a leaf's entries into c.
func readLeaf(c *config.Content, section SectionName, b []byte) error {
	n, err := decodeNode(b)
	if err != nil {
		return err
	}
	each := sectionReader(c, section)
	for _, entry := range n.Entries {
		if err := each(entry); err != nil {
			return err
		}
	}
	return nil
}
