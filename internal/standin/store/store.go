// Package store is a stand-in for the platform's metadata store: items with
// revisions, paged ranges, watches with a bounded history, and the ways in
// which the store fails.
package store

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is how many items a page holds.
const pageItems = 50

// Failure is a way in which the store treats calls.
type Failure int

// The ways in which the store treats calls.
const (
	Healthy Failure = iota
	// Busy answers 503.
	Busy
	// Limited answers 429.
	Limited
	// Reset closes connections without an answer.
	Reset
	// Silent never answers.
	Silent
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_rev,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"tombstone,omitempty"`
}

// Store is the stand-in. It is an http.Handler and safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	// forgotten is the revision up to which there is no history.
	forgotten int64
	changed   chan struct{}
	failure   Failure
	slow      time.Duration
	calls     map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 100, forgotten: 100, items: make(map[string]item), changed: make(chan struct{}), calls: make(map[string]int)}
}

// Put writes a value and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created}
	s.items[key] = it
	s.note(it)
	return s.revision
}

// Delete removes a value.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) note(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.revision
}

// Fail sets how calls are treated from now on, and how long each takes.
func (s *Store) Fail(f Failure, slow time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure, s.slow = f, slow
}

// Calls returns how often a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	failure, slow := s.failure, s.slow
	s.mu.Unlock()
	if slow > 0 {
		select {
		case <-time.After(slow):
		case <-r.Context().Done():
			return
		}
	}
	switch failure {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Limited:
		w.WriteHeader(http.StatusTooManyRequests)
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		<-r.Context().Done()
	case Healthy:
		s.serve(w, r)
	}
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/kv-key":
		s.serveItem(w, r)
	case "/api/kv-range":
		s.serveRange(w, r)
	case "/api/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveItem(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	write(w, struct {
		item
		Current int64 `json:"current_rev"`
	}{it, revision})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	truncated := len(items) > pageItems
	write(w, map[string]any{"items": items[:min(len(items), pageItems)], "truncated": truncated, "current_rev": revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil || wait > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, revision, changed, known := s.since(r.URL.Query().Get("prefix"), after)
		if !known {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			write(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			write(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
	}
}

func (s *Store) since(prefix string, after int64) (events []item, revision int64, changed <-chan struct{}, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []item{}
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.revision, s.changed, after >= s.forgotten
}

func write(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // The caller sees a cut answer.
}
