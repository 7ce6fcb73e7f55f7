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

// Guards against a running host that is missing for good in some processes, whose flows are
// then declared lost: the entries of all hosts lapse while the store is away, and return. A
// process that learns of both at once, from a peer that sends only the last value of each key,
// sees no change; a process that has learned of the removal alone asks it for what came later.
func TestHostThatLapsedAndReturnedReachesPeersThatSawItRemoved(t *testing.T) {
	before := func() *catalog.Tracker {
		readAt := now() - 10*time.Second
		tracker := catalog.NewTracker()
		tracker.SettleTime = 2 * time.Second
		tracker.Replace(catalog.Position{Revision: 13}, []catalog.Change{configValue(t, 1), decodedHost(t, "h1", 1, 2, 2), decodedHost(t, "h2", 2, 3, 3)}, readAt)
		for range 9 { // The processes have settled since they started.
			readAt += time.Second
			tracker.Apply(tracker.Position(), nil, readAt)
		}
		return tracker
	}
	sync := func(to, from *catalog.Tracker) {
		client, address := servePeer(t, from)
		result, err := client.Changes(context.Background(), address, to.Position(), 0)
		must.NoError(t, err)
		to.Apply(result.Position, result.Changes, now())
	}
	removals := []catalog.Change{decodedRemoval(t, "h1", 14), decodedRemoval(t, "h2", 15)}
	reader, relay, behind := before(), before(), before()
	reader.Apply(catalog.Position{Revision: 17}, append(removals, decodedHost(t, "h1", 1, 16, 16), decodedHost(t, "h2", 2, 17, 17)), now())
	behind.Apply(catalog.Position{Revision: 15}, []catalog.Change{decodedRemoval(t, "h1", 14), decodedRemoval(t, "h2", 15)}, now())
	must.MapEmpty(t, behind.Current().Hosts)
	sync(relay, reader)
	must.MapLen(t, 2, relay.Current().Hosts)
	sync(behind, relay)
	must.Eq(t, catalog.Position{Revision: 17}, behind.Position())
	must.MapLen(t, 2, behind.Current().Hosts)
}
