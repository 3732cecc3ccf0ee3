package bundle

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Part is one content-addressed piece of a bundle.
type Part struct {
	// Digest is the digest of Bytes.
	Digest Digest
	Bytes  []byte
}

// node is the form of a part: a leaf holds entries of a section, and an index
// the digests of the parts one level below.
type node struct {
	// Level is 0 for a leaf.
	Level    int               `json:"level"`
	Entries  []json.RawMessage `json:"entries,omitempty"`
	Children []Digest          `json:"children,omitempty"`
}

// maxLevel bounds how deep a section's parts may nest.
const maxLevel = 6

// Bounds of the chunker, in bytes: a part is closed at the first boundary entry
// after its minimum, and at its maximum at the latest. docs/design/bundles.md
// has the measurement behind them.
const (
	leafMinimum  = 2 << 10
	leafMaximum  = 16 << 10
	indexMinimum = 1 << 10
	indexMaximum = 8 << 10
)

// One entry in leafSpacing, and one child in indexSpacing, is a boundary.
const (
	leafSpacing  = 8
	indexSpacing = 16
)

// item is an entry or child on its way into a part. Boundaries depend on keys
// alone, so that a change inside an entry moves none of them.
type item struct {
	key  string
	json json.RawMessage
}

// chunk cuts items into runs. Each run but the last ends with a boundary item or
// is full.
func chunk(level int, items []item) [][]item {
	minimum, maximum, spacing := leafMinimum, leafMaximum, uint64(leafSpacing)
	if level > 0 {
		minimum, maximum, spacing = indexMinimum, indexMaximum, indexSpacing
	}
	var runs [][]item
	start, size := 0, 0
	for i, it := range items {
		size += len(it.json)
		boundary := size >= minimum && boundaryHash(level, it.key)%spacing == 0
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

// boundaryHash hashes a key differently on each level: the last key of a leaf is
// a boundary there, and must not therefore be one above.
func boundaryHash(level int, key string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d %s", level, key))
}

// buildTree cuts a section's items into parts, adds them to set and returns the
// digest of the topmost.
func buildTree(items []item, set *PartSet) (Digest, error) {
	for _, it := range items {
		if len(it.json) > maxEntryBytes {
			return Digest{}, &SizeError{What: "bytes in entry " + clip(it.key), Size: len(it.json), Limit: maxEntryBytes}
		}
	}
	for level := 0; level <= maxLevel; level++ {
		var above []item
		var last Digest
		for _, run := range chunk(level, items) {
			last = set.put(encode(newNode(level, run)))
			above = append(above, item{key: lastKey(run), json: encode(last)})
		}
		if len(above) == 1 {
			return last, nil
		}
		items = above
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
		// The item was encoded from a digest by buildTree.
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

// decodeNode decodes a part and checks its form.
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
		return n, &StructureError{What: "part", Reason: "a leaf with children"}
	case n.Level > 0 && (len(n.Entries) > 0 || len(n.Children) == 0):
		return n, &StructureError{What: "part", Reason: "an index with entries, or without children"}
	}
	return n, nil
}
