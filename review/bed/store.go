package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store, which gateways only read.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
}

// storeItem is the last write of a key, or its removal.
type storeItem struct {
	value    []byte
	revision int64
	removed  bool
}

func newStore() *store { return &store{revision: 1, items: map[string]storeItem{}} }

// put writes a key.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = storeItem{value: data, revision: s.revision}
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = storeItem{revision: s.revision, removed: true}
}

// storeAnswer is the answer to a listing or a watch.
type storeAnswer struct {
	Items         []map[string]any `json:"items,omitempty"`
	Events        []map[string]any `json:"events,omitempty"`
	MorePages     bool             `json:"morePages"`
	StoreRevision int64            `json:"storeRevision"`
}

// ServeHTTP implements http.Handler for listings and watches.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	var a storeAnswer
	switch r.URL.Path {
	case "/wardspool/kv-range":
		a = s.list(q.Get("prefix"), q.Get("after"))
	case "/wardspool/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		a = s.watch(q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}

// list returns the items under a prefix, in one page.
func (s *store) list(prefix, after string) storeAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := storeAnswer{Items: []map[string]any{}, StoreRevision: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if i := s.items[key]; strings.HasPrefix(key, prefix) && key > after && !i.removed {
			a.Items = append(a.Items, i.encode(key))
		}
	}
	return a
}

// watch returns the changes under a prefix after a revision. It waits for the first one.
func (s *store) watch(prefix string, after int64, wait time.Duration) storeAnswer {
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		a := storeAnswer{Events: []map[string]any{}, StoreRevision: s.revision}
		for key, i := range s.items {
			if strings.HasPrefix(key, prefix) && i.revision > after {
				a.Events = append(a.Events, i.encode(key))
			}
		}
		s.mu.Unlock()
		if len(a.Events) > 0 || time.Now().After(end) {
			slices.SortFunc(a.Events, func(x, y map[string]any) int { return int(x["revision"].(int64) - y["revision"].(int64)) })
			return a
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// encode returns an item as it is sent.
func (i storeItem) encode(key string) map[string]any {
	if i.removed {
		return map[string]any{"key": key, "revision": i.revision, "removed": true}
	}
	return map[string]any{"key": key, "revision": i.revision, "made": i.revision, "lease": 0, "value": base64.StdEncoding.EncodeToString(i.value)}
}
