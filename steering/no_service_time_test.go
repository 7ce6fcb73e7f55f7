package steering_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/steering"
)

// placementsWithoutServiceTime is the digest of the placements below by the policy
// that preceded service times (commit 79787fe).
const placementsWithoutServiceTime = "c8f99848122a187"

// Hosts of an earlier build report no service time. Guards against their flows being
// placed differently than before there were service times, whether or not the route
// has a target latency.
func TestPlacementWithoutServiceTimeIsUnchanged(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	digest := fnv.New64a()
	for n := range 2000 {
		c, s := newCatalog("a", "a", "a", "b", "b", "c", "c")
		loads := steering.NewLoadTable()
		now := time.Minute
		for _, h := range s.Hosts {
			h.Slots = 1 + random.IntN(4)
			reportedAt := now - time.Duration(random.IntN(2500))*time.Millisecond
			loads.Report(h.Addr.Addr, random.IntN(200), random.IntN(20), reportedAt)
			if random.IntN(8) == 0 {
				loads.SetFailureShare(h.Addr.Addr, random.Float64())
			}
			for range random.IntN(3) {
				loads.RecordPlacement(h.Addr.Addr)
			}
		}
		for range 4 {
			request := steering.PlacementRequest{Hash: random.Uint64(), Zone: "a", Bulk: random.IntN(4) == 0, Now: now}
			request.TargetLatency = time.Duration(n%5) * 100 * time.Millisecond
			fmt.Fprint(digest, steering.ChooseHost(c, s, loads, request).ID)
		}
	}
	must.Eq(t, placementsWithoutServiceTime, fmt.Sprintf("%x", digest.Sum64()))
}
