package bundle

import (
	"fmt"
	"maps"
	"slices"
)

// PartSource looks up parts by digest.
type PartSource interface {
	// Part returns the bytes of a part, and whether the source has the part.
	Part(Digest) ([]byte, bool)
}

// PartSet is a set of parts by digest. The zero value is an empty set, ready for
// use.
type PartSet struct{ parts map[Digest][]byte }

// PartDigestError reports a part whose bytes do not match its digest: it was
// truncated, corrupted or forged in transit.
type PartDigestError struct{ Want, Have Digest }

// Error implements error.
func (e *PartDigestError) Error() string {
	return fmt.Sprintf("part %s: the bytes have digest %s", e.Want.Short(), e.Have.Short())
}

// Add adds a part. If the part does not match its digest or is too large, it adds
// nothing and returns a *PartDigestError or *SizeError.
func (s *PartSet) Add(p Part) error {
	if len(p.Bytes) > MaxPartBytes {
		return &SizeError{What: "bytes in a part", Size: len(p.Bytes), Limit: MaxPartBytes}
	}
	if have := DigestOf(p.Bytes); have != p.Digest {
		return &PartDigestError{Want: p.Digest, Have: have}
	}
	s.put(p.Bytes)
	return nil
}

func (s *PartSet) put(b []byte) Digest {
	if s.parts == nil {
		s.parts = map[Digest][]byte{}
	}
	d := DigestOf(b)
	s.parts[d] = b
	return d
}

// Part implements PartSource.
func (s *PartSet) Part(d Digest) ([]byte, bool) {
	b, ok := s.parts[d]
	return b, ok
}

// Len returns the number of parts.
func (s *PartSet) Len() int { return len(s.parts) }

// Bytes returns the total size of the parts.
func (s *PartSet) Bytes() int {
	total := 0
	for _, b := range s.parts {
		total += len(b)
	}
	return total
}

// Digests returns the digests of the parts in sorted order.
func (s *PartSet) Digests() []Digest {
	return slices.SortedFunc(maps.Keys(s.parts), func(a, b Digest) int { return slices.Compare(a[:], b[:]) })
}

// Retain removes every part for which keep returns false.
func (s *PartSet) Retain(keep func(Digest) bool) {
	maps.DeleteFunc(s.parts, func(d Digest, _ []byte) bool { return !keep(d) })
}

// Clone returns a copy of the set. The copy shares the bytes of the parts, which
// are never modified.
func (s *PartSet) Clone() *PartSet { return &PartSet{parts: maps.Clone(s.parts)} }
