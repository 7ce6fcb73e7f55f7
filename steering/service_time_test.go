package steering_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/placement"
	"github.com/turmericrock/turmericrock/steering"
)

var replayZones = []string{"a", "b", "c"}

// The times of the disturbances in the replays. They last for 7 s.
const (
	disturbedFrom  = 6 * time.Second
	disturbedUntil = 13 * time.Second
	replayEnd      = 20 * time.Second
)

// replaySlowHosts replays requests for 21 hosts of which one in each zone becomes 3, 5
// and 8 times as slow. The load is a fraction of the capacity of normal hosts. It
// returns the replay and the hosts that were slow.
func replaySlowHosts(seed uint64, reportServiceTime, longFlows bool, load float64) (*replay, map[*replayHost]bool) {
	r := newReplay(seed, reportServiceTime, 7, replayZones...)
	slow := make(map[*replayHost]bool)
	for i, factor := range []float64{3, 5, 8} {
		h := r.hosts[[4]byte{10, 0, byte(i), 4}]
		slow[h] = true
		r.after(disturbedFrom, func() { h.slowness = factor })
		r.after(disturbedUntil, func() { h.slowness = 1 })
	}
	rate := load * 7 * 3 / r.work.Seconds()
	if longFlows {
		rate /= 2
	}
	for _, zone := range replayZones {
		if longFlows {
			r.arriveOnLongFlows(zone, rate, 100)
		}
		r.arrive(zone, func(time.Duration) float64 { return rate })
	}
	r.runUntil(replayEnd)
	return r, slow
}

// A seventh of the hosts is three to eight times as slow for 7 s. Guards against flows
// going to hosts that are slow but have few unanswered requests, and against hosts that
// have recovered being left without flows.
func TestSlowHostsGetFewFlowsUntilTheyRecover(t *testing.T) {
	cases := []struct {
		longFlows bool
		load      float64
		// maxMissed is the limit of the requests that miss the target latency, as a
		// fraction of those that do without service times.
		maxMissed float64
	}{
		{false, 0.2, 0.7}, {false, 0.4, 0.7}, {false, 0.6, 0.3},
		{true, 0.2, 0.7}, {true, 0.4, 0.75}, {true, 0.6, 0.4},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("long=%v/load=%v", tc.longFlows, tc.load), func(t *testing.T) {
			var missed, total [2]int
			found, placed := 0, 0
			for seed := range uint64(4) {
				for n, reportServiceTime := range []bool{false, true} {
					r, slow := replaySlowHosts(seed, reportServiceTime, tc.longFlows, tc.load)
					m, all := r.missed(disturbedFrom, disturbedUntil)
					missed[n], total[n] = missed[n]+m, total[n]+all
					if reportServiceTime {
						f, p := r.placed(disturbedUntil+3*time.Second, disturbedUntil+6*time.Second, func(p replayPlacement) bool { return slow[p.host] })
						found, placed = found+f, placed+p
					}
				}
			}
			t.Logf("missed the target latency: %d of %d without service times, %d of %d with them; from 3 s after they have recovered, the hosts get %d of %d flows",
				missed[0], total[0], missed[1], total[1], found, placed)
			must.Less(t, tc.maxMissed*float64(missed[0]), float64(missed[1]))
			must.Greater(t, 0.7/7, float64(found)/float64(placed))
		})
	}
}

// replayZoneOverload replays requests of which 2.4 times as many as usual arrive in one
// of three zones. Their flows are bulk flows, which are kept in their zone longest.
func replayZoneOverload(seed uint64, reportServiceTime, admission bool, load float64) *replay {
	r := newReplay(seed, reportServiceTime, 7, replayZones...)
	r.work, r.bulk, r.withoutAdmission = 61*time.Millisecond, true, !admission
	rate := load * 7 * 3 / r.work.Seconds()
	for _, zone := range replayZones {
		r.arrive(zone, func(now time.Duration) float64 {
			if zone == "a" && now >= disturbedFrom && now < disturbedUntil {
				return 2.4 * rate
			}
			return rate
		})
	}
	r.runUntil(replayEnd)
	return r
}

// Requests move to one zone while hosts of the other zones have free slots. Guards
// against entries keeping flows in their zone although requests wait there for about as
// long as the target latency, and against flows still leaving the zone afterwards.
func TestFlowsLeaveAZoneBeforeItsWaitCostsTheObjective(t *testing.T) {
	for _, load := range []float64{0.4, 0.5} {
		t.Run(fmt.Sprint("load=", load), func(t *testing.T) {
			var missed, total [2]int
			crossed := func(p replayPlacement) bool { return p.zone == "a" && p.host.Zone != "a" }
			for seed := range uint64(4) {
				for n, reportServiceTime := range []bool{false, true} {
					r := replayZoneOverload(seed, reportServiceTime, false, load)
					m, all := r.missed(disturbedFrom, disturbedUntil)
					missed[n], total[n] = missed[n]+m, total[n]+all
					before, placedBefore := r.placed(disturbedFrom-3*time.Second, disturbedFrom, crossed)
					after, placedAfter := r.placed(disturbedUntil+3*time.Second, replayEnd, crossed)
					must.Less(t, float64(before)/float64(placedBefore)+0.05, float64(after)/float64(placedAfter))
				}
			}
			t.Logf("missed the target latency: %d of %d without service times, %d of %d with them", missed[0], total[0], missed[1], total[1])
			must.Less(t, 0.5*float64(missed[0]), float64(missed[1]))
		})
	}
}

// The same with agents that pass openings on, which moves flows out of the zone before
// the wait is considered. Guards against both together moving too many.
func TestZoneOverloadWithAdmissionMissesFewTargets(t *testing.T) {
	for seed := range uint64(3) {
		missed, total := replayZoneOverload(seed, true, true, 0.5).missed(disturbedFrom, disturbedUntil)
		must.Less(t, 0.01*float64(total), float64(missed))
	}
}

// The estimates of equal hosts differ by up to half. Guards against such scatter
// shifting flows from some hosts to others.
func TestScatteredEstimatesSpreadFlowsEvenly(t *testing.T) {
	for _, load := range []float64{0.3, 0.6} {
		var counts [2]map[string]int
		for n, reportServiceTime := range []bool{false, true} {
			r := newReplay(1, reportServiceTime, 7, "a")
			for i, h := range r.service.Hosts {
				r.hosts[h.Addr.Addr].estimateFactor = 1 + 0.3*float64(i)/6
			}
			r.arrive("a", func(time.Duration) float64 { return load * 7 * 3 / r.work.Seconds() })
			r.runUntil(10 * time.Second)
			counts[n] = make(map[string]int)
			for _, p := range r.placements {
				counts[n][p.host.ID]++
			}
		}
		must.Eq(t, counts[0], counts[1])
	}
}

// reportServiceTimes returns a load table in which the hosts of a service report the given
// numbers of unanswered requests and service times, in milliseconds.
func reportServiceTimes(agents [][4]byte, now time.Duration, busy, millis []int) *steering.LoadTable {
	loads := steering.NewLoadTable()
	for n, agent := range agents {
		loads.Report(agent, 10, busy[n], now)
		loads.SetServiceTime(agent, time.Duration(millis[n])*time.Millisecond)
	}
	return loads
}

func TestCostOfServiceTime(t *testing.T) {
	cases := []struct {
		name         string
		busy, millis []int
		target, age  time.Duration
		// want is the host that gets nearly all flows. Hosts have two slots.
		want string
	}{
		{"a slow idle host against little load", []int{0, 3, 2}, []int{250, 50, 50}, 0, 0, "2"},
		{"five times the load", []int{0, 5, 6}, []int{250, 50, 50}, 0, 0, "0"},
		{"later than the target latency", []int{0, 5, 6}, []int{250, 50, 50}, 200 * time.Millisecond, 0, "1"},
		{"the median is later than the target latency", []int{0, 5, 6}, []int{250, 50, 50}, 40 * time.Millisecond, 0, "0"},
		{"scatter", []int{2, 3, 3}, []int{74, 50, 50}, 0, 0, "0"},
		{"rounding of short times", []int{0, 1, 1}, []int{5, 1, 1}, 0, 0, "0"},
		{"a slow host among two", []int{0, 3, 100}, []int{250, 50, 0}, 0, 0, "1"},
		{"old reports", []int{0, 3, 3}, []int{250, 50, 50}, 0, 3 * time.Second, "any"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, s := newCatalog("a", "a", "a")
			now := time.Minute
			loads := reportServiceTimes(c.Agents, now-tc.age, tc.busy, tc.millis)
			counts := make(map[string]int)
			for hash := range uint64(1000) {
				counts[steering.ChooseHost(c, s, loads, steering.PlacementRequest{Hash: placement.Mix(hash), Zone: "a", TargetLatency: tc.target, Now: now}).ID]++
			}
			if tc.want == "any" {
				must.MapLen(t, 3, counts)
				return
			}
			must.Greater(t, 950, counts[tc.want], must.Sprint(counts))
		})
	}
}

// A host that cannot meet the target latency is still better than one that refuses
// flows or does not answer.
func TestLateHostIsChosenBeforeThoseThatTakeNoFlows(t *testing.T) {
	c, s := newCatalog("a", "a", "a", "a")
	now := time.Minute
	loads := reportServiceTimes(c.Agents, now, []int{0, 4, 0, 0}, []int{400, 50, 50, 50})
	loads.MarkRefusing(c.Agents[2], now)
	loads.MarkSuspect(c.Agents[3], now)
	request := steering.PlacementRequest{Hash: 1, Zone: "a", TargetLatency: 300 * time.Millisecond, Now: now}
	avoided := make(map[[4]byte]bool)
	request.Avoid = func(agent [4]byte) bool { return avoided[agent] }
	for _, want := range []string{"1", "0", "2", "3"} {
		h := steering.ChooseHost(c, s, loads, request)
		must.Eq(t, want, h.ID)
		avoided[h.Addr.Addr] = true
	}
}

// Reports carry service times of up to 65 s. Guards against a host that is very slow, or
// says so, costing more than one that refuses flows or does not answer.
func TestSlowestHostIsChosenBeforeThoseThatTakeNoFlows(t *testing.T) {
	for _, tc := range []struct{ busy, millis, median int }{{0, 65_535, 1}, {10, 65_535, 1}, {10, 2_000, 50}, {10, 2_000, 5}, {10, 500, 290}} {
		t.Run(fmt.Sprintf("%+v", tc), func(t *testing.T) {
			c, s := newCatalog("a", "a", "a", "a")
			now := time.Minute
			loads := reportServiceTimes(c.Agents, now, []int{tc.busy, 0, 0, 0}, []int{tc.millis, tc.median, tc.median, tc.median})
			loads.MarkRefusing(c.Agents[1], now)
			loads.MarkSuspect(c.Agents[2], now)
			loads.MarkSuspect(c.Agents[3], now)
			request := steering.PlacementRequest{Hash: 1, Zone: "a", TargetLatency: 300 * time.Millisecond, Now: now}
			must.Eq(t, "0", steering.ChooseHost(c, s, loads, request).ID)
		})
	}
}

// Hosts that are drained or evacuated because they are slow still report while they serve
// their open flows. Guards against them setting what counts as slow for the others.
func TestHostsOutOfUseDoNotSetTheMedianServiceTime(t *testing.T) {
	c, s := newCatalog("a", "a", "a", "b", "b")
	now := time.Minute
	loads := reportServiceTimes(c.Agents, now, []int{0, 2, 0, 0, 0}, []int{400, 50, 400, 400, 400})
	s.Hosts[2].Draining = true
	c.Evacuated["b"] = true
	for hash := range uint64(1000) {
		request := steering.PlacementRequest{Hash: placement.Mix(hash), Zone: "a", TargetLatency: 300 * time.Millisecond, Now: now}
		want := "1"
		if steering.IgnoresServiceTime(request.Hash) {
			want = "0"
		}
		must.Eq(t, want, steering.ChooseHost(c, s, loads, request).ID)
	}
}

// Guards against a slow host being measured no longer, since nothing else would show
// that it has recovered.
func TestOnePlacementIn64IgnoresServiceTime(t *testing.T) {
	c, s := newCatalog("a", "a", "a")
	loads := reportServiceTimes(c.Agents, time.Minute, []int{0, 3, 3}, []int{400, 50, 50})
	request := steering.PlacementRequest{Zone: "a", TargetLatency: 300 * time.Millisecond, Now: time.Minute}
	slow := 0
	for hash := range uint64(64_000) {
		request.Hash = placement.Mix(hash)
		if steering.ChooseHost(c, s, loads, request).ID == "0" {
			slow++
		}
	}
	must.Between(t, 900, slow, 1100)
}
