package steering_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/steering"
)

func TestHostIsFailingOnlyWithEnoughFailures(t *testing.T) {
	cases := []struct {
		name         string
		failed, well int
		failing      bool
	}{
		{"calm", 0, 100, false},
		{"one of many", 1, 99, false},
		{"too few to judge", 3, 0, false},
		{"every fifth", 20, 80, true},
		{"all", 10, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var tracker steering.FailureTracker
			for n := range c.failed + c.well {
				tracker.Observe(n*c.failed/(c.failed+c.well) != (n+1)*c.failed/(c.failed+c.well), time.Second)
			}
			must.Eq(t, c.failing, tracker.FailureShare(time.Second) > 0)
		})
	}
}

// Hysteresis keeps a host from switching between failing and healthy with each
// request, and failures decay so that the host is tried again.
func TestFailingHostIsRetriedAfterDecay(t *testing.T) {
	var tracker steering.FailureTracker
	now := time.Second
	for n := range 40 {
		tracker.Observe(n%4 == 0, now)
	}
	must.Positive(t, tracker.FailureShare(now))
	for range 120 {
		tracker.Observe(false, now)
	}
	must.Positive(t, tracker.FailureShare(now), must.Sprint("a sixteenth of the requests still counts as failed"))
	must.Eq(t, 0, tracker.FailureShare(now+20*time.Second), must.Sprint("failures have decayed without further requests"))
	c, s := newCatalog("a", "a", "a")
	loads := steering.NewLoadTable()
	for n, h := range s.Hosts {
		loads.Report(h.Addr.Addr, 20, n, now)
	}
	loads.SetFailureShare(s.Hosts[0].Addr.Addr, 0.5)
	request := steering.PlacementRequest{Zone: "a", Now: now}
	must.Eq(t, "1", steering.ChooseHost(c, s, loads, request).ID)
	request.Now += 10 * time.Second
	hosts := make(map[string]bool)
	for hash := range uint64(200) {
		request.Hash = hash
		hosts[steering.ChooseHost(c, s, loads, request).ID] = true
	}
	must.True(t, hosts["0"], must.Sprint("the failing host is tried again once its report is old"))
}

// No failing host is avoided once more than half of the hosts fail, because the
// rest would be overloaded.
func TestFailingHostsAreAvoidedOnlyUpToHalf(t *testing.T) {
	c, s := newCatalog("a", "a", "a", "a")
	for failing := 1; failing <= 4; failing++ {
		loads := steering.NewLoadTable()
		for n, h := range s.Hosts {
			loads.Report(h.Addr.Addr, 20, n, time.Second)
			if n < failing {
				loads.SetFailureShare(h.Addr.Addr, 0.5)
			}
		}
		chosen := steering.ChooseHost(c, s, loads, steering.PlacementRequest{Zone: "a", Now: time.Second}).ID
		if failing <= 2 {
			must.Eq(t, fmt.Sprint(failing), chosen)
		} else {
			must.Eq(t, "0", chosen, must.Sprint("the least loaded host"))
		}
	}
}

// A quarter of the hosts reset half of their requests. Without failure reports,
// flows that were reset reopened on the same failing hosts, because those have
// the fewest flows.
func TestFailureReportsReduceFailedRequests(t *testing.T) {
	failed := func(report bool) int {
		c, s := newCatalog("a", "a", "a", "a", "a", "a", "a", "a")
		random := rand.New(rand.NewPCG(1, 2))
		loads := steering.NewLoadTable()
		outcomes := make(map[[4]byte]*steering.FailureTracker)
		flows := make([][4]byte, 240)
		open := make(map[[4]byte]int)
		now, failures := time.Second, 0
		place := func() [4]byte {
			host := steering.ChooseHost(c, s, loads, steering.PlacementRequest{Zone: "a", Hash: random.Uint64(), Now: now}).Addr.Addr
			open[host]++
			loads.Report(host, open[host], 0, now)
			if report && outcomes[host] != nil {
				loads.SetFailureShare(host, outcomes[host].FailureShare(now))
			}
			return host
		}
		for i := range flows {
			flows[i] = place()
		}
		for range 20_000 {
			now += 2 * time.Millisecond
			i := random.IntN(len(flows))
			host := flows[i]
			if outcomes[host] == nil {
				outcomes[host] = &steering.FailureTracker{}
			}
			faulty := host[3] <= 2
			fails := faulty && random.IntN(2) == 0
			outcomes[host].Observe(fails, now)
			if fails {
				failures++
				open[host]--
				flows[i] = place()
			}
		}
		return failures
	}
	without, with := failed(false), failed(true)
	must.Less(t, without/3, with, must.Sprintf("%d of 20,000 requests failed without failure reports, %d with them", without, with))
}
