package steering_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/steering"
)

// A fleet loses power and returns. Each agent has just read the store for the
// first time; those of running hosts that are not listed announce themselves.
func TestPowerReturnsToTheWholeFleet(t *testing.T) {
	e := steering.HostListEvidence{ListAge: 50 * time.Millisecond, StoreReadable: 350 * time.Millisecond, Agents: 13}
	must.False(t, e.Complete(), must.Sprint("the agent's own host is not listed, so that no announcement reaches it"))
	e.Listening = 250 * time.Millisecond
	must.False(t, e.Complete(), must.Sprint("fewer announcements than may be lost"))
	e.Listening = 300 * time.Millisecond
	must.True(t, e.Complete())
	e.Agents = 5000
	must.False(t, e.Complete(), must.Sprint("announcements are rarer in a large fleet"))
	e.StoreReadable = 2500 * time.Millisecond
	must.True(t, e.Complete())
}

// Without a recent list, hosts may have started that nobody has named.
func TestStoreIsAwayWhileFlowsAreSearched(t *testing.T) {
	e := steering.HostListEvidence{ListAge: 1600 * time.Millisecond, StoreReadable: time.Minute, Listening: time.Minute, Agents: 13}
	must.False(t, e.Complete())
}

func TestAnnouncementsKeepTheControlBudget(t *testing.T) {
	for _, agents := range []int{1, 13, 44, 500, 5000} {
		bytesPerSecond := float64(agents*76) / steering.AnnounceInterval(agents).Seconds()
		must.LessEq(t, 24_000, bytesPerSecond, must.Sprintf("%d agents", agents))
	}
}
