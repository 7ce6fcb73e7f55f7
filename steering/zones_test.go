package steering_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/placement"
	"github.com/turmericrock/turmericrock/steering"
)

// placeByHash places flows with different hashes and returns how many of them went
// to hosts of the zone.
func placeByHash(choose func(hash uint64) string, zone string) int {
	n := 0
	for hash := range uint64(1000) {
		if choose(placement.Mix(hash)) == zone {
			n++
		}
	}
	return n
}

// Hosts hold many long flows, of which few are active, and an entry has recent
// reports only from those of its own zone. Guards against the number of open flows
// outweighing the zone, so that most flows crossed zones for hosts of which nothing
// was known.
func TestManyIdleFlowsStayInTheirZone(t *testing.T) {
	c, s := newCatalog("a", "a", "b", "b", "c", "c")
	loads := steering.NewLoadTable()
	now := time.Minute
	loads.Report(s.Hosts[0].Addr.Addr, 150, 1, now)
	loads.Report(s.Hosts[1].Addr.Addr, 130, 1, now)
	choose := func(hash uint64) string {
		return steering.ChooseHost(c, s, loads, steering.PlacementRequest{Hash: hash, Zone: "a", Now: now}).Zone
	}
	must.Eq(t, 1000, placeByHash(choose, "a"))
}

// Requesters move to one zone, whose hosts are all overloaded. Flows leave it although
// nothing is known of the hosts of other zones.
func TestFlowsLeaveAnOverloadedZone(t *testing.T) {
	c, s := newCatalog("a", "a", "b", "b")
	loads := steering.NewLoadTable()
	now := time.Minute
	loads.Report(s.Hosts[0].Addr.Addr, 150, 5, now)
	loads.Report(s.Hosts[1].Addr.Addr, 150, 5, now)
	choose := func(hash uint64) string {
		return steering.ChooseHost(c, s, loads, steering.PlacementRequest{Hash: hash, Zone: "a", Now: now}).Zone
	}
	must.Eq(t, 1000, placeByHash(choose, "b"))
}

// Within a zone, a host with fewer flows than the mean gets the next ones.
func TestFlowsBalanceWithinAZone(t *testing.T) {
	c, s := newCatalog("a", "a", "a")
	loads := steering.NewLoadTable()
	now := time.Minute
	for i := range s.Hosts {
		loads.Report(s.Hosts[i].Addr.Addr, 100, 1, now)
	}
	loads.Report(s.Hosts[1].Addr.Addr, 60, 1, now)
	request := steering.PlacementRequest{Zone: "a", Now: now}
	for hash := range uint64(100) {
		request.Hash = placement.Mix(hash)
		must.Eq(t, s.Hosts[1].ID, steering.ChooseHost(c, s, loads, request).ID)
	}
}

// The store returns after an outage in which the entries of all hosts lapsed. Guards
// against flows being refused, or all going to the first hosts that are listed again,
// while the others renew their entries.
func TestStoreReturnsAfterEntriesLapsed(t *testing.T) {
	c, s := newCatalog("a", "a", "a", "b")
	now := time.Minute
	s.Lapsed, s.Hosts = s.Hosts[1:], s.Hosts[:1]
	c.LapsedAt = now
	for _, h := range s.Lapsed {
		delete(c.Hosts, h.Addr.Addr)
	}
	loads := steering.NewLoadTable()
	used := make(map[string]int)
	for hash := range uint64(6) {
		h := steering.ChooseHost(c, s, loads, steering.PlacementRequest{Hash: placement.Mix(hash), Zone: "a", Now: now + time.Second})
		loads.RecordPlacement(h.Addr.Addr)
		used[h.ID]++
	}
	must.MapLen(t, 3, used, must.Sprint("the hosts of the zone"))
	must.Greater(t, used["1"], used["0"], must.Sprint("the listed host gets more"))

	s.Hosts = nil
	request := steering.PlacementRequest{Zone: "a", Now: now + time.Second}
	must.NotNil(t, steering.ChooseHost(c, s, loads, request), must.Sprint("no host is listed"))
	request.Now = now + 2*time.Second
	must.Nil(t, steering.ChooseHost(c, s, loads, request), must.Sprint("hosts that run are listed again"))
}
