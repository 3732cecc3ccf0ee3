package bundle

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Part is a content-addressed chunk of a bundle.
type Part struct {
	// Digest is the digest of Bytes.
	Digest Digest
	Bytes  []byte
}

// node is the decoded form of a part. A leaf holds entries of a section; an index
// node holds the digests of parts one level below.
type node struct {
	// Level is 0 for a leaf.
	Level    int               `json:"level"`
	Entries  []json.RawMessage `json:"entries,omitempty"`
	Children []Digest          `json:"children,omitempty"`
}

// maxLevel is the highest level that a part of a section may have.
const maxLevel = 6

// Part sizes of the content-defined chunking, in bytes. A part ends at the first
// boundary item at or above the minimum, and at the maximum at the latest. The
// measurements behind these values are in docs/design/bundles.md.
const (
	leafMinimum  = 2 << 10
	leafMaximum  = 16 << 10
	indexMinimum = 1 << 10
	indexMaximum = 8 << 10
)

// On average, one in leafBoundaryInterval entries of a section and one in
// indexBoundaryInterval children is a boundary item.
const (
	leafBoundaryInterval  = 8
	indexBoundaryInterval = 16
)

// item is an entry or child that is to be stored in a part. Boundary items are
// selected by key only, so that a change inside an entry doesn't move boundaries.
type item struct {
	key  string
	json json.RawMessage
}

// chunk splits items into runs, one for each part. Every run except the last ends
// with a boundary item or has reached the maximum size.
func chunk(level int, items []item) [][]item {
	minimum, maximum, interval := leafMinimum, leafMaximum, uint64(leafBoundaryInterval)
	if level > 0 {
		minimum, maximum, interval = indexMinimum, indexMaximum, indexBoundaryInterval
	}
	var runs [][]item
	start, size := 0, 0
	for i, it := range items {
		size += len(it.json)
		boundary := size >= minimum && boundaryHash(level, it.key)%interval == 0
		if boundary || size >= maximum {
			runs = append(runs, items[start:i+1])
			start, size = i+1, 0
		}
	}
	if start < len(items) || len(runs) == 0 {
		runs = append(runs, items[start:])
	}
	return runs
}

// boundaryHash hashes a key together with the level. Without the level, the last
// key of a leaf, which is usually a boundary, would be one in the index above too.
func boundaryHash(level int, key string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d %s", level, key))
}

// buildTree splits the items of a section into parts, adds the parts to set and
// returns the digest of the root.
func buildTree(items []item, set *PartSet) (Digest, error) {
	for _, it := range items {
		if len(it.json) > maxEntryBytes {
			return Digest{}, &SizeError{What: "bytes in entry " + truncate(it.key), Size: len(it.json), Limit: maxEntryBytes}
		}
	}
	for level := 0; level <= maxLevel; level++ {
		var parents []item
		var last Digest
		for _, run := range chunk(level, items) {
			last = set.put(encode(newNode(level, run)))
			parents = append(parents, item{key: lastKey(run), json: encode(last)})
		}
		if len(parents) == 1 {
			return last, nil
		}
		items = parents
	}
	return Digest{}, &SizeError{What: "levels of parts", Size: maxLevel + 2, Limit: maxLevel + 1}
}

func newNode(level int, run []item) node {
	n := node{Level: level}
	for _, it := range run {
		if level == 0 {
			n.Entries = append(n.Entries, it.json)
			continue
		}
		var d Digest
		// The error is ignored: buildTree encoded the item from a digest.
		_ = json.Unmarshal(it.json, &d)
		n.Children = append(n.Children, d)
	}
	return n
}

func lastKey(run []item) string {
	if len(run) == 0 {
		return ""
	}
	return run[len(run)-1].key
}

// decodeNode decodes a part and validates its structure.
func decodeNode(b []byte) (node, error) {
	var n node
	if len(b) > MaxPartBytes {
		return n, &SizeError{What: "bytes in a part", Size: len(b), Limit: MaxPartBytes}
	}
	if err := decodeStrict(b, &n); err != nil {
		return n, err
	}
	switch {
	case n.Level < 0 || n.Level > maxLevel:
		return n, &SizeError{What: "level of a part", Size: n.Level, Limit: maxLevel}
	case n.Level == 0 && len(n.Children) > 0:
		return n, &StructureError{What: "part", Reason: "a leaf must not have children"}
	case n.Level > 0 && (len(n.Entries) > 0 || len(n.Children) == 0):
		return n, &StructureError{What: "part", Reason: "an index must have children and no entries"}
	}
	return n, nil
}
