package steering_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/placement"
	"github.com/turmericrock/turmericrock/steering"
)

const (
	overloadEnd   = 6 * time.Second
	overloadSeeds = 4
)

func steadyLoad(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

// saturate replays a steady load with several seeds and returns the sums.
func saturate(hosts, entries int, load float64, entriesRefuse, agentsSkip bool) (results map[int]*kindResult, frames int, idle float64) {
	results = map[int]*kindResult{1: {}, 2: {}}
	for seed := range uint64(overloadSeeds) {
		o := newOverload(seed, hosts, entries, true)
		o.entriesRefuse, o.agentsSkip = entriesRefuse, agentsSkip
		o.arriveAt(steadyLoad(load))
		o.runUntil(overloadEnd)
		frames += o.frames
		idle += o.idle.Seconds() / (overloadSeeds * overloadEnd.Seconds() * 3 * float64(hosts))
		for priority, r := range o.results {
			results[priority].add(r)
		}
	}
	return results, frames, idle
}

func (r *kindResult) add(other *kindResult) {
	r.asked += other.asked
	r.inObjective += other.inObjective
	r.late += other.late
	r.failed += other.failed
	r.refusedAtEntry += other.refusedAtEntry
	r.refusedAtAgent += other.refusedAtAgent
}

// answeredShare returns the share of a kind's requests that were answered.
func (r *kindResult) answeredShare() float64 { return float64(r.inObjective+r.late) / float64(r.asked) }

// All hosts have more requests than they can serve. Guards against openings that every
// host refuses being passed from host to host, against the higher priority being refused
// at entries, and against entries that refuse so much that hosts run idle.
func TestEntriesRefuseWhatASaturatedServiceRefuses(t *testing.T) {
	cases := []struct {
		hosts, entries int
		load           float64
		// maxFrames is the limit of the frames between processes and minAtEntry the least
		// share of the refusals that are at entries.
		maxFrames, minAtEntry float64
	}{
		{4, 2, 1.3, 0.6, 0.5}, {4, 2, 2, 0.4, 0.7}, {12, 4, 1.3, 0.95, 0}, {12, 4, 2, 0.5, 0.3}, {21, 6, 1.6, 0.85, 0.03},
	}
	for _, tc := range cases {
		t.Run(fmt.Sprintf("hosts=%d/load=%v", tc.hosts, tc.load), func(t *testing.T) {
			before, framesBefore, idleBefore := saturate(tc.hosts, tc.entries, tc.load, false, false)
			after, frames, idle := saturate(tc.hosts, tc.entries, tc.load, true, true)
			for name, r := range map[string]map[int]*kindResult{"before": before, "after": after} {
				t.Logf("%s: priority 1 %+v, priority 2 %+v", name, *r[1], *r[2])
			}
			t.Logf("frames %d -> %d, idle %.3f -> %.3f", framesBefore, frames, idleBefore, idle)
			must.Less(t, tc.maxFrames*float64(framesBefore), float64(frames))
			refused := after[2].refusedAtEntry + after[2].refusedAtAgent
			must.GreaterEq(t, tc.minAtEntry, float64(after[2].refusedAtEntry)/float64(refused))
			must.LessEq(t, 0.005, float64(after[1].refusedAtEntry)/float64(after[1].asked))
			for priority := 1; priority <= 2; priority++ {
				must.GreaterEq(t, before[priority].answeredShare()-0.02, after[priority].answeredShare(), must.Sprint("priority", priority))
			}
			must.LessEq(t, idleBefore+0.01, idle)
		})
	}
}

// Entries that refuse openings hear less of the hosts, and least if no openings of a
// higher priority come. Guards against entries that alternate between refusing openings
// until the hosts run idle and placing all of them.
func TestRefusalsDoNotLetHostsRunIdle(t *testing.T) {
	const window, settled = 100 * time.Millisecond, time.Second
	for _, load := range []float64{1.3, 2, 3} {
		t.Run(fmt.Sprintf("load=%v", load), func(t *testing.T) {
			var frames, lowest [2]int
			var idle [2]float64
			for n, levels := range []bool{false, true} {
				lowest[n] = 1 << 20
				for seed := range uint64(overloadSeeds) {
					o := newOverload(seed, 4, 2, levels)
					o.withoutUrgent = true
					o.arriveAt(steadyLoad(load))
					o.runUntil(overloadEnd)
					frames[n] += o.frames
					idle[n] += o.idle.Seconds() / (overloadSeeds * overloadEnd.Seconds() * 3 * 4)
					answers := make([]int, overloadEnd/window)
					for _, at := range o.answers {
						answers[min(int(at/window), len(answers)-1)]++
					}
					lowest[n] = min(lowest[n], slices.Min(answers[settled/window:]))
				}
			}
			t.Logf("before and after: frames %v, idle %.3f, fewest answers within the objective in %v: %v", frames, idle, window, lowest)
			must.Less(t, 0.65*float64(frames[0]), float64(frames[1]))
			must.LessEq(t, idle[0]+0.01, idle[1])
			must.GreaterEq(t, lowest[0]*2/3, lowest[1])
		})
	}
}

// An entry loses all agents while their service is saturated. Guards against it refusing
// openings by what it last heard.
func TestEntryThatIsCutOffPlacesOpenings(t *testing.T) {
	const cutFrom, cutUntil = 2 * time.Second, 4 * time.Second
	refusedAfterCut := 0
	for seed := range uint64(overloadSeeds) {
		o := newOverload(seed, 4, 2, true)
		o.arriveAt(steadyLoad(2))
		entry := o.entries[0]
		o.after(cutFrom, func() { o.cut[entry] = true })
		o.after(cutUntil, func() { delete(o.cut, entry) })
		o.runUntil(overloadEnd)
		before, after := 0, 0
		for _, r := range o.refusals {
			switch {
			case r.entry != entry:
			case r.at < cutFrom:
				before++
			case r.at < cutUntil:
				must.Less(t, cutFrom+500*time.Millisecond, r.at)
				refusedAfterCut++
			default:
				after++
			}
		}
		must.Positive(t, before)
		must.Positive(t, after, must.Sprint("it refuses again once it hears of the hosts"))
	}
	t.Logf("%d refusals while it was cut off", refusedAfterCut)
}

// All processes and hosts restart while their service is saturated. Guards against
// entries that refuse openings before they have heard of every host.
func TestEntriesRefuseNothingAfterARestart(t *testing.T) {
	const restartAt = 3 * time.Second
	answered := map[bool]int{}
	for seed := range uint64(overloadSeeds) {
		for _, levels := range []bool{false, true} {
			o := newOverload(seed, 4, 2, levels)
			o.arriveAt(steadyLoad(1.6))
			o.after(restartAt, o.restart)
			o.runUntil(overloadEnd)
			for _, r := range o.refusals {
				if r.at > restartAt {
					must.Less(t, r.at-restartAt, r.level.OldestAge, must.Sprint("a report from before the restart"))
					must.Eq(t, 4, r.level.Hosts)
					must.Greater(t, restartAt+50*time.Millisecond, r.at, must.Sprint("the hosts are still filling"))
				}
			}
			for _, at := range o.answers {
				if at > restartAt && at <= restartAt+time.Second {
					answered[levels]++
				}
			}
		}
	}
	t.Logf("answered within the objective in the second after: %d before, %d after", answered[false], answered[true])
	must.GreaterEq(t, answered[false]*97/100, answered[true])
}

// levelOf returns the level of a host of 3 slots and 40 ms of service time that has the
// given numbers of requests, one after the other, and how often it changed.
func levelOf(l *steering.AdmissionLevel, busy ...int) (lowest, changes int) {
	openings := []steering.Opening{overloadKinds[0].Opening, overloadKinds[1].Opening}
	for i := range openings {
		openings[i].Timeout = 0
	}
	lowest = l.Lowest()
	for _, n := range busy {
		l.Update(0, &steering.RequestQueue{}, openings, func(int) steering.Backlog {
			return steering.Backlog{Busy: n, Slots: 3, ServiceTime: 40 * time.Millisecond}
		})
		if l.Lowest() != lowest {
			changes++
		}
		lowest = l.Lowest()
	}
	return lowest, changes
}

// A saturated host has room for one opening after each answer. Guards against a level
// that changes each time, and against one that stays when the host has room again.
func TestLevelHoldsAtTheEdge(t *testing.T) {
	var l steering.AdmissionLevel
	lowest, changes := levelOf(&l, 3, 6, 9, 11)
	must.Eq(t, steering.AdmitsAll, lowest)
	must.Zero(t, changes)
	var edge []int
	for range 50 {
		edge = append(edge, 12, 11, 10)
	}
	lowest, changes = levelOf(&l, edge...)
	must.Eq(t, 1, lowest)
	must.Eq(t, 1, changes)
	lowest, _ = levelOf(&l, 8)
	must.Eq(t, steering.AdmitsAll, lowest)
	lowest, _ = levelOf(&l, 20)
	must.Zero(t, lowest, must.Sprint("priority 0 counts as admitted, since frames cannot say otherwise"))
}

// Guards against a level that says that a priority is refused although openings of it
// are admitted late.
func TestLevelCountsLateAdmission(t *testing.T) {
	var l steering.AdmissionLevel
	busy := 13
	update := func(timeout time.Duration) int {
		l.Update(0, &steering.RequestQueue{}, []steering.Opening{{Priority: 2, TargetLatency: 300 * time.Millisecond, Timeout: timeout}},
			func(int) steering.Backlog {
				return steering.Backlog{Busy: busy, Slots: 3, ServiceTime: 40 * time.Millisecond}
			})
		return l.Lowest()
	}
	must.Eq(t, steering.AdmitsAll, update(1500*time.Millisecond))
	must.Zero(t, update(50*time.Millisecond))
	must.Zero(t, update(100*time.Millisecond), must.Sprint("late only behind fewer requests than the host has slots"))
	must.Eq(t, steering.AdmitsAll, update(1500*time.Millisecond))
	must.Zero(t, update(50*time.Millisecond))
	busy = 0
	must.Eq(t, steering.AdmitsAll, update(50*time.Millisecond))
}

// refusing returns a load table in which all hosts of a service have just said that
// they admit priority 1 and no lower one.
func refusing(agents [][4]byte, now time.Duration) *steering.LoadTable {
	loads := steering.NewLoadTable()
	for _, agent := range agents {
		loads.Report(agent, 10, 12, now)
		loads.SetAdmitPriority(agent, 1, true)
	}
	return loads
}

func TestRefusalNeedsEveryHost(t *testing.T) {
	now := time.Minute
	const hash = 1
	cases := []struct {
		name     string
		change   func(loads *steering.LoadTable, agent [4]byte)
		age      time.Duration
		priority int
		want     bool
		// latency is the expected one of the host whose service time is known.
		latency time.Duration
	}{
		{"all refuse", nil, 0, 2, true, 0},
		{"the higher priority", nil, 0, 1, false, 0},
		{"reports are 500 ms old", nil, 500 * time.Millisecond, 2, true, 0},
		{"reports are older", nil, 501 * time.Millisecond, 2, false, 0},
		{"one report is two service times old", func(l *steering.LoadTable, a [4]byte) { l.SetServiceTime(a, 40*time.Millisecond) }, 80 * time.Millisecond, 2, true, 260 * time.Millisecond},
		{"one report is older than that", func(l *steering.LoadTable, a [4]byte) { l.SetServiceTime(a, 40*time.Millisecond) }, 81 * time.Millisecond, 2, false, 0},
		{"one host runs an earlier build", func(l *steering.LoadTable, a [4]byte) { l.SetAdmitPriority(a, -1, false) }, 0, 2, false, 0},
		{"one host admits", func(l *steering.LoadTable, a [4]byte) { l.SetAdmitPriority(a, 2, true) }, 0, 2, false, 0},
		{"one host admits all", func(l *steering.LoadTable, a [4]byte) { l.SetAdmitPriority(a, steering.AdmitsAll, true) }, 0, 2, false, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, s := newCatalog("a", "a", "b")
			loads := refusing(c.Agents, now-tc.age)
			want := steering.ServiceLevel{Hosts: 3, OldestAge: tc.age, Lowest: 1, LeastBusy: 12, LeastLatency: tc.latency}
			if tc.change != nil {
				tc.change(loads, c.Agents[2])
			}
			level, refuses := loads.RefusesAtOnce(c, s, tc.priority, hash, now)
			must.Eq(t, tc.want, refuses)
			if refuses {
				must.Eq(t, want, level)
			}
		})
	}
}

// Hosts that take no openings do not keep a service from being overloaded, and a service
// without hosts is not overloaded. Hosts whose entries lapsed may still take openings.
func TestRefusalCountsTheHostsThatTakeOpenings(t *testing.T) {
	now := time.Minute
	refuses := func(change func(c *catalog.Catalog, s *catalog.Service)) bool {
		c, s := newCatalog("a", "a", "b")
		loads := refusing(c.Agents[:2], now)
		change(c, s)
		_, refuses := loads.RefusesAtOnce(c, s, 2, 1, now)
		return refuses
	}
	lapsed := func(c *catalog.Catalog, s *catalog.Service) {
		s.Lapsed, s.Hosts, c.LapsedAt = s.Hosts[2:], s.Hosts[:2], now-time.Second
	}
	must.False(t, refuses(func(*catalog.Catalog, *catalog.Service) {}), must.Sprint("nothing is known of one host"))
	must.True(t, refuses(func(_ *catalog.Catalog, s *catalog.Service) { s.Hosts[2].Draining = true }))
	must.True(t, refuses(func(c *catalog.Catalog, _ *catalog.Service) { c.Evacuated["b"] = true }))
	must.False(t, refuses(func(_ *catalog.Catalog, s *catalog.Service) { s.Hosts = nil }))
	must.False(t, refuses(lapsed))
	must.True(t, refuses(func(c *catalog.Catalog, s *catalog.Service) { lapsed(c, s); c.LapsedAt = now - time.Minute }))
}

// Guards against entries that hear nothing of free capacity, since all openings that
// would bring news of it are refused.
func TestOneOpeningIn16IsPlacedAtAnOverloadedService(t *testing.T) {
	c, s := newCatalog("a", "a")
	loads := refusing(c.Agents, time.Minute)
	placed, ignoring := 0, 0
	for hash := range uint64(64_000) {
		if _, refuses := loads.RefusesAtOnce(c, s, 2, placement.Mix(hash), time.Minute); !refuses {
			placed++
			if placement.Mix(placement.Mix(hash))%64 == 0 {
				ignoring++
			}
		}
	}
	must.Between(t, 3700, placed, 4300)
	// These are placed like others, by service time.
	must.Between(t, 30, ignoring, 100)
}
