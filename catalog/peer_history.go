package catalog

import (
	"time"

	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering/pacing"
)

// peerHistory is what a process knows of the time before: how long its reads of the store
// had succeeded when it last confirmed its state, which hosts left within that time, and
// which services were targets of routes.
type peerHistory struct {
	healthyFor time.Duration
	removed    []RemovedHost
	former     map[flow.Endpoint][]FormerService
}

// wireHistory is the encoding of a peerHistory.
type wireHistory struct {
	HealthyForMS int64             `cbor:"1,keyasint"`
	Removed      []wireRemovedHost `cbor:"2,keyasint,omitempty"`
	// Former holds former services of routes. Peers of earlier versions do not tell.
	Former []wireFormerServices `cbor:"3,keyasint,omitempty"`
}

// wireRemovedHost is the encoding of a RemovedHost, with the age of the removal.
type wireRemovedHost struct {
	Agent   [4]byte `cbor:"1,keyasint"`
	Service string  `cbor:"2,keyasint"`
	AgeMS   int64   `cbor:"3,keyasint"`
}

// encodeHistory returns what a snapshot tells of the time before it.
func encodeHistory(c *Catalog, now time.Duration) *wireHistory {
	h := &wireHistory{HealthyForMS: max(0, c.ConfirmedAt-c.HealthySince).Milliseconds()}
	for _, r := range c.Removed {
		h.Removed = append(h.Removed, wireRemovedHost{Agent: r.Agent, Service: r.Service, AgeMS: max(0, now-r.RemovedAt).Milliseconds()})
	}
	h.Former = encodeFormerServices(c.Config, now)
	return h
}

// decode returns what a peer told, or nil if it told nothing.
func (w *wireHistory) decode(now time.Duration) *peerHistory {
	if w == nil {
		return nil
	}
	h := &peerHistory{healthyFor: fromMilliseconds(w.HealthyForMS), former: decodeFormerServices(w.Former, now)}
	for _, r := range w.Removed {
		h.removed = append(h.removed, RemovedHost{Agent: r.Agent, Service: r.Service, RemovedAt: now - fromMilliseconds(r.AgeMS)})
	}
	return h
}

// knowsHistory reports whether the tracker knows which hosts left before a position.
func (t *Tracker) knowsHistory(position Position) bool {
	c := t.Current()
	return c != nil && !c.Position.Before(position) && c.ConfirmedAt-c.HealthySince >= pacing.StoreSettleTime
}

// AdoptHistory records what a peer, whose state was just applied, knows of the time before:
// since when its reads of the store have succeeded, and which hosts left.
func (t *Tracker) AdoptHistory(healthySince time.Duration, removed []RemovedHost) {
	t.healthySince = min(t.healthySince, healthySince)
	t.removed = append(t.removed[:len(t.removed):len(t.removed)], removed...)
	t.republishHistory()
}

// republishHistory publishes the snapshot anew with what is known of the time before it.
func (t *Tracker) republishHistory() {
	if c := t.current.Load(); c != nil {
		next := *c
		next.HealthySince, next.Removed = t.healthySince, t.removed
		t.current.Store(&next)
		t.journal.wakePeers()
	}
}
