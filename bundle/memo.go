package bundle

import (
	"maps"

	"github.com/wardspool/wardspool/config"
)

// PartCache caches decoded parts by digest, so that for a new bundle version only
// the changed parts have to be decoded. It does not verify digests: every source
// that it is used with must return bytes that match the requested digest, as
// PartSet does. A nil PartCache is valid and caches nothing; tests compare against it.
//
// Contents assembled by the same PartCache share memory and must not be modified.
// A PartCache is not safe for concurrent use.
type PartCache struct {
	infos  map[Digest]partInfo
	leaves map[leafKey]*config.Content
}

// partInfo holds the structure of a decoded part, as far as a walk needs it.
type partInfo struct {
	level    int
	children []Digest
}

// leafKey identifies a leaf within a section. Two sections may contain a leaf with
// the same bytes, which decode to entries of different types.
type leafKey struct {
	section SectionName
	digest  Digest
}

// NewPartCache returns an empty PartCache.
func NewPartCache() *PartCache {
	return &PartCache{infos: map[Digest]partInfo{}, leaves: map[leafKey]*config.Content{}}
}

// MissingParts is like the function MissingParts, but decodes each part only once.
func (p *PartCache) MissingParts(f *Manifest, source PartSource) ([]Digest, error) {
	w, err := walkParts(f, source, p)
	return w.missing, err
}

// ReferencedParts is like the function ReferencedParts, but decodes each part only once.
func (p *PartCache) ReferencedParts(f *Manifest, source PartSource) ([]Digest, error) {
	w, err := walkParts(f, source, p)
	list := make([]Digest, 0, len(w.referenced))
	for d := range w.referenced {
		list = append(list, d)
	}
	return list, err
}

// Assemble is like the function Assemble, but decodes each leaf of a list section
// only once. The returned content must not be modified.
func (p *PartCache) Assemble(f *Manifest, source PartSource) (*config.Content, error) {
	if missing, err := p.MissingParts(f, source); err != nil {
		return nil, err
	} else if len(missing) > 0 {
		return nil, &MissingPartsError{Digests: missing}
	}
	var c config.Content
	w := &treeWalk{source: source, cache: p, referenced: map[Digest]bool{}}
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

// Retain evicts every part for which keep returns false.
func (p *PartCache) Retain(keep func(Digest) bool) {
	if p == nil {
		return
	}
	maps.DeleteFunc(p.infos, func(d Digest, _ partInfo) bool { return !keep(d) })
	maps.DeleteFunc(p.leaves, func(k leafKey, _ *config.Content) bool { return !keep(k.digest) })
}

// partInfo returns the structure of a part. It decodes the part if it is not
// cached.
func (p *PartCache) partInfo(d Digest, b []byte) (partInfo, error) {
	if p != nil {
		if f, ok := p.infos[d]; ok {
			return f, nil
		}
	}
	n, err := decodeNode(b)
	if err != nil {
		return partInfo{}, err
	}
	f := partInfo{level: n.Level, children: n.Children}
	if p != nil {
		p.infos[d] = f
	}
	return f, nil
}

// addLeaf adds the entries of a leaf to c. It decodes the leaf if it is not cached.
func (p *PartCache) addLeaf(c *config.Content, section SectionName, d Digest, b []byte) error {
	if p == nil || !section.isList() {
		return decodeLeaf(c, section, b)
	}
	key := leafKey{section: section, digest: d}
	leaf, known := p.leaves[key]
	if !known {
		leaf = new(config.Content)
		if err := decodeLeaf(leaf, section, b); err != nil {
			return err
		}
		p.leaves[key] = leaf
	}
	c.Kinds = append(c.Kinds, leaf.Kinds...)
	c.Models = append(c.Models, leaf.Models...)
	c.Services = append(c.Services, leaf.Services...)
	c.Workspaces = append(c.Workspaces, leaf.Workspaces...)
	c.Upstreams = append(c.Upstreams, leaf.Upstreams...)
	return nil
}

// isList reports whether the section is a list, to which each leaf appends entries.
// Each of the other sections is a single value that every entry decodes into, so
// their leaves cannot be cached separately.
func (n SectionName) isList() bool { return n != SectionDeployment && n != SectionPolicy }

// decodeLeaf decodes the entries of a leaf into c.
func decodeLeaf(c *config.Content, section SectionName, b []byte) error {
	n, err := decodeNode(b)
	if err != nil {
		return err
	}
	decodeEntry := entryDecoder(c, section)
	for _, entry := range n.Entries {
		if err := decodeEntry(entry); err != nil {
			return err
		}
	}
	return nil
}
