package platform

import (
	"sort"
	"strings"
	"time"
)

// maxHistoryBytes bounds the total size of the versions kept of one key, in bytes. The latest
// minVersions are kept regardless.
const maxHistoryBytes = 8 << 20

// minVersions is the number of versions of a key that are always kept: the latest one and the
// one before it.
const minVersions = 2

// store holds the versions of all keys. It is guarded by the platform's mutex.
type store struct {
	index uint64 // of the last write
	keys  map[string][]version
}

// version is the value of a key as of one write. The versions of a key are stored oldest
// first. A deletion is a version without a value.
type version struct {
	index   uint64
	written time.Time
	value   []byte
	deleted bool
}

// view determines which versions are visible to a reader.
type view struct {
	// now is the time of the read. Versions written later than now minus the key's lag
	// are not visible.
	now time.Time
	lag func(key string) time.Duration
	// maxIndex hides versions with a higher index; 0 hides none.
	maxIndex uint64
}

// newStore returns an empty store.
func newStore() *store { return &store{keys: make(map[string][]version)} }

// put writes a value and returns the index of the write.
func (s *store) put(key string, value []byte, now time.Time) uint64 {
	return s.write(key, version{value: value, written: now})
}

// remove deletes a key and returns the index of the deletion.
func (s *store) remove(key string, now time.Time) uint64 {
	return s.write(key, version{deleted: true, written: now})
}

// write adds a version to a key, removes versions beyond the limits, and returns the index.
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

// get returns the version of a key that is visible in a view, and when the next version
// becomes visible because of the lag (zero if none does). If no version is visible, the
// result has index 0 and is deleted.
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

// list returns the keys with a prefix that are visible in a view, sorted.
func (s *store) list(prefix string, v view) []ListedKey {
	out := []ListedKey{}
	for key := range s.keys {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if seen, _ := s.get(key, v); !seen.deleted {
			out = append(out, ListedKey{Key: key, Index: seen.index})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}
