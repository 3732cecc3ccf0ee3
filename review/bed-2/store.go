package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the store, or the removal of one.
type storeItem struct {
	key      string
	value    []byte
	revision int64
	made     int64
	removed  bool
}

// Store is a stand-in of the platform's metadata store. It keeps its whole history.
type Store struct {
	Addr string

	mu       sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	revision int64
	changed  chan struct{}
}

// NewStore starts a store.
func NewStore() *Store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &Store{Addr: l.Addr().String(), items: map[string]storeItem{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /wardspool/kv-key", s.key)
	mux.HandleFunc("GET /wardspool/kv-range", s.list)
	mux.HandleFunc("GET /wardspool/kv-watch", s.watch)
	go func() { _ = http.Serve(l, mux) }()
	return s
}

// Put writes an item. The write is acknowledged when Put returns.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	made := s.revision
	if old, ok := s.items[key]; ok {
		made = old.made
	}
	s.add(storeItem{key: key, value: data, revision: s.revision, made: made})
}

// Remove removes an item.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.add(storeItem{key: key, revision: s.revision, removed: true})
}

// add records a change. The caller holds mu.
func (s *Store) add(i storeItem) {
	if i.removed {
		delete(s.items, i.key)
	} else {
		s.items[i.key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// wire returns the item as it is sent.
func (i storeItem) wire() map[string]any {
	if i.removed {
		return map[string]any{"key": i.key, "revision": i.revision, "removed": true}
	}
	return map[string]any{"key": i.key, "value": base64.StdEncoding.EncodeToString(i.value), "revision": i.revision, "made": i.made, "lease": 0}
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		answerJSON(w, http.StatusNotFound, map[string]any{"storeRevision": revision})
		return
	}
	out := i.wire()
	out["storeRevision"] = revision
	answerJSON(w, http.StatusOK, out)
}

// pageItems is the number of items on a page.
const pageItems = 500

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	items := []any{}
	for _, k := range keys {
		items = append(items, s.items[k].wire())
	}
	revision := s.revision
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "morePages": more, "storeRevision": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []any{}
		for _, i := range s.history {
			if i.revision > after && strings.HasPrefix(i.key, q.Get("prefix")) {
				events = append(events, i.wire())
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-until:
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func must(err error) {
	if err != nil {
		panic(fmt.Sprintf("the case cannot run: %v", err))
	}
}
