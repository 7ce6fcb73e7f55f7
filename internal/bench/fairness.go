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

// Policy is a method of selecting the host of a new flow.
type Policy uint8

// The policies that the simulation compares.
const (
	// PolicyHash selects a host by the key modulo the number of hosts.
	PolicyHash Policy = iota
	// PolicyRendezvous takes the first choice of weighted rendezvous hashing.
	PolicyRendezvous
	// PolicyFeedback is weighted rendezvous hashing with weights that decrease
	// with the reported load.
	PolicyFeedback
	// PolicyEntryTwoChoices lets the entry take the less loaded of the first two
	// choices, based on the last reports and its own placements since then.
	PolicyEntryTwoChoices
	// PolicyAgentTwoChoices lets the agent of the first choice forward a flow
	// once to a less loaded second choice. It is the policy in production use.
	PolicyAgentTwoChoices
	policyCount
)

// String returns the name of the policy as used in figure names.
func (p Policy) String() string {
	return [policyCount]string{"hash", "rendezvous", "feedback", "entry_two", "agent_two"}[p]
}

// FairnessConfig configures one run of the simulation.
type FairnessConfig struct {
	Policy  Policy
	Hosts   int
	Entries int
	// FlowsPerHost is the mean number of open flows per host.
	FlowsPerHost int
	// MeanLifetime is the mean of the exponentially distributed flow lifetimes.
	MeanLifetime time.Duration
	// ProbeInterval is the time in which an entry probes each host once.
	ProbeInterval time.Duration
	// SteadyDuration is the time for which the steady state is sampled.
	SteadyDuration time.Duration
	Seed           uint64
}

// FairnessResult holds the results of a run. The imbalance is the number of
// flows of the most loaded host divided by the mean over all hosts.
type FairnessResult struct {
	// MeanImbalance and P99Imbalance are the mean and the 99th percentile of the
	// imbalance in the steady state, sampled once per second.
	MeanImbalance float64
	P99Imbalance  float64
	// ImbalanceAfterReturn is the imbalance one minute after a host returned, and
	// MaxImbalanceAfterReturn is the maximum over the minute that follows.
	ImbalanceAfterReturn    float64
	MaxImbalanceAfterReturn float64
	// SplitShare is the share of flows whose two initial packets were sent to
	// different agents.
	SplitShare float64
	// ForwardedShare is the share of flows that the agent of the first choice
	// forwarded to the second choice.
	ForwardedShare float64
}

const (
	reportInterval   = 250 * time.Millisecond
	reportDelayMax   = 50 * time.Millisecond
	reportLoss       = 0.05
	warmupDuration   = 30 * time.Second
	minCapacityShare = 0.2
	outageDuration   = 2 * time.Minute
	returnWindow     = time.Minute
	feedbackExponent = 8
)

// fairnessSim is the state of one simulation run.
type fairnessSim struct {
	config         FairnessConfig
	rng            *rand.Rand
	now            time.Duration
	hosts          []simHost
	entries        [][]simHostView
	flowEnds       flowEndHeap
	result         FairnessResult
	flows          int
	splitFlows     int
	forwardedFlows int
}

type simHost struct {
	removed    bool
	flows      int
	generation int
	returnedAt time.Duration
	peerLoads  *placement.LoadCache[int]
}

// simHostView is the state that an entry holds about a host.
type simHostView struct {
	sentAt            time.Duration
	receivedAt        time.Duration
	report            tunnel.Report
	previous          tunnel.Report
	placedSinceReport uint32
	nextProbeAt       time.Duration
}

// flowEnd is the scheduled end of a flow. It is ignored if the generation of the
// host has changed since the flow was opened.
type flowEnd struct {
	at         time.Duration
	host       int
	generation int
}

type flowEndHeap []flowEnd

// Len implements heap.Interface.
func (h flowEndHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowEndHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h flowEndHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *flowEndHeap) Push(x any) { *h = append(*h, x.(flowEnd)) }

// Pop implements heap.Interface.
func (h *flowEndHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// RunFairness simulates flows that are placed by several entries, each with its
// own, differently outdated view of the hosts. Equal arguments give equal
// results.
func RunFairness(config FairnessConfig) FairnessResult {
	f := &fairnessSim{
		config:  config,
		rng:     rand.New(rand.NewPCG(config.Seed, 0)),
		hosts:   make([]simHost, config.Hosts),
		entries: make([][]simHostView, config.Entries),
	}
	for i := range f.hosts {
		f.hosts[i].returnedAt = -warmupDuration
		f.hosts[i].peerLoads = placement.NewLoadCache[int](entry.LoadMaxAge, config.Hosts)
	}
	for i := range f.entries {
		f.entries[i] = make([]simHostView, config.Hosts)
		for j := range f.entries[i] {
			f.entries[i][j].sentAt = -time.Hour
			f.entries[i][j].nextProbeAt = time.Duration(f.rng.Int64N(int64(config.ProbeInterval)))
		}
	}
	f.advance(5*config.MeanLifetime, nil)
	var steady []float64
	f.advance(config.SteadyDuration, func() { steady = append(steady, f.imbalance()) })
	slices.Sort(steady)
	f.result.MeanImbalance = mean(steady)
	f.result.P99Imbalance = steady[len(steady)*99/100]
	f.result.SplitShare = float64(f.splitFlows) / float64(f.flows)
	f.result.ForwardedShare = float64(f.forwardedFlows) / float64(f.flows)
	f.removeHost(0)
	f.advance(outageDuration, nil)
	f.hosts[0].removed = false
	f.hosts[0].returnedAt = f.now
	f.advance(returnWindow, nil)
	f.result.ImbalanceAfterReturn = f.imbalance()
	f.advance(returnWindow, func() { f.result.MaxImbalanceAfterReturn = max(f.result.MaxImbalanceAfterReturn, f.imbalance()) })
	return f.result
}

// removeHost removes the host and closes its flows, which their callers reopen
// immediately.
func (f *fairnessSim) removeHost(host int) {
	h := &f.hosts[host]
	reopened := h.flows
	h.flows, h.removed = 0, true
	h.generation++
	for range reopened {
		f.openFlow()
	}
}

// advance simulates the given duration and calls sample, if not nil, once per
// second.
func (f *fairnessSim) advance(duration time.Duration, sample func()) {
	end := f.now + duration
	rate := float64(f.config.FlowsPerHost*f.config.Hosts) / f.config.MeanLifetime.Seconds()
	nextOpen := f.now + f.exponential(1/rate)
	lastSample := f.now
	for f.now < end {
		f.now = min(nextOpen, end)
		f.endFlows()
		if sample != nil && f.now-lastSample >= time.Second {
			lastSample = f.now
			sample()
		}
		if f.now == nextOpen {
			f.openFlow()
			nextOpen += f.exponential(1 / rate)
		}
	}
}

func (f *fairnessSim) exponential(meanSeconds float64) time.Duration {
	return time.Duration(f.rng.ExpFloat64()*meanSeconds*1e9) + 1
}

func (f *fairnessSim) endFlows() {
	for len(f.flowEnds) > 0 && f.flowEnds[0].at <= f.now {
		end := heap.Pop(&f.flowEnds).(flowEnd)
		if f.hosts[end.host].generation == end.generation {
			f.hosts[end.host].flows--
		}
	}
}

func (f *fairnessSim) imbalance() float64 {
	maxFlows, total, hosts := 0, 0, 0
	for _, h := range f.hosts {
		if !h.removed {
			maxFlows = max(maxFlows, h.flows)
			total += h.flows
			hosts++
		}
	}
	return float64(maxFlows) * float64(hosts) / float64(total)
}

// openFlow opens a flow. Each of its two initial packets arrives at a randomly
// chosen entry.
func (f *fairnessSim) openFlow() {
	key := f.rng.Uint64()
	targets := [2]int{}
	forwarded := false
	for i := range targets {
		entryIndex := f.rng.IntN(len(f.entries))
		first, second := f.chooseHosts(entryIndex, key)
		f.deliverReport(entryIndex, first)
		targets[i] = first
		if f.config.Policy == PolicyAgentTwoChoices && second != placement.None {
			// The agent decides on the first packet and reuses its decision for
			// the second.
			if i == 0 {
				forwarded = f.shouldForward(entryIndex, first, second)
			}
			if forwarded {
				targets[i] = second
			}
		}
	}
	f.flows++
	if targets[0] != targets[1] {
		f.splitFlows++
	}
	if forwarded {
		f.forwardedFlows++
	}
	h := &f.hosts[targets[0]]
	h.flows++
	heap.Push(&f.flowEnds, flowEnd{
		at:         f.now + f.exponential(f.config.MeanLifetime.Seconds()),
		host:       targets[0],
		generation: h.generation,
	})
}

// shouldForward reports whether the agent of the first choice forwards a new
// flow to the second choice.
func (f *fairnessSim) shouldForward(entryIndex, first, second int) bool {
	reportedLoad := uint64(f.knownLoad(entryIndex, second))
	peerLoad := f.hosts[first].peerLoads.Recent(time.Unix(0, int64(f.now)), second, reportedLoad)
	if peerLoad == placement.UnknownLoad {
		return false
	}
	return placement.PreferSecond(uint64(f.actualReport(first).Load()), peerLoad)
}

func (f *fairnessSim) chooseHosts(entryIndex int, key uint64) (first, second int) {
	candidates := make([]placement.Candidate, len(f.hosts))
	var available []int
	for i, h := range f.hosts {
		if h.removed {
			continue
		}
		available = append(available, i)
		candidates[i] = placement.Candidate{Seed: placement.Mix(uint64(i) + 1), Weight: f.weight(entryIndex, i)}
	}
	if f.config.Policy == PolicyHash {
		return available[key%uint64(len(available))], placement.None
	}
	first, second = placement.Choose(key, candidates)
	if f.config.Policy == PolicyEntryTwoChoices && second != placement.None {
		if f.estimate(entryIndex, second) < f.estimate(entryIndex, first) {
			first, second = second, first
		}
		f.entries[entryIndex][first].placedSinceReport++
	}
	return first, second
}

func (f *fairnessSim) weight(entryIndex, host int) float64 {
	report := f.latestReport(entryIndex, host)
	age := f.now - f.entries[entryIndex][host].receivedAt
	weight := max(entry.RampedCapacity(report, age, warmupDuration), minCapacityShare)
	if f.config.Policy == PolicyAgentTwoChoices {
		return weight * f.catchUpFactor(entryIndex, host)
	}
	if f.config.Policy != PolicyFeedback {
		return weight
	}
	return weight * math.Pow(1/float64(max(1, report.Flows)), feedbackExponent)
}

// catchUpFactor returns the factor that the entry applies to the weight of a
// host: 1 for a cold host or one without a known load, and otherwise one that
// depends on the host's load relative to the mean.
func (f *fairnessSim) catchUpFactor(entryIndex, host int) float64 {
	if f.knownLoad(entryIndex, host) == tunnel.UnknownLoad || f.latestReport(entryIndex, host).Capacity < fullCapacity {
		return 1
	}
	total, knownHosts := 0.0, 0.0
	for i := range f.hosts {
		if load := f.knownLoad(entryIndex, i); !f.hosts[i].removed && load != tunnel.UnknownLoad {
			total += float64(load)
			knownHosts++
		}
	}
	return placement.CatchUpFactor(float64(f.knownLoad(entryIndex, host)), total/knownHosts)
}

// estimate returns the reported load plus the flows that the entry has placed
// since the report. The placements are halved because every flow is placed
// twice, once for each of its initial packets.
func (f *fairnessSim) estimate(entryIndex, host int) uint64 {
	report := f.latestReport(entryIndex, host)
	report.Flows += f.entries[entryIndex][host].placedSinceReport / 2
	return uint64(report.Load())
}

// knownLoad returns the load of the host according to its last report, or
// tunnel.UnknownLoad if the report is older than entry.LoadMaxAge. The entry
// sends the load of the second choice to the agent of the first choice.
func (f *fairnessSim) knownLoad(entryIndex, host int) tunnel.Load {
	view := &f.entries[entryIndex][host]
	if f.now-view.receivedAt > entry.LoadMaxAge {
		return tunnel.UnknownLoad
	}
	return f.latestReport(entryIndex, host).Load()
}

// latestReport returns the last report of the host that has arrived at the
// entry, after sending a probe if one is due.
func (f *fairnessSim) latestReport(entryIndex, host int) tunnel.Report {
	view := &f.entries[entryIndex][host]
	if f.now >= view.nextProbeAt {
		view.nextProbeAt = f.now + f.config.ProbeInterval
		f.deliverReport(entryIndex, host)
	}
	if f.now < view.receivedAt {
		return view.previous
	}
	return view.report
}

// deliverReport simulates the report that an agent sends when it receives a
// packet or probe from the entry. Reports are limited to one per
// reportInterval, delayed by up to reportDelayMax and lost with probability
// reportLoss.
func (f *fairnessSim) deliverReport(entryIndex, host int) {
	view := &f.entries[entryIndex][host]
	if f.now-view.sentAt < reportInterval {
		return
	}
	view.sentAt = f.now
	if f.rng.Float64() < reportLoss {
		return
	}
	view.previous = view.report
	view.report = f.actualReport(host)
	view.receivedAt = f.now + time.Duration(f.rng.Int64N(int64(reportDelayMax)))
	view.placedSinceReport = 0
}

// actualReport returns a report with the current load of the host.
func (f *fairnessSim) actualReport(host int) tunnel.Report {
	h := &f.hosts[host]
	ramp := float64(f.now-h.returnedAt) / float64(warmupDuration)
	capacity := min(1, minCapacityShare+(1-minCapacityShare)*ramp)
	return tunnel.Report{Flows: uint32(h.flows), Capacity: uint16(fullCapacity * capacity)}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// FairnessRuns returns the configurations with which the policies are compared,
// by name. The caller sets the policy.
func FairnessRuns() map[string]FairnessConfig {
	base := FairnessConfig{
		Entries:        4,
		FlowsPerHost:   100,
		MeanLifetime:   time.Minute,
		ProbeInterval:  1100 * time.Millisecond,
		SteadyDuration: 10 * time.Minute,
		Seed:           1,
	}
	fourHosts, sevenHosts, longLived, designSize := base, base, base, base
	fourHosts.Hosts, sevenHosts.Hosts, longLived.Hosts, designSize.Hosts = 4, 7, 7, 3
	longLived.MeanLifetime = 5 * time.Minute
	designSize.Entries = 930
	designSize.FlowsPerHost = 1240
	designSize.MeanLifetime = 88 * time.Second
	designSize.ProbeInterval = 500 * time.Second
	return map[string]FairnessConfig{"hosts_4": fourHosts, "hosts_7": sevenHosts, "hosts_7_long": longLived, "design": designSize}
}

// measureFairness runs every policy with every configuration of FairnessRuns.
func measureFairness(show func(Figure)) error {
	for _, name := range []string{"hosts_4", "hosts_7", "hosts_7_long", "design"} {
		for policy := range policyCount {
			config := FairnessRuns()[name]
			config.Policy = policy
			result := RunFairness(config)
			prefix := fmt.Sprintf("fairness_%s_%s_", name, policy)
			show(Figure{Name: prefix + "mean", Value: result.MeanImbalance, Unit: "ratio"})
			show(Figure{Name: prefix + "p99", Value: result.P99Imbalance, Unit: "ratio"})
			show(Figure{Name: prefix + "after_return", Value: result.ImbalanceAfterReturn, Unit: "ratio"})
			show(Figure{Name: prefix + "worst_return", Value: result.MaxImbalanceAfterReturn, Unit: "ratio"})
			show(Figure{Name: prefix + "split", Value: result.SplitShare, Unit: "ratio"})
			show(Figure{Name: prefix + "passed", Value: result.ForwardedShare, Unit: "ratio"})
		}
	}
	return nil
}
