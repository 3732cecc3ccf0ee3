package platform

import (
	"sort"
	"strings"
	"time"
)

// maxHistoryBytes bounds the old versions kept of one key, in bytes; at least
// the version in force and the one before it are always kept.
const maxHistoryBytes = 8 << 20

// minVersions is how many versions of a key are always kept.
const minVersions = 2

// store holds the versions of all keys. It is guarded by the platform's mutex.
type store struct {
	index uint64 // of the last write
	keys  map[string][]version
}

// version is a value that a key had from a time on, oldest first. A deleted key
// has a version without a value.
type version struct {
	index   uint64
	written time.Time
	value   []byte
	deleted bool
}

// view says which versions a reader sees.
type view struct {
	// now is the reader's time; versions written later than now less the
	// key's lag aren't seen.
	now time.Time
	lag func(key string) time.Duration
	// maxIndex hides newer versions; 0 hides none.
	maxIndex uint64
}

// newStore returns an empty store.
func newStore() *store { return &store{keys: make(map[string][]version)} }

// put writes a value and returns its index.
func (s *store) put(key string, value []byte, now time.Time) uint64 {
	return s.write(key, version{value: value, written: now})
}

// remove deletes a key and returns the index of the deletion.
func (s *store) remove(key string, now time.Time) uint64 {
	return s.write(key, version{deleted: true, written: now})
}

// write adds a version to a key.
func (s *store) write(key string, v version) uint64 {
	s.index++
	v.index = s.index
	versions := append(s.keys[key], v)
	size := 0
	for i := len(versions) - 1; i >= 0; i-- {
		size += len(versions[i].value)
		if size > maxHistoryBytes && len(versions)-i > minVersions {
			versions = versions[i+1:]
			break
		}
	}
	s.keys[key] = versions
	return s.index
}

// get returns the version of a key that a view shows, and when the next one
// becomes visible (zero if none will by time alone). A key that the view
// doesn't show has index 0 and counts as deleted.
func (s *store) get(key string, v view) (seen version, next time.Time) {
	seen.deleted = true
	lag := v.lag(key)
	for _, candidate := range s.keys[key] {
		if v.maxIndex > 0 && candidate.index > v.maxIndex {
			break
		}
		visible := candidate.written.Add(lag)
		if visible.After(v.now) {
			return seen, visible
		}
		seen = candidate
	}
	return seen, time.Time{}
}

// list returns the keys with a prefix that a view shows, sorted.
func (s *store) list(prefix string, v view) []Entry {
	out := []Entry{}
	for key := range s.keys {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if seen, _ := s.get(key, v); !seen.deleted {
			out = append(out, Entry{Key: key, Index: seen.index})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}
