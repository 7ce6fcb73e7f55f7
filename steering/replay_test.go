package steering_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

const (
	// replayWork is the mean time that a request is in service at a normal host. Single
	// requests take from half of it to one and a half times as long.
	replayWork = 47 * time.Millisecond
	// replayHop is the time that a datagram takes between two machines.
	replayHop = 500 * time.Microsecond
	// replayAttempts is how often a requester tries to open a flow for a request.
	replayAttempts = 3
	// replayQueue is how many requests a host queues for each slot.
	replayQueue = 4
	// replayKeepers is how many agents other than the owner learn of a new flow.
	replayKeepers = 2
)

// replay simulates requesters, entries, agents and hosts of one service on a virtual
// clock. Placement and admission are those of package steering; reports travel with
// the same events as in package datagram.
type replay struct {
	random  *rand.Rand
	now     time.Duration
	events  eventQueue
	catalog *catalog.Catalog
	service *catalog.Service
	hosts   map[[4]byte]*replayHost
	// entries holds the load tables of the entries of each zone.
	entries map[string][]*steering.LoadTable
	// work is the mean service time of a normal host, target the target latency.
	work, target time.Duration
	bulk         bool
	// withoutAdmission makes agents accept all flows, so that only the entries decide
	// which host gets them.
	withoutAdmission bool
	// reportServiceTime selects the policy under test. Without it, hosts report no
	// service time, and flows are placed as before there were service times.
	reportServiceTime bool
	// requests holds the finished requests, placements the accepted flows.
	requests   []replayRequest
	placements []replayPlacement
}

// replayRequest is a request that was answered or has failed.
type replayRequest struct {
	startedAt, took time.Duration
	zone            string
	failed, long    bool
}

// replayPlacement is a flow that a host has accepted.
type replayPlacement struct {
	at   time.Duration
	zone string
	host *replayHost
}

// replayHost is a host with its agent.
type replayHost struct {
	*catalog.Host
	// slowness is the factor by which the host takes longer than normally.
	slowness float64
	// estimateFactor is the factor by which the reported service time is wrong.
	estimateFactor   float64
	open, unanswered int
	running          int
	queue            []func()
	serviceTime      steering.ServiceTime
	loads            *steering.LoadTable
}

type event struct {
	at  time.Duration
	run func()
}

// eventQueue is a heap of events in the order of their times.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newReplay returns a service with the given number of hosts, of 3 slots each, and two
// entries in each zone.
func newReplay(seed uint64, reportServiceTime bool, hostsPerZone int, zones ...string) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 1)), hosts: make(map[[4]byte]*replayHost), work: replayWork, target: 300 * time.Millisecond,
		entries: make(map[string][]*steering.LoadTable), reportServiceTime: reportServiceTime,
		service: &catalog.Service{Name: "s"},
		catalog: &catalog.Catalog{Hosts: make(map[[4]byte]*catalog.Host), Evacuated: make(map[string]bool)},
	}
	for z, zone := range zones {
		for n := range hostsPerZone {
			h := &catalog.Host{ID: fmt.Sprint(zone, n), Service: "s", Zone: zone, Slots: 3, Addr: flow.Endpoint{Addr: [4]byte{10, 0, byte(z), byte(n + 1)}}}
			r.service.Hosts = append(r.service.Hosts, h)
			r.catalog.Hosts[h.Addr.Addr] = h
			r.hosts[h.Addr.Addr] = &replayHost{Host: h, slowness: 1, estimateFactor: 1, loads: steering.NewLoadTable()}
		}
		r.entries[zone] = []*steering.LoadTable{steering.NewLoadTable(), steering.NewLoadTable()}
	}
	return r
}

// after schedules a call.
func (r *replay) after(d time.Duration, run func()) {
	heap.Push(&r.events, event{r.now + d, run})
}

// runUntil runs all events up to a time.
func (r *replay) runUntil(end time.Duration) {
	for len(r.events) > 0 && r.events[0].at <= end {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
	r.now = end
}

// interval returns a random time between arrivals at a rate per second.
func (r *replay) interval(rate float64) time.Duration {
	return time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
}

// arrive lets requests on flows of their own arrive in a zone at random. The rate per
// second may change over time.
func (r *replay) arrive(zone string, rate func(now time.Duration) float64) {
	r.after(r.interval(rate(r.now)), func() {
		r.openFlow(zone, replayAttempts, r.now, func(h *replayHost, startedAt time.Duration) {
			r.request(h, zone, startedAt, false, func() { h.open-- })
		})
		r.arrive(zone, rate)
	})
}

// arriveOnLongFlows lets requests arrive in a zone at a constant rate per second on
// flows that stay open for some seconds each.
func (r *replay) arriveOnLongFlows(zone string, rate float64, flows int) {
	perFlow := 1 / (float64(flows)/rate - r.work.Seconds())
	for range flows {
		r.after(time.Duration(r.random.Float64()*float64(2*time.Second)), func() { r.longFlow(zone, perFlow, 4*time.Second) })
	}
}

// longFlow keeps a flow open in a zone, which carries requests at a rate per second,
// and opens another one when it ends.
func (r *replay) longFlow(zone string, rate float64, lifetime time.Duration) {
	startedAt := r.now
	r.openFlow(zone, replayAttempts, startedAt, func(h *replayHost, _ time.Duration) {
		end := r.now + time.Duration((0.5+r.random.Float64())*float64(lifetime))
		var next func()
		next = func() {
			if r.now >= end {
				h.open--
				r.longFlow(zone, rate, lifetime)
				return
			}
			r.request(h, zone, r.now, true, func() { r.after(r.interval(rate), next) })
		}
		next()
	})
}

// openFlow places a flow. It calls opened once a host has accepted it.
func (r *replay) openFlow(zone string, attempts int, startedAt time.Duration, opened func(h *replayHost, startedAt time.Duration)) {
	if attempts == 0 {
		r.requests = append(r.requests, replayRequest{startedAt: startedAt, zone: zone, failed: true})
		return
	}
	entry := r.entries[zone][r.random.IntN(len(r.entries[zone]))]
	hash := r.random.Uint64()
	request := steering.PlacementRequest{Hash: hash, Zone: zone, Bulk: r.bulk, TargetLatency: r.target, Now: r.now}
	host := steering.ChooseHost(r.catalog, r.service, entry, request)
	entry.RecordPlacement(host.Addr.Addr)
	avoided := make(map[[4]byte]bool)
	var offer func(h *replayHost, hops int)
	offer = func(h *replayHost, hops int) {
		backlog := steering.Backlog{Busy: h.unanswered, Slots: h.Slots, ServiceTime: h.serviceTime.Mean()}
		decision := steering.Accept
		if !r.withoutAdmission {
			decision = backlog.Admit(r.target, 2, hops < 4)
		}
		if decision == steering.Forward {
			r.report(h, entry)
			avoided[h.Addr.Addr] = true
			next := steering.PlacementRequest{Hash: hash, TargetLatency: r.target, Now: r.now, Avoid: func(a [4]byte) bool { return avoided[a] }}
			if other := steering.ChooseHost(r.catalog, r.service, h.loads, next); other != nil {
				r.after(replayHop, func() { offer(r.hosts[other.Addr.Addr], hops+1) })
				return
			}
			decision = backlog.Admit(r.target, 2, false)
		}
		if decision == steering.Refuse {
			r.after(replayHop, func() { r.openFlow(zone, attempts-1, startedAt, opened) })
			return
		}
		h.open++
		r.placements = append(r.placements, replayPlacement{r.now, zone, h})
		r.report(h, entry)
		for range replayKeepers {
			r.report(h, r.hosts[r.service.Hosts[r.random.IntN(len(r.service.Hosts))].Addr.Addr].loads)
		}
		r.after(2*replayHop, func() {
			r.report(h, entry)
			opened(h, startedAt)
		})
	}
	r.after(replayHop, func() { offer(r.hosts[host.Addr.Addr], 0) })
}

// report sends a report of the host's load to a process.
func (r *replay) report(h *replayHost, to *steering.LoadTable) {
	open, unanswered, serviceTime := h.open, h.unanswered, time.Duration(h.estimateFactor*float64(h.serviceTime.Comparable())).Round(time.Millisecond)
	r.after(replayHop, func() {
		to.Report(h.Addr.Addr, open, unanswered, r.now)
		if r.reportServiceTime {
			to.SetServiceTime(h.Addr.Addr, serviceTime)
		}
	})
}

// request runs a request at the host of its flow and calls done once it has ended.
func (r *replay) request(h *replayHost, zone string, startedAt time.Duration, long bool, done func()) {
	arrivedAt, slotWasFree := r.now, h.unanswered < h.Slots
	if h.unanswered >= (1+replayQueue)*h.Slots {
		r.requests = append(r.requests, replayRequest{startedAt: startedAt, zone: zone, failed: true, long: long})
		done()
		return
	}
	h.unanswered++
	serve := func() {
		h.running++
		r.after(time.Duration((0.5+r.random.Float64())*h.slowness*float64(r.work)), func() {
			h.running--
			h.unanswered--
			if slotWasFree {
				h.serviceTime.Observe(r.now - arrivedAt)
			}
			r.requests = append(r.requests, replayRequest{startedAt: startedAt, took: r.now - startedAt, zone: zone, long: long})
			if len(h.queue) > 0 {
				next := h.queue[0]
				h.queue = h.queue[1:]
				next()
			}
			done()
		})
	}
	if h.running < h.Slots {
		serve()
		return
	}
	h.queue = append(h.queue, serve)
}

// missed returns how many requests that started in a period failed or took longer than
// the target latency, and how many there were.
func (r *replay) missed(from, to time.Duration) (missed, total int) {
	for _, q := range r.requests {
		if q.startedAt < from || q.startedAt >= to {
			continue
		}
		total++
		if q.failed || q.took > r.target {
			missed++
		}
	}
	return missed, total
}

// placed returns how many flows that were placed in a period match, and how many there
// were.
func (r *replay) placed(from, to time.Duration, match func(p replayPlacement) bool) (matching, total int) {
	for _, p := range r.placements {
		if p.at < from || p.at >= to {
			continue
		}
		total++
		if match(p) {
			matching++
		}
	}
	return matching, total
}
