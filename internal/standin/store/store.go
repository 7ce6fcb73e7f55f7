// Package store is a stand-in for the platform's metadata store. It serves
// items with revisions, paged ranges and watches with a limited history, and
// it can simulate the failures of the store.
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
	"sync/atomic"
	"time"
)

// FirstRevision is the revision of an empty store.
const FirstRevision = 100

// pageSize is the maximum number of items in a page of a range.
const pageSize = 50

// Failure is a failure mode of the store.
type Failure int

// The failure modes of the store.
const (
	Healthy Failure = iota
	// Unavailable responds with status 503.
	Unavailable
	// RateLimited responds with status 429.
	RateLimited
	// ConnectionReset closes the connection without a response.
	ConnectionReset
	// Unresponsive never responds.
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

// state is the content of the store at one point in time.
type state struct {
	revision int64
	items    map[string]item
	history  []item
	// compactedRevision is the revision up to which the history was discarded.
	compactedRevision int64
}

// Store simulates the metadata store. It implements http.Handler and is safe
// for concurrent use.
type Store struct {
	mu      sync.Mutex
	current state
	// era counts the restores of the store from a copy.
	era int64
	// log holds all writes, so that the content at any revision can be restored.
	log []item
	// snapshot is the state saved by SaveSnapshot, if any. Calls are answered
	// from staleState if it is set, and from current otherwise.
	snapshot, staleState *state
	changed              chan struct{}
	failure              Failure
	latency              time.Duration
	calls                map[string]int
	sentBytes            atomic.Int64
}

// New returns an empty store.
func New() *Store {
	return &Store{
		era:     1,
		current: state{revision: FirstRevision, compactedRevision: FirstRevision, items: make(map[string]item)},
		changed: make(chan struct{}), calls: make(map[string]int),
	}
}

// Put writes a value and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.revision++
	created := s.current.revision
	if old, ok := s.current.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.current.revision, Created: created}
	s.current.items[key] = it
	s.appendHistory(it)
	return s.current.revision
}

// Delete removes a value, if it exists.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.current.items[key]; !ok {
		return
	}
	s.current.revision++
	delete(s.current.items, key)
	s.appendHistory(item{Key: key, Revision: s.current.revision, Deleted: true})
}

func (s *Store) appendHistory(it item) {
	s.current.history = append(s.current.history, it)
	s.log = append(s.log, it)
	s.notifyWatches()
}

// notifyWatches wakes all pending watches. The caller holds mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the history, so that watches from earlier revisions are
// refused with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.history, s.current.compactedRevision = nil, s.current.revision
}

// SaveSnapshot saves a copy of the current state for ServeStale.
func (s *Store) SaveSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = s.current.copy()
}

// ServeStale makes the store answer all calls from the saved snapshot, or from
// a copy of the current state if none was saved. With stale false, calls are
// answered from the current state again.
func (s *Store) ServeStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !stale:
		s.staleState = nil
	case s.snapshot != nil:
		s.staleState = s.snapshot
	default:
		s.staleState = s.current.copy()
	}
	s.notifyWatches()
}

func (s *state) copy() *state {
	return &state{revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history), compactedRevision: s.compactedRevision}
}

// servedState returns the state from which calls are answered. The caller
// holds mu.
func (s *Store) servedState() *state {
	if s.staleState != nil {
		return s.staleState
	}
	return &s.current
}

// SetUnavailable makes every call fail with status 503, including pending
// watches, or ends that.
func (s *Store) SetUnavailable(unavailable bool) {
	failure := Healthy
	if unavailable {
		failure = Unavailable
	}
	s.SetFailure(failure, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyWatches()
}

// TotalCalls returns the number of calls received so far.
func (s *Store) TotalCalls() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.calls {
		total += n
	}
	return uint64(total)
}

// SentBytes returns the size of all responses so far, in bytes.
func (s *Store) SentBytes() int64 { return s.sentBytes.Load() }

// SetFailure sets the failure mode and the latency that is added to each call.
func (s *Store) SetFailure(f Failure, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure, s.latency = f, latency
}

// Calls returns the number of calls to a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	failure, latency, era := s.failure, s.latency, s.era
	s.mu.Unlock()
	w.Header().Set(headerEra, formatEra(era))
	if latency > 0 {
		select {
		case <-time.After(latency):
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
	served := s.servedState()
	it, ok := served.items[r.URL.Query().Get("key")]
	revision := served.revision
	w.Header().Set(headerEra, formatEra(s.era))
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.writeJSON(w, struct {
		item
		Current int64 `json:"current_rev"`
	}{it, revision})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, it := range s.servedState().items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	revision := s.servedState().revision
	w.Header().Set(headerEra, formatEra(s.era))
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	truncated := len(items) > pageSize
	s.writeJSON(w, map[string]any{"items": items[:min(len(items), pageSize)], "truncated": truncated, "current_rev": revision})
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
		events, revision, era, changed, retained := s.eventsSince(r.URL.Query().Get("prefix"), after)
		w.Header().Set(headerEra, formatEra(era))
		if !retained {
			w.WriteHeader(http.StatusGone)
			return
		}
		if s.isUnavailable() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 || wait == 0 {
			s.writeJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			s.writeJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
	}
}

// isUnavailable reports whether pending watches have to fail with status 503.
func (s *Store) isUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure == Unavailable
}

func (s *Store) eventsSince(prefix string, after int64) (events []item, revision, era int64, changed <-chan struct{}, retained bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	served := s.servedState()
	events = []item{}
	for _, it := range served.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	retained = after >= served.compactedRevision && after <= served.revision
	return events, served.revision, s.era, s.changed, retained
}

func (s *Store) writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // Marshalling these types cannot fail.
	}
	n, _ := w.Write(data) // An error means that the client has disconnected; it sees a truncated response.
	s.sentBytes.Add(int64(n))
}
