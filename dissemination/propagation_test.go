package dissemination_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/dissemination"
)

func TestPublishedRevisionReachesEveryNode(t *testing.T) {
	f := startedFleet(t, 1)
	must.NoError(t, f.ChangeService(3))
	f.Advance(50 * time.Millisecond)
	f.requireRevision(2)
	for range 30 {
		f.Advance(500 * time.Millisecond)
		must.Less(t, dissemination.DefaultConfig().MaxConfirmationAge, f.oldestAge())
	}
}

func TestLastOfTwoOppositeChangesWins(t *testing.T) {
	f := startedFleet(t, 2)
	must.NoError(t, f.SetZoneOut(1, true))
	f.Advance(2 * time.Millisecond)
	must.NoError(t, f.SetZoneOut(1, false))
	f.Advance(2 * time.Second)
	f.requireRevision(3)
	for _, n := range f.Nodes() {
		must.True(t, n.Replica.ZoneOpen(f.Now(), f.Zones()[1].Name))
	}
}

func TestOnlyWatchersReadThePlatform(t *testing.T) {
	f := startedFleet(t, 3)
	from := f.Now()
	f.Advance(30 * time.Second)
	watchers := 0
	for _, n := range f.Nodes() {
		if n.Replica.Watching(f.Now()) {
			watchers++
		}
	}
	must.Eq(t, 9, watchers)
	// Each watcher watches two keys, each for at least 0.75 s.
	must.LessEq(t, 30*9*2*4/3, f.Platform.Reads(from))
}
