package steering_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/placement"
	"github.com/turmericrock/turmericrock/steering"
)

// newCatalog returns a catalog with one service that has a host in each of the
// given zones.
func newCatalog(zones ...string) (*catalog.Catalog, *catalog.Service) {
	s := &catalog.Service{Name: "s"}
	c := &catalog.Catalog{Hosts: make(map[[4]byte]*catalog.Host), Evacuated: make(map[string]bool)}
	for n, zone := range zones {
		h := &catalog.Host{ID: fmt.Sprint(n), Service: "s", Zone: zone, Slots: 2, Addr: flow.Endpoint{Addr: [4]byte{10, 0, 0, byte(n + 1)}}}
		s.Hosts = append(s.Hosts, h)
		c.Hosts[h.Addr.Addr] = h
		c.Agents = append(c.Agents, h.Addr.Addr)
	}
	return c, s
}

func TestSameZoneHostIsPreferredUntilMoreLoaded(t *testing.T) {
	c, s := newCatalog("a", "b")
	loads := steering.NewLoadTable()
	request := steering.PlacementRequest{Zone: "a", Now: time.Second}
	must.Eq(t, "0", steering.ChooseHost(c, s, loads, request).ID)
	loads.Report(s.Hosts[0].Addr.Addr, 4, 4, request.Now)
	loads.Report(s.Hosts[1].Addr.Addr, 0, 0, request.Now)
	must.Eq(t, "1", steering.ChooseHost(c, s, loads, request).ID)
}

func TestUnusableHostsAreNotChosen(t *testing.T) {
	c, s := newCatalog("a", "a", "b")
	s.Hosts[0].Draining = true
	c.Evacuated["b"] = true
	loads := steering.NewLoadTable()
	for hash := range uint64(100) {
		must.Eq(t, "1", steering.ChooseHost(c, s, loads, steering.PlacementRequest{Hash: hash, Zone: "b"}).ID)
	}
	avoid := func(a [4]byte) bool { return a == s.Hosts[1].Addr.Addr }
	must.Nil(t, steering.ChooseHost(c, s, loads, steering.PlacementRequest{Zone: "a", Avoid: avoid}))
}

func TestSuspectHostIsAvoidedUntilItReports(t *testing.T) {
	c, s := newCatalog("a", "a")
	loads := steering.NewLoadTable()
	suspect := s.Hosts[0].Addr.Addr
	loads.MarkSuspect(suspect, time.Second)
	choose := func(now time.Duration) int {
		n := 0
		for hash := range uint64(100) {
			if steering.ChooseHost(c, s, loads, steering.PlacementRequest{Hash: hash, Zone: "a", Now: now}).Addr.Addr == suspect {
				n++
			}
		}
		return n
	}
	must.Eq(t, 0, choose(1500*time.Millisecond))
	must.Positive(t, choose(2100*time.Millisecond))
	loads.MarkSuspect(suspect, 2100*time.Millisecond)
	must.Eq(t, 0, choose(4*time.Second), must.Sprint("a second missed answer extends the time"))
	loads.Report(suspect, 0, 0, 4*time.Second)
	must.Positive(t, choose(4*time.Second))
}

func TestKeepersAreStableWhenAnAgentLeaves(t *testing.T) {
	c, _ := newCatalog("a", "a", "a", "a", "a", "a", "a", "a", "a", "a")
	fewer := &catalog.Catalog{Agents: c.Agents[:9]}
	moved := 0
	for hash := range uint64(1000) {
		hash = placement.Mix(hash + 1)
		first, second, ok := steering.Keepers(c, hash)
		must.True(t, ok)
		must.NotEq(t, first, second)
		left, right, _ := steering.Keepers(fewer, hash)
		if first != left || second != right {
			moved++
		}
	}
	must.Between(t, 130, moved, 280)
	_, _, ok := steering.Keepers(&catalog.Catalog{}, 1)
	must.False(t, ok)
}

// Simulates a restart after which all requesters reconnect at once: attempts
// arrive 2 ms apart on average, and no window of a second may exceed the limit.
func TestColdHostRateLimitHoldsInEveryWindow(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, rate := range []float64{0.5, 4, 20, 60} {
		limit := steering.ColdLimit(rate, 1.5, 5)
		var limiter steering.ColdRateLimiter
		var admitted []time.Duration
		now := time.Second
		for range 5000 {
			now += time.Duration(random.IntN(4000)) * time.Microsecond
			if limiter.Admit(now, limit) {
				admitted = append(admitted, now)
			}
		}
		for i := range admitted {
			if i+limit < len(admitted) {
				must.Greater(t, time.Second, admitted[i+limit]-admitted[i], must.Sprint("rate ", rate))
			}
		}
		must.LessEq(t, rate*1.5+5, float64(limit))
	}
}

func TestFlowsBeforeColdStateIsKnownCount(t *testing.T) {
	var limiter steering.ColdRateLimiter
	for range 10 {
		limiter.Count(time.Second)
	}
	must.False(t, limiter.Admit(1500*time.Millisecond, 10))
	must.True(t, limiter.Admit(2500*time.Millisecond, 10))
}

// A process starts and does not know the new flows that its predecessor let through.
func TestUnknownFlowsOfTheLastSecondCountAsTheLimit(t *testing.T) {
	var limiter steering.ColdRateLimiter
	limiter.AssumeUsed(5 * time.Second)
	must.False(t, limiter.Admit(5100*time.Millisecond, 10))
	must.False(t, limiter.Admit(6*time.Second, 10))
	for range 10 {
		must.True(t, limiter.Admit(6100*time.Millisecond, 10))
	}
	must.False(t, limiter.Admit(6100*time.Millisecond, 10))
	limiter = steering.ColdRateLimiter{}
	limiter.AssumeUsed(5 * time.Second)
	limiter.ForgetAssumed()
	must.True(t, limiter.Admit(5100*time.Millisecond, 10))
}

func TestAdmission(t *testing.T) {
	const target = 100 * time.Millisecond
	cases := map[string]struct {
		backlog  steering.Backlog
		priority int
		others   bool
		want     steering.Decision
	}{
		"free slot":             {steering.Backlog{Busy: 1, Slots: 2, ServiceTime: 90 * time.Millisecond}, 2, true, steering.Accept},
		"short queue":           {steering.Backlog{Busy: 3, Slots: 2, ServiceTime: 15 * time.Millisecond}, 2, true, steering.Accept},
		"queue, others":         {steering.Backlog{Busy: 6, Slots: 2, ServiceTime: 15 * time.Millisecond}, 2, true, steering.Forward},
		"queue, no others":      {steering.Backlog{Busy: 6, Slots: 2, ServiceTime: 15 * time.Millisecond}, 2, false, steering.Accept},
		"late, no others":       {steering.Backlog{Busy: 8, Slots: 2, ServiceTime: 15 * time.Millisecond}, 2, false, steering.Refuse},
		"late, but urgent":      {steering.Backlog{Busy: 8, Slots: 2, ServiceTime: 15 * time.Millisecond}, 1, false, steering.Accept},
		"far too late, urgent":  {steering.Backlog{Busy: 20, Slots: 2, ServiceTime: 15 * time.Millisecond}, 0, false, steering.Refuse},
		"queue of the host":     {steering.Backlog{Busy: 9, Slots: 2, ServiceTime: time.Millisecond}, 1, false, steering.Refuse},
		"nothing measured yet":  {steering.Backlog{Busy: 9, Slots: 2}, 2, false, steering.Accept},
		"no objective declared": {steering.Backlog{Busy: 99, Slots: 2, ServiceTime: time.Second}, 2, true, steering.Accept},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			target := target
			if name == "no objective declared" {
				target = 0
			}
			must.Eq(t, c.want, c.backlog.Admit(target, c.priority, c.others))
		})
	}
}

// A burst of 1.4 times the capacity, with each request on a new flow that is
// retried twice when refused. With admission control the share of requests
// served in time must be at least 1.5 times that of the host's queue alone.
func TestAdmissionKeepsBurstWithinTarget(t *testing.T) {
	withAdmission := simulateBurst(true)
	without := simulateBurst(false)
	must.Greater(t, 0.55, withAdmission)
	must.Greater(t, 1.5*without, withAdmission)
}

// simulateBurst simulates a burst on one host with 2 slots and a queue of 8, with
// requests of 15 ms and a target latency of 60 ms. It returns the fraction of
// requests served within the target.
func simulateBurst(admit bool) float64 {
	const (
		slots, queue = 2, 8
		work         = 15 * time.Millisecond
		target       = 60 * time.Millisecond
		retryAfter   = 20 * time.Millisecond
		requests     = 2000
	)
	gap := work * 10 / (14 * slots) // 1.4 times the capacity
	var free [slots]time.Duration
	var completions []time.Duration
	type attempt struct {
		at, firstAt time.Duration
		retriesLeft int
	}
	var attempts []attempt
	for n := range requests {
		at := time.Duration(n) * gap
		attempts = append(attempts, attempt{at, at, 2})
	}
	inTime := 0
	for i := 0; i < len(attempts); i++ {
		for j := i; j > 0 && attempts[j].at < attempts[j-1].at; j-- {
			attempts[j], attempts[j-1] = attempts[j-1], attempts[j]
		}
		current := attempts[i]
		busy := 0
		for _, d := range completions {
			if d > current.at {
				busy++
			}
		}
		backlog := steering.Backlog{Busy: busy, Slots: slots, ServiceTime: work}
		if busy >= slots+queue || admit && backlog.Admit(target, 2, false) == steering.Refuse {
			if current.retriesLeft > 0 {
				again := attempt{current.at + retryAfter, current.firstAt, current.retriesLeft - 1}
				at := i + 1
				for at < len(attempts) && attempts[at].at < again.at {
					at++
				}
				attempts = append(attempts[:at], append([]attempt{again}, attempts[at:]...)...)
			}
			continue
		}
		slot := 0
		if free[1] < free[0] {
			slot = 1
		}
		end := max(current.at, free[slot]) + work
		free[slot] = end
		completions = append(completions, end)
		if end-current.firstAt <= target {
			inTime++
		}
	}
	return float64(inTime) / requests
}

func TestServiceTimeEstimateFollowsChanges(t *testing.T) {
	var s steering.ServiceTime
	must.Zero(t, s.Mean())
	for range 100 {
		s.Observe(15 * time.Millisecond)
	}
	must.Between(t, 14*time.Millisecond, s.Mean(), 16*time.Millisecond)
	for range 100 {
		s.Observe(75 * time.Millisecond)
	}
	must.Between(t, 70*time.Millisecond, s.Mean(), 76*time.Millisecond)
}

// Guards against the first requests after a start deciding how a host compares with
// others.
func TestServiceTimeIsComparableAfterTenRequests(t *testing.T) {
	var s steering.ServiceTime
	for n := range 10 {
		must.Zero(t, s.Comparable())
		s.Observe(time.Duration(10+10*n) * time.Millisecond)
	}
	must.Eq(t, s.Mean(), s.Comparable())
	must.Between(t, 54*time.Millisecond, s.Mean(), 56*time.Millisecond, must.Sprint("each of the first requests has the same weight"))
}

// A busy host forwards a new flow when another host may take it.
func ExampleBacklog_Admit() {
	backlog := steering.Backlog{Busy: 6, Slots: 2, ServiceTime: 15 * time.Millisecond}
	fmt.Println(backlog.EstimatedLatency(), backlog.Admit(100*time.Millisecond, 2, true) == steering.Forward)
	// Output: 52.5ms true
}

// BenchmarkChooseHost chooses among 21 hosts in 3 zones with recent reports.
func BenchmarkChooseHost(b *testing.B) {
	c, service := &catalog.Catalog{}, &catalog.Service{}
	loads := steering.NewLoadTable()
	for n := byte(0); n < 21; n++ {
		h := &catalog.Host{Addr: flow.Endpoint{Addr: [4]byte{10, 0, 0, n}}, Zone: string('a' + rune(n%3)), Slots: 3}
		service.Hosts = append(service.Hosts, h)
		loads.Report(h.Addr.Addr, int(n), int(n%5), time.Second)
		loads.SetServiceTime(h.Addr.Addr, time.Duration(40+n)*time.Millisecond)
	}
	request := steering.PlacementRequest{Zone: "a", TargetLatency: 300 * time.Millisecond, Now: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		request.Hash++
		steering.ChooseHost(c, service, loads, request)
	}
}
