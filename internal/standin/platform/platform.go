// Package platform is a stand-in for the platform's configuration service. It
// serves values for reading and watching, and can be stopped, made stale and
// asked how many reads it served.
package platform

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	api "github.com/turmericrock/turmericrock/platform"
)

// Platform holds values in memory. It is safe for concurrent use.
type Platform struct {
	mu     sync.Mutex
	values map[string]api.Value
	stale  map[string]api.Value
	// remembered are the values that a stale platform returns, if any.
	remembered map[string]api.Value
	down       bool
	changed    chan struct{}
	reads      uint64
}

// New returns a platform without values.
func New() *Platform {
	return &Platform{values: make(map[string]api.Value), changed: make(chan struct{})}
}

// Put publishes a value.
func (p *Platform) Put(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[key] = api.Value{Key: key, Version: p.values[key].Version + 1, Data: data}
	p.wake()
}

// SetDown makes every read fail, or ends that.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// SetStale makes reads return the values remembered, or those of this moment
// when none are, or ends that.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !stale:
		p.stale = nil
	case p.remembered != nil:
		p.stale = p.remembered
	default:
		p.stale = maps.Clone(p.values)
	}
	p.wake()
}

// Remember keeps the values of this moment for SetStale.
func (p *Platform) Remember() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remembered = maps.Clone(p.values)
}

// Reads returns the number of reads so far, a watch counted as one.
func (p *Platform) Reads() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// wake wakes the watches. The caller holds mu.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, found := strings.CutPrefix(r.URL.Path, "/v1/values/")
	if !found || r.Method != http.MethodGet {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
	value, status := p.await(r.Context(), key, after, time.Duration(wait)*time.Millisecond)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	w.Header().Set(api.VersionHeader, strconv.FormatUint(value.Version, 10))
	if value.Version == after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(value.Data)
}

func (p *Platform) await(ctx context.Context, key string, after uint64, wait time.Duration) (api.Value, int) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		value, status, changed := p.look(key)
		if status != http.StatusOK || value.Version != after {
			return value, status
		}
		select {
		case <-ctx.Done():
			return value, status
		case <-changed:
		}
	}
}

func (p *Platform) look(key string) (api.Value, int, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return api.Value{}, http.StatusServiceUnavailable, p.changed
	}
	values := p.values
	if p.stale != nil {
		values = p.stale
	}
	value, found := values[key]
	if !found {
		return api.Value{}, http.StatusNotFound, p.changed
	}
	return value, http.StatusOK, p.changed
}
