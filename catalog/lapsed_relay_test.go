package catalog_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/platform"
)

// decodedHost returns the entry of a host as it is read from the store.
func decodedHost(t *testing.T, id string, n byte, created, written int64) catalog.Change {
	change, err := platform.Decode(catalog.Value{
		Key: "servers/" + id, Position: catalog.Position{Revision: written}, Created: created, ReadAt: now(),
		Data: []byte(fmt.Sprintf(`{"backend":"s","address":"10.0.0.%d:8080","zone":"a","version":"v1","concurrency":2,"state":"ready","warmup_left_ms":0,"sequence":%d,"born":1769703757010}`, n, written)),
	})
	must.NoError(t, err)
	return change
}

// decodedRemoval returns the removal of a host's entry.
func decodedRemoval(t *testing.T, id string, revision int64) catalog.Change {
	change, err := platform.Decode(catalog.Value{Key: "servers/" + id, Position: catalog.Position{Revision: revision}, Removed: true, ReadAt: now()})
	must.NoError(t, err)
	return change
}

// settledTracker returns a tracker that has read the changes up to a revision and settled.
func settledTracker(revision int64, changes ...catalog.Change) *catalog.Tracker {
	tracker, readAt := catalog.NewTracker(), now()-10*time.Second
	tracker.SettleTime = 2 * time.Second
	tracker.Replace(catalog.Position{Revision: revision}, changes, readAt)
	for range 9 {
		readAt += time.Second
		tracker.Apply(tracker.Position(), nil, readAt)
	}
	return tracker
}

// syncFromPeer applies what a peer tells of the changes since the tracker's position.
func syncFromPeer(t *testing.T, to, from *catalog.Tracker) {
	client, address := servePeer(t, from)
	result, err := client.Changes(context.Background(), address, to.Position(), 0)
	must.NoError(t, err)
	to.Apply(result.Position, result.Changes, now())
}

// Guards against a running host that is missing for good in some processes, whose flows are
// then declared lost: the entries of all hosts lapse while the store is away, and return. A
// process that learns of both at once, from a peer that sends only the last value of each key,
// sees no change; a process that has learned of the removal alone asks it for what came later.
func TestHostThatLapsedAndReturnedReachesPeersThatSawItRemoved(t *testing.T) {
	before := func() *catalog.Tracker {
		return settledTracker(13, configValue(t, 1), decodedHost(t, "h1", 1, 2, 2), decodedHost(t, "h2", 2, 3, 3))
	}
	removals := []catalog.Change{decodedRemoval(t, "h1", 14), decodedRemoval(t, "h2", 15)}
	reader, relay, behind := before(), before(), before()
	reader.Apply(catalog.Position{Revision: 17}, append(removals, decodedHost(t, "h1", 1, 16, 16), decodedHost(t, "h2", 2, 17, 17)), now())
	behind.Apply(catalog.Position{Revision: 15}, []catalog.Change{decodedRemoval(t, "h1", 14), decodedRemoval(t, "h2", 15)}, now())
	must.MapEmpty(t, behind.Current().Hosts)
	syncFromPeer(t, relay, reader)
	must.MapLen(t, 2, relay.Current().Hosts)
	syncFromPeer(t, behind, relay)
	must.Eq(t, catalog.Position{Revision: 17}, behind.Position())
	must.MapLen(t, 2, behind.Current().Hosts)
}

// Guards against a zone that some processes keep using although it is out of service: it was
// taken back and out again between two reads of the process that tells them.
func TestZoneTakenOutAgainReachesPeersThatSawItTakenBack(t *testing.T) {
	evacuation := func(revision int64, removed bool) catalog.Change {
		value := catalog.Value{Key: "op/evacuate/a", Position: catalog.Position{Revision: revision}, Created: revision, Removed: removed, ReadAt: now(), Data: []byte("{}")}
		change, err := platform.Decode(value)
		must.NoError(t, err)
		return change
	}
	before := func() *catalog.Tracker {
		return settledTracker(13, configValue(t, 1), decodedHost(t, "h1", 1, 2, 2), evacuation(5, false))
	}
	reader, relay, behind := before(), before(), before()
	reader.Apply(catalog.Position{Revision: 17}, []catalog.Change{evacuation(14, true), evacuation(17, false)}, now())
	behind.Apply(catalog.Position{Revision: 14}, []catalog.Change{evacuation(14, true)}, now())
	must.False(t, behind.Current().Evacuated["a"])
	syncFromPeer(t, relay, reader)
	must.True(t, relay.Current().Evacuated["a"])
	syncFromPeer(t, behind, relay)
	must.True(t, behind.Current().Evacuated["a"])
}
