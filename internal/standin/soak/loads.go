package soak

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"
)

const (
	// pressers is how many requesters press on a service, each with one request after the
	// other. Those of one route alone exceed the slots and queues of two of its three hosts.
	pressers = 80
	// maxAttempts is how often a requester tries to have a request run.
	maxAttempts = 3
	// loadSettleTime is how long a load goes on after the last fault, and loadBound the
	// time limit for everything to be answered after its end.
	loadSettleTime = 2 * time.Second
	loadBound      = 2 * time.Second
	// idlePoll is how often pressers that do not press look for a load.
	idlePoll = 20 * time.Millisecond
)

// loads are the kinds of load: which of the routes of the first service are pressed.
var loads = []struct {
	name  string
	ports []uint16
}{
	{"burst of the route of priority 2", []uint16{normalPort}},
	{"burst of the route of priority 1", []uint16{urgentPort}},
	{"all hosts of the service saturated", []uint16{normalPort, urgentPort}},
}

// loadFaults are injected during loads.
var loadFaults = []fault{
	{"agent killed", func(r *run) { r.recordUnplannedFault(); r.any(r.agents).signal(syscall.SIGKILL) }},
	{"agent stopped", func(r *run) { r.recordUnplannedFault(); r.any(r.agents).terminate() }},
	{"agent paused", func(r *run) { r.pauseProcess(r.any(r.agents)) }},
	{"no fault", func(*run) {}},
}

// injectLoads presses on the first service while agents fail, for FaultDuration, ends the
// faults and then the load, and checks that everything is answered after that.
func (r *run) injectLoads() error {
	for n := range pressers {
		q, err := r.newRequester(r.Requesters + 1 + n)
		if err != nil {
			return err
		}
		q.service.Port, q.wantService = []uint16{normalPort, urgentPort}[n%2], services[0].name
		go r.press(q)
	}
	end := time.Now().Add(r.FaultDuration)
	for time.Now().Before(end) && r.ctx.Err() == nil {
		if r.pressed.Load() == nil || r.random.IntN(3) == 0 {
			load := loads[r.random.IntN(len(loads))]
			r.Log("%7.3fs %s", time.Since(r.checker.started).Seconds(), load.name)
			r.pressed.Store(&load.ports)
		}
		f := loadFaults[r.random.IntN(len(loadFaults))]
		r.Log("%7.3fs %s", time.Since(r.checker.started).Seconds(), f.name)
		f.run(r)
		sleep(r.ctx, time.Duration(r.random.Int64N(int64(maxFaultInterval))))
	}
	r.endFaults()
	sleep(r.ctx, loadSettleTime)
	r.pressed.Store(nil)
	r.awaitResponses("responses after the load", loadBound)
	return nil
}

// press sends requests, each on a flow of its own, while the requester's route is pressed.
func (r *run) press(q *requester) {
	go q.receive()
	defer func() { _ = q.conn.Close() }() // Ends receive.
	for n := 0; r.ctx.Err() == nil; {
		if ports := r.pressed.Load(); ports == nil || !slices.Contains(*ports, q.service.Port) {
			sleep(r.ctx, idlePoll)
			continue
		}
		n++
		q.request(r.ctx, fmt.Sprintf("pressed %v#%d", q.addr, n))
	}
}

// request tries to have a request run until it may have run. The identifier is its content.
func (r *requester) request(ctx context.Context, id string) {
	for range maxAttempts {
		key := r.nextFlow()
		seq, opened := r.openFlow(ctx, key)
		if opened {
			result := r.sendRequest(ctx, key, seq, 2, id)
			if result == failed {
				r.checker.requestFailed()
			}
			if result != refused {
				return
			}
		}
		r.checker.attemptRefused(id)
	}
	r.checker.requestRefused(id)
}
