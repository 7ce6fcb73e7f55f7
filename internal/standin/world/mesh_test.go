package world_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/backend"
	"github.com/turmericrock/turmericrock/internal/standin/world"
)

// TestConfigurationReachesProcessesThatDoNotPollThePlatform publishes
// revisions to a fleet in which only three processes watch the platform and
// the others poll their parents in the mesh. It bounds the number of platform
// reads.
func TestConfigurationReachesProcessesThatDoNotPollThePlatform(t *testing.T) {
	folder := t.TempDir()
	binary, err := world.Build(folder)
	must.NoError(t, err)
	id := fleet.ServiceID{Customer: "teifi", Name: "proofs"}
	w, err := world.New(world.Config{
		Binary:   binary,
		Folder:   folder,
		Zones:    []fleet.Zone{{Name: "maes-1", Region: "wales", Number: 1}},
		Services: []fleet.Service{{ID: id, Slots: 2, Connections: 10, Zones: []string{"maes-1"}}},
	})
	must.NoError(t, err)
	defer w.Close()
	_, err = w.StartEntry("entry-1", "maes-1")
	must.NoError(t, err)
	for i := range 9 {
		_, err := w.StartAgent(fmt.Sprint("host-", i), "maes-1", id, backend.Config{Slots: 2})
		must.NoError(t, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	awaitLatestRevision(ctx, t, w)
	started, readsBefore := time.Now(), w.Platform.TotalCalls()
	const publishes = 20
	for range publishes {
		must.NoError(t, w.Publish())
		awaitLatestRevision(ctx, t, w)
	}
	seconds := uint64(time.Since(started).Seconds()) + 1
	// Three watchers watch two keys, each watch lasts at least 0.75 s, and
	// each publish ends the pending watches at once.
	const watchers = 3
	must.LessEq(t, watchers*(3*seconds+2*publishes), w.Platform.TotalCalls()-readsBefore)
}

// awaitLatestRevision waits until the latest revision is in force in every
// process.
func awaitLatestRevision(ctx context.Context, t *testing.T, w *world.World) {
	t.Helper()
	must.NoError(t, world.Await(ctx, func() bool {
		for _, n := range w.Nodes() {
			if !n.InForce(w.Revision()) {
				return false
			}
		}
		return true
	}))
}
