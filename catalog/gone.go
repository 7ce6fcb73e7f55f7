package catalog

import (
	"maps"
	"sync"
	"time"
)

// goneRetention is how long the removal of a host or of an evacuation is remembered, in
// case the store is restored from a copy that holds it.
const goneRetention = 10 * time.Minute

// goneKey names a value that was removed: the start of a host under an ID, or one
// evacuation of a zone.
type goneKey struct {
	key string
	// startUnixMilli is the start time of a host.
	startUnixMilli int64
	// evacuation is the position of an evacuation.
	evacuation Position
}

// gone remembers values that were removed. It is safe for concurrent use.
type gone struct {
	mu sync.Mutex
	// removedAt is when each value was found to be removed, on the local clock.
	removedAt map[goneKey]time.Duration
}

func newGone() *gone {
	return &gone{removedAt: make(map[goneKey]time.Duration)}
}

// keyOf returns the key under which a value is remembered. It returns false if removals
// of such values are not remembered.
func keyOf(c *Change) (goneKey, bool) {
	switch {
	case c.Host != nil:
		return goneKey{key: c.Value.Key, startUnixMilli: c.Host.StartUnixMilli}, true
	case c.Zone != "":
		return goneKey{key: c.Value.Key, evacuation: c.Value.Position}, true
	default:
		return goneKey{}, false
	}
}

// add remembers that a value was removed.
func (g *gone) add(last *Change, now time.Duration) {
	if key, ok := keyOf(last); ok {
		g.addAll(map[goneKey]time.Duration{key: now}, now)
	}
}

// addAll remembers removals by the time at which they were found, and drops those that
// are older than goneRetention.
func (g *gone) addAll(removedAt map[goneKey]time.Duration, now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, at := range removedAt {
		g.removedAt[key] = max(at, g.removedAt[key])
	}
	maps.DeleteFunc(g.removedAt, func(_ goneKey, at time.Duration) bool { return now-at > goneRetention })
}

// holds reports whether a value that was read in an era is one that was removed, or a
// peer kept it from before it was.
func (g *gone) holds(era int64, c *Change) bool {
	key, ok := keyOf(c)
	if !ok {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.Zone == "" {
		_, removed := g.removedAt[key]
		return removed
	}
	for lifted := range g.removedAt {
		if lifted.key != key.key {
			continue
		}
		if c.Value.Era == era && lifted.evacuation.Revision == c.Value.Revision ||
			c.Value.Era < era && !lifted.evacuation.Before(c.Value.Position) {
			return true
		}
	}
	return false
}

// all returns a copy of what is remembered.
func (g *gone) all() map[goneKey]time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.removedAt)
}

// peerGone is the encoding of a removal. Since the clocks of processes differ, it gives
// the age of the removal.
type peerGone struct {
	Key            string `cbor:"1,keyasint"`
	StartUnixMilli int64  `cbor:"2,keyasint,omitempty"`
	Revision       int64  `cbor:"3,keyasint,omitempty"`
	AgeMS          int64  `cbor:"4,keyasint"`
	Era            int64  `cbor:"5,keyasint,omitempty"`
}

// encode encodes what is remembered for a peer.
func (g *gone) encode(now time.Duration) []peerGone {
	var encoded []peerGone
	for key, at := range g.all() {
		encoded = append(encoded, peerGone{
			Key: key.key, StartUnixMilli: key.startUnixMilli, AgeMS: (now - at).Milliseconds(),
			Era: key.evacuation.Era, Revision: key.evacuation.Revision,
		})
	}
	return encoded
}

// decodeGone decodes what a peer remembers.
func decodeGone(encoded []peerGone, now time.Duration) map[goneKey]time.Duration {
	removedAt := make(map[goneKey]time.Duration, len(encoded))
	for _, wire := range encoded {
		key := goneKey{key: wire.Key, startUnixMilli: wire.StartUnixMilli, evacuation: Position{Era: wire.Era, Revision: wire.Revision}}
		removedAt[key] = now - time.Duration(wire.AgeMS)*time.Millisecond
	}
	return removedAt
}
