// Package store is a stand-in for the platform's metadata store: items with
// revisions, paged ranges, watches with a bounded history, and the ways in
// which the store fails.
package store

import (
	"cmp"
	"encoding/json"
	"maps"
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
	// Unavailable answers 503.
	Unavailable
	// RateLimited answers 429.
	RateLimited
	// ConnectionReset closes connections without an answer.
	ConnectionReset
	// Unresponsive never answers.
	Unresponsive
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_rev,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"tombstone,omitempty"`
}

// state is what the store holds at a moment.
type state struct {
	revision int64
	items    map[string]item
	history  []item
	// forgotten is the revision up to which there is no history.
	forgotten int64
}

// Store is the stand-in. It is an http.Handler and safe for concurrent use.
type Store struct {
	mu   sync.Mutex
	live state
	// remembered is an older copy of the state, and stale the one that calls are
	// answered from, if any.
	remembered, stale *state
	changed           chan struct{}
	failure           Failure
	slow              time.Duration
	calls             map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		live:    state{revision: 100, forgotten: 100, items: make(map[string]item)},
		changed: make(chan struct{}), calls: make(map[string]int),
	}
}

// Put writes a value and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live.revision++
	created := s.live.revision
	if old, ok := s.live.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.live.revision, Created: created}
	s.live.items[key] = it
	s.note(it)
	return s.live.revision
}

// Delete removes a value.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.live.items[key]; !ok {
		return
	}
	s.live.revision++
	delete(s.live.items, key)
	s.note(item{Key: key, Revision: s.live.revision, Deleted: true})
}

func (s *Store) note(it item) {
	s.live.history = append(s.live.history, it)
	s.wake()
}

// wake wakes the watches. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live.history, s.live.forgotten = nil, s.live.revision
}

// SaveSnapshot keeps a copy of the state of this moment for SetStale.
func (s *Store) SaveSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remembered = s.live.copy()
}

// ServeStale makes calls be answered from the copy that is remembered, or from
// the state of this moment when there is none, or ends that.
func (s *Store) ServeStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !stale:
		s.stale = nil
	case s.remembered != nil:
		s.stale = s.remembered
	default:
		s.stale = s.live.copy()
	}
	s.wake()
}

func (s *state) copy() *state {
	return &state{revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history), forgotten: s.forgotten}
}

// served returns the state that calls are answered from. The caller holds mu.
func (s *Store) served() *state {
	if s.stale != nil {
		return s.stale
	}
	return &s.live
}

// SetUnavailable makes every call fail with 503, those that wait as well, or ends that.
func (s *Store) SetUnavailable(down bool) {
	failure := Healthy
	if down {
		failure = Unavailable
	}
	s.SetFailure(failure, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// TotalCalls returns how many calls there were so far.
func (s *Store) TotalCalls() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.calls {
		total += n
	}
	return uint64(total)
}

// SetFailure sets how calls are treated from now on, and how long each takes.
func (s *Store) SetFailure(f Failure, slow time.Duration) {
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
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case RateLimited:
		w.WriteHeader(http.StatusTooManyRequests)
	case ConnectionReset:
		panic(http.ErrAbortHandler)
	case Unresponsive:
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
	held := s.served()
	it, ok := held.items[r.URL.Query().Get("key")]
	revision := held.revision
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
	for key, it := range s.served().items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	revision := s.served().revision
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
		if s.busy() {
			w.WriteHeader(http.StatusServiceUnavailable)
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

// busy reports whether calls that wait are ended.
func (s *Store) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure == Unavailable
}

func (s *Store) since(prefix string, after int64) (events []item, revision int64, changed <-chan struct{}, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.served()
	events = []item{}
	for _, it := range held.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, held.revision, s.changed, after >= held.forgotten
}

func write(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // The caller sees a cut answer.
}
