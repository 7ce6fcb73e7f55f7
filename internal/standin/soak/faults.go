package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/turmericrock/turmericrock/internal/standin/store"
)

// maxFaultInterval is the longest time between the starts of two faults. It is
// shorter than most faults last, so that faults overlap.
const maxFaultInterval = 900 * time.Millisecond

// fault is a kind of fault that the run injects.
type fault struct {
	name string
	run  func(r *run)
}

var faults = []fault{
	{"entry killed", func(r *run) { r.recordUnplannedFault(); r.any(r.entries).signal(syscall.SIGKILL) }},
	{"agent killed", func(r *run) { r.recordUnplannedFault(); r.any(r.agents).signal(syscall.SIGKILL) }},
	{"entry stopped", func(r *run) { r.any(r.entries).terminate() }},
	{"all entries killed", func(r *run) {
		r.recordUnplannedFault()
		for _, p := range r.entries {
			p.signal(syscall.SIGKILL)
		}
	}},
	{"all agents killed", func(r *run) {
		r.recordUnplannedFault()
		for _, p := range r.agents {
			p.signal(syscall.SIGKILL)
		}
	}},
	{"entry paused", func(r *run) { r.pauseProcess(r.any(r.entries)) }},
	{"agent paused", func(r *run) { r.pauseProcess(r.any(r.agents)) }},
	{"host crashes", crashHost},
	{"host drains", drainHost},
	{"zone evacuated", evacuateZone},
	{"configuration changes", func(r *run) { r.writeConfiguration() }},
	{"store unavailable", func(r *run) { r.failStore(store.Unavailable) }},
	{"store resets connections", func(r *run) { r.failStore(store.ConnectionReset) }},
	{"store unresponsive", func(r *run) { r.failStore(store.Unresponsive) }},
	{"store restored", restoreStore},
	{"store compacts", func(r *run) { r.store.Compact() }},
	{"packets dropped", func(r *run) { r.disruptPackets(0.2, 0) }},
	{"packets delayed", func(r *run) { r.disruptPackets(0, 60*time.Millisecond) }},
	{"settings reload signalled", func(r *run) { r.any(r.entries).signal(syscall.SIGHUP); r.any(r.agents).signal(syscall.SIGHUP) }},
}

// injectFaults injects random faults, chosen by the seed, for FaultDuration.
func (r *run) injectFaults() {
	end := time.Now().Add(r.FaultDuration)
	for time.Now().Before(end) && r.ctx.Err() == nil {
		f := faults[r.random.IntN(len(faults))]
		r.Log("%7.3fs %s", time.Since(r.checker.started).Seconds(), f.name)
		f.run(r)
		sleep(r.ctx, time.Duration(r.random.Int64N(int64(maxFaultInterval))))
	}
}

// endFaults ends all faults that are still in effect.
func (r *run) endFaults() {
	r.store.SetFailure(store.Healthy, 0)
	for _, key := range r.clients.Lost() {
		r.clients.Rewrite(key)
	}
	r.router.setFaults(nil, nil)
	for _, p := range append(r.entries, r.agents...) {
		p.signal(syscall.SIGCONT)
	}
	for n, h := range r.hosts {
		h.restore()
		r.checker.reopenHost(h)
		r.writeHostRecord(n, "ready")
	}
	for n := range 2 {
		r.clients.Delete("op/evacuate/" + zoneName(n))
	}
}

func (r *run) recordUnplannedFault() { r.checker.recordFault() }

// any returns a random one of the processes.
func (r *run) any(from []*process) *process { return from[r.random.IntN(len(from))] }

// afterRandomDelay calls step after a random time below the limit, unless the
// run has ended by then.
func (r *run) afterRandomDelay(limit time.Duration, step func()) {
	r.afterDelay(time.Duration(r.random.Int64N(int64(limit))), step)
}

func (r *run) afterDelay(delay time.Duration, step func()) {
	time.AfterFunc(delay, func() {
		if r.ctx.Err() == nil {
			step()
		}
	})
}

func (r *run) pauseProcess(p *process) {
	r.recordUnplannedFault()
	p.signal(syscall.SIGSTOP)
	r.afterRandomDelay(3*time.Second, func() {
		r.recordUnplannedFault()
		p.signal(syscall.SIGCONT)
	})
}

func crashHost(r *run) {
	r.recordUnplannedFault()
	h := r.hosts[r.random.IntN(len(r.hosts))]
	h.crash()
	r.afterRandomDelay(3*time.Second, func() {
		r.recordUnplannedFault()
		h.restore()
	})
}

func drainHost(r *run) {
	n := r.random.IntN(len(r.hosts) / 2) // Only the first half of the hosts drains, so that each service keeps some hosts.
	r.writeHostRecord(n, "draining")
	r.checker.closeHost(r.hosts[n], drainBound)
	r.afterRandomDelay(8*time.Second, func() {
		r.checker.reopenHost(r.hosts[n])
		r.writeHostRecord(n, "ready")
	})
}

func evacuateZone(r *run) {
	evacuated := zoneName(0)
	r.putJSON("op/evacuate/"+evacuated, map[string]any{})
	for n, h := range r.hosts {
		if zoneName(n/2) == evacuated {
			r.checker.closeHost(h, evacuateBound)
		}
	}
	r.afterRandomDelay(9*time.Second, func() {
		for n, h := range r.hosts {
			if zoneName(n/2) == evacuated {
				r.checker.reopenHost(h)
			}
		}
		r.clients.Delete("op/evacuate/" + evacuated)
	})
}

func (r *run) failStore(f store.Failure) {
	r.recordUnplannedFault()
	r.store.SetFailure(f, 0)
	r.afterRandomDelay(4*time.Second, func() {
		r.recordUnplannedFault()
		r.store.SetFailure(store.Healthy, 0)
	})
}

const (
	// maxLostWrites is the greatest number of writes that a restored store has lost.
	maxLostWrites = 12
	// maxTimeAway is the longest time until a restored store returns.
	maxTimeAway = 2 * time.Second
	// maxRewriteDelay is the longest time until a client of the store writes again what
	// the store has lost.
	maxRewriteDelay = 1500 * time.Millisecond
)

// restoreStore makes the store unavailable and return from a copy. Its clients write
// again what it has lost, in a random order.
func restoreStore(r *run) {
	r.restoreStore(r.random.Int64N(maxLostWrites))
}

// restoreStore has the store lose the given number of writes.
func (r *run) restoreStore(lost int64) {
	r.recordUnplannedFault()
	r.store.SetFailure(store.Unavailable, 0)
	random := rand.New(rand.NewPCG(r.random.Uint64(), 1))
	r.afterRandomDelay(maxTimeAway, func() {
		r.recordUnplannedFault()
		r.store.Restore(max(store.FirstRevision, r.store.Revision()-lost))
		r.store.SetFailure(store.Healthy, 0)
		for _, key := range r.clients.Lost() {
			r.afterDelay(time.Duration(random.Int64N(int64(maxRewriteDelay))), func() { r.clients.Rewrite(key) })
		}
	})
}

func (r *run) disruptPackets(dropProbability float64, maxDelay time.Duration) {
	r.recordUnplannedFault()
	var drop func() bool
	if dropProbability > 0 {
		drop = randomDrops(r.random.Uint64(), dropProbability)
	}
	var delay func() time.Duration
	if maxDelay > 0 {
		delay = randomDelays(r.random.Uint64(), maxDelay)
	}
	r.router.setFaults(drop, delay)
	r.afterRandomDelay(3*time.Second, func() {
		r.recordUnplannedFault()
		r.router.setFaults(nil, nil)
	})
}
