package bench

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/entry"
	"github.com/turmericrock/turmericrock/placement"
	"github.com/turmericrock/turmericrock/tunnel"
)

// Policy is a way of choosing a host for a new flow.
type Policy uint8

// Policies that are compared.
const (
	// PolicyHash takes the key modulo the listed hosts.
	PolicyHash Policy = iota
	// PolicyRendezvous takes the first choice of weighted rendezvous.
	PolicyRendezvous
	// PolicyFeedback is rendezvous with weights that fall with the reported
	// load.
	PolicyFeedback
	// PolicyEntryTwo lets the entry take the less loaded of two choices, by
	// reports and by its own placements since.
	PolicyEntryTwo
	// PolicyAgentTwo lets the first agent pass a flow on once to a less
	// loaded second choice. It is what the roles do.
	PolicyAgentTwo
	policyCount
)

// String returns the policy's name for figures.
func (p Policy) String() string {
	return [policyCount]string{"hash", "rendezvous", "feedback", "entry_two", "agent_two"}[p]
}

// FairnessConfig describes one run.
type FairnessConfig struct {
	Policy  Policy
	Hosts   int
	Entries int
	// FlowsPerHost is the mean number of flows of a host.
	FlowsPerHost int
	// Lifetime is the mean of the flows' exponential lifetimes.
	Lifetime time.Duration
	// ProbeEvery is the time in which an entry probes each host once.
	ProbeEvery time.Duration
	// Steady is how long the steady state is looked at.
	Steady time.Duration
	Seed   uint64
}

// FairnessResult is what a run showed.
type FairnessResult struct {
	// Mean and P99 are of the greatest flows over the mean, once a second.
	Mean float64
	P99  float64
	// AfterReturn is the same one minute after a host's return, and
	// WorstReturn the greatest from then on for a minute.
	AfterReturn float64
	WorstReturn float64
	// Split is the share of flows whose two opening packets went to two
	// agents.
	Split float64
	// Passed is the share of flows that the first agent passed on.
	Passed float64
}

const (
	reportInterval = 250 * time.Millisecond
	reportDelayMax = 50 * time.Millisecond
	reportLoss     = 0.05
	warmup         = 30 * time.Second
	coldShare      = 0.2
	absence        = 2 * time.Minute
	returnMark     = time.Minute
	feedbackPower  = 8
)

// fairness is the state of a run.
type fairness struct {
	config  FairnessConfig
	rng     *rand.Rand
	now     time.Duration
	hosts   []simHost
	entries [][]simReport
	ends    endHeap
	result  FairnessResult
	flows   int
	splits  int
	passes  int
}

type simHost struct {
	out        bool
	flows      int
	generation int
	backAt     time.Duration
	peers      *placement.LoadCache[int]
}

// simReport is what an entry knows of a host.
type simReport struct {
	sentAt   time.Duration
	at       time.Duration
	report   tunnel.Report
	previous tunnel.Report
	placed   uint32
	probeAt  time.Duration
}

// simEnd is the end of a flow.
type simEnd struct {
	at         time.Duration
	host       int
	generation int
}

type endHeap []simEnd

// Len implements heap.Interface.
func (h endHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h endHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h endHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *endHeap) Push(x any) { *h = append(*h, x.(simEnd)) }

// Pop implements heap.Interface.
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// RunFairness runs flows through entries whose views are apart. Equal
// arguments give equal results.
func RunFairness(config FairnessConfig) FairnessResult {
	f := &fairness{
		config:  config,
		rng:     rand.New(rand.NewPCG(config.Seed, 0)),
		hosts:   make([]simHost, config.Hosts),
		entries: make([][]simReport, config.Entries),
	}
	for i := range f.hosts {
		f.hosts[i].backAt = -warmup
		f.hosts[i].peers = placement.NewLoadCache[int](entry.LoadMaxAge, config.Hosts)
	}
	for i := range f.entries {
		f.entries[i] = make([]simReport, config.Hosts)
		for j := range f.entries[i] {
			f.entries[i][j].sentAt = -time.Hour
			f.entries[i][j].probeAt = time.Duration(f.rng.Int64N(int64(config.ProbeEvery)))
		}
	}
	f.run(5*config.Lifetime, nil)
	var steady []float64
	f.run(config.Steady, func() { steady = append(steady, f.imbalance()) })
	slices.Sort(steady)
	f.result.Mean = mean(steady)
	f.result.P99 = steady[len(steady)*99/100]
	f.result.Split = float64(f.splits) / float64(f.flows)
	f.result.Passed = float64(f.passes) / float64(f.flows)
	f.takeOut(0)
	f.run(absence, nil)
	f.hosts[0].out = false
	f.hosts[0].backAt = f.now
	f.run(returnMark, nil)
	f.result.AfterReturn = f.imbalance()
	f.run(returnMark, func() { f.result.WorstReturn = max(f.result.WorstReturn, f.imbalance()) })
	return f.result
}

// takeOut closes the host's flows; their callers come again at once.
func (f *fairness) takeOut(host int) {
	h := &f.hosts[host]
	again := h.flows
	h.flows, h.out = 0, true
	h.generation++
	for range again {
		f.open()
	}
}

// run lets the time pass and calls sample once a second.
func (f *fairness) run(span time.Duration, sample func()) {
	end := f.now + span
	rate := float64(f.config.FlowsPerHost*f.config.Hosts) / f.config.Lifetime.Seconds()
	next := f.now + f.exponential(1/rate)
	sampled := f.now
	for f.now < end {
		f.now = min(next, end)
		f.endFlows()
		if sample != nil && f.now-sampled >= time.Second {
			sampled = f.now
			sample()
		}
		if f.now == next {
			f.open()
			next += f.exponential(1 / rate)
		}
	}
}

func (f *fairness) exponential(meanSeconds float64) time.Duration {
	return time.Duration(f.rng.ExpFloat64()*meanSeconds*1e9) + 1
}

func (f *fairness) endFlows() {
	for len(f.ends) > 0 && f.ends[0].at <= f.now {
		end := heap.Pop(&f.ends).(simEnd)
		if f.hosts[end.host].generation == end.generation {
			f.hosts[end.host].flows--
		}
	}
}

func (f *fairness) imbalance() float64 {
	most, total, hosts := 0, 0, 0
	for _, h := range f.hosts {
		if !h.out {
			most = max(most, h.flows)
			total += h.flows
			hosts++
		}
	}
	return float64(most) * float64(hosts) / float64(total)
}

// open opens a flow, whose two packets reach entries of their own.
func (f *fairness) open() {
	key := f.rng.Uint64()
	halves := [2]int{}
	passed := false
	for i := range halves {
		e := f.rng.IntN(len(f.entries))
		first, second := f.choose(e, key)
		f.reach(e, first)
		halves[i] = first
		if f.config.Policy == PolicyAgentTwo && second != placement.None {
			// The agent decides on the first packet and remembers.
			if i == 0 {
				passed = f.passesOn(e, first, second)
			}
			if passed {
				halves[i] = second
			}
		}
	}
	f.flows++
	if halves[0] != halves[1] {
		f.splits++
	}
	if passed {
		f.passes++
	}
	h := &f.hosts[halves[0]]
	h.flows++
	heap.Push(&f.ends, simEnd{
		at:         f.now + f.exponential(f.config.Lifetime.Seconds()),
		host:       halves[0],
		generation: h.generation,
	})
}

// passesOn is the first agent's decision on a flow.
func (f *fairness) passesOn(e, first, second int) bool {
	told := uint64(f.load(e, second))
	known := f.hosts[first].peers.Recent(time.Unix(0, int64(f.now)), second, told)
	if known == placement.UnknownLoad {
		return false
	}
	return placement.PreferSecond(uint64(f.report(first).Load()), known)
}

func (f *fairness) choose(e int, key uint64) (first, second int) {
	candidates := make([]placement.Candidate, len(f.hosts))
	var open []int
	for i, h := range f.hosts {
		if h.out {
			continue
		}
		open = append(open, i)
		candidates[i] = placement.Candidate{Seed: placement.Mix(uint64(i) + 1), Weight: f.weight(e, i)}
	}
	if f.config.Policy == PolicyHash {
		return open[key%uint64(len(open))], placement.None
	}
	first, second = placement.Choose(key, candidates)
	if f.config.Policy == PolicyEntryTwo && second != placement.None {
		if f.estimate(e, second) < f.estimate(e, first) {
			first, second = second, first
		}
		f.entries[e][first].placed++
	}
	return first, second
}

func (f *fairness) weight(e, host int) float64 {
	seen := f.seen(e, host)
	age := f.now - f.entries[e][host].at
	weight := max(entry.RampedCapacity(seen, age, warmup), coldShare)
	if f.config.Policy == PolicyAgentTwo {
		return weight * f.catchUp(e, host)
	}
	if f.config.Policy != PolicyFeedback {
		return weight
	}
	return weight * math.Pow(1/float64(max(1, seen.Flows)), feedbackPower)
}

// catchUp is the entry's factor on a warm host's weight.
func (f *fairness) catchUp(e, host int) float64 {
	if f.load(e, host) == tunnel.UnknownLoad || f.seen(e, host).Capacity < fullCapacity {
		return 1
	}
	total, known := 0.0, 0.0
	for i := range f.hosts {
		if load := f.load(e, i); !f.hosts[i].out && load != tunnel.UnknownLoad {
			total += float64(load)
			known++
		}
	}
	return placement.CatchUpFactor(float64(f.load(e, host)), total/known)
}

// estimate is the reported load with the entry's own placements since, half
// of which are second packets.
func (f *fairness) estimate(e, host int) uint64 {
	seen := f.seen(e, host)
	seen.Flows += f.entries[e][host].placed / 2
	return uint64(seen.Load())
}

// load is what the entry tells the first agent of the second choice.
func (f *fairness) load(e, host int) tunnel.Load {
	known := &f.entries[e][host]
	if f.now-known.at > entry.LoadMaxAge {
		return tunnel.UnknownLoad
	}
	return f.seen(e, host).Load()
}

// seen returns the report that the entry has, after the probes that are due.
func (f *fairness) seen(e, host int) tunnel.Report {
	known := &f.entries[e][host]
	if f.now >= known.probeAt {
		known.probeAt = f.now + f.config.ProbeEvery
		f.reach(e, host)
	}
	if f.now < known.at {
		return known.previous
	}
	return known.report
}

// reach makes the agent report to the entry, coalesced, late, sometimes lost.
func (f *fairness) reach(e, host int) {
	known := &f.entries[e][host]
	if f.now-known.sentAt < reportInterval {
		return
	}
	known.sentAt = f.now
	if f.rng.Float64() < reportLoss {
		return
	}
	known.previous = known.report
	known.report = f.report(host)
	known.at = f.now + time.Duration(f.rng.Int64N(int64(reportDelayMax)))
	known.placed = 0
}

// report is the host's true load.
func (f *fairness) report(host int) tunnel.Report {
	h := &f.hosts[host]
	ramp := float64(f.now-h.backAt) / float64(warmup)
	capacity := min(1, coldShare+(1-coldShare)*ramp)
	return tunnel.Report{Flows: uint32(h.flows), Capacity: uint16(fullCapacity * capacity)}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// FairnessRuns are the sizes at which the policies are compared.
func FairnessRuns() map[string]FairnessConfig {
	today := FairnessConfig{
		Entries:      4,
		FlowsPerHost: 100,
		Lifetime:     time.Minute,
		ProbeEvery:   1100 * time.Millisecond,
		Steady:       10 * time.Minute,
		Seed:         1,
	}
	four, seven, long, design := today, today, today, today
	four.Hosts, seven.Hosts, long.Hosts, design.Hosts = 4, 7, 7, 3
	long.Lifetime = 5 * time.Minute
	design.Entries = 930
	design.FlowsPerHost = 1240
	design.Lifetime = 88 * time.Second
	design.ProbeEvery = 500 * time.Second
	return map[string]FairnessConfig{"hosts_4": four, "hosts_7": seven, "hosts_7_long": long, "design": design}
}

// measureFairness compares the policies.
func measureFairness(show func(Figure)) error {
	for _, name := range []string{"hosts_4", "hosts_7", "hosts_7_long", "design"} {
		for policy := range policyCount {
			config := FairnessRuns()[name]
			config.Policy = policy
			result := RunFairness(config)
			prefix := fmt.Sprintf("fairness_%s_%s_", name, policy)
			show(Figure{Name: prefix + "mean", Value: result.Mean, Unit: "ratio"})
			show(Figure{Name: prefix + "p99", Value: result.P99, Unit: "ratio"})
			show(Figure{Name: prefix + "after_return", Value: result.AfterReturn, Unit: "ratio"})
			show(Figure{Name: prefix + "worst_return", Value: result.WorstReturn, Unit: "ratio"})
			show(Figure{Name: prefix + "split", Value: result.Split, Unit: "ratio"})
			show(Figure{Name: prefix + "passed", Value: result.Passed, Unit: "ratio"})
		}
	}
	return nil
}
