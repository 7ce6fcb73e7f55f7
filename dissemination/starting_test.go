package dissemination_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A restarted entry had the older revision of a platform that went back in
// force until the link to its first peer stood.
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

// Where no peer answers, the platform's word is taken after JoinWait.
func TestStartingNodeUsesPlatformAfterStartupTimeout(t *testing.T) {
	d := newReplicaDriver(t)
	for d.holder.Config() == nil {
		d.step()
	}
	must.Between(t, 2*time.Second, d.now.Sub(d.manifestReadAt), 2200*time.Millisecond)
}
