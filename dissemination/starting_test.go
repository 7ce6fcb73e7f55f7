package dissemination_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestStartingNodeWaitsForPeers guards against a restarted entry that adopts
// the older revision of a reverted platform before its first link to a peer is
// open.
func TestStartingNodeWaitsForPeers(t *testing.T) {
	f := withStalePlatform(t)
	for _, n := range f.Nodes() {
		n.Kill()
		n.Start(0)
		for range 4000 {
			f.Advance(time.Millisecond)
			must.NotEq(t, 1, n.Holder.Revision(), must.Sprintf("%s", n.VM.ID))
		}
		must.Eq(t, 2, n.Holder.Revision(), must.Sprintf("%s", n.VM.ID))
	}
}

// TestStartingNodeUsesPlatformAfterStartupTimeout checks that the platform's
// configuration is adopted after StartupTimeout if no peer answers.
func TestStartingNodeUsesPlatformAfterStartupTimeout(t *testing.T) {
	d := newReplicaDriver(t)
	for d.holder.Config() == nil {
		d.step()
	}
	must.Between(t, 2*time.Second, d.now.Sub(d.manifestReadAt), 2200*time.Millisecond)
}
