package soak

import (
	"syscall"
	"time"

	"github.com/turmericrock/turmericrock/internal/standin/store"
)

// faultGap is the longest time between two faults; most overlap.
const faultGap = 900 * time.Millisecond

// fault is a kind of trouble.
type fault struct {
	name string
	run  func(r *run)
}

var faults = []fault{
	{"entry killed", func(r *run) { r.unplanned(); r.any(r.entries).signal(syscall.SIGKILL) }},
	{"agent killed", func(r *run) { r.unplanned(); r.any(r.agents).signal(syscall.SIGKILL) }},
	{"entry stopped", func(r *run) { r.any(r.entries).term() }},
	{"all entries killed", func(r *run) {
		r.unplanned()
		for _, p := range r.entries {
			p.signal(syscall.SIGKILL)
		}
	}},
	{"all agents killed", func(r *run) {
		r.unplanned()
		for _, p := range r.agents {
			p.signal(syscall.SIGKILL)
		}
	}},
	{"entry paused", func(r *run) { r.pause(r.any(r.entries)) }},
	{"agent paused", func(r *run) { r.pause(r.any(r.agents)) }},
	{"host crashes", hostCrashes},
	{"host drains", hostDrains},
	{"zone taken out", zoneOut},
	{"configuration changes", func(r *run) { r.declare() }},
	{"store busy", func(r *run) { r.storeFails(store.Unavailable) }},
	{"store resets", func(r *run) { r.storeFails(store.ConnectionReset) }},
	{"store silent", func(r *run) { r.storeFails(store.Unresponsive) }},
	{"store compacts", func(r *run) { r.store.Compact() }},
	{"packets lost", func(r *run) { r.harm(0.2, 0) }},
	{"packets late", func(r *run) { r.harm(0, 60*time.Millisecond) }},
	{"settings signalled", func(r *run) { r.any(r.entries).signal(syscall.SIGHUP); r.any(r.agents).signal(syscall.SIGHUP) }},
}

// inject runs faults by the seed.
func (r *run) inject() {
	end := time.Now().Add(r.FaultDuration)
	for time.Now().Before(end) && r.ctx.Err() == nil {
		f := faults[r.random.IntN(len(faults))]
		r.Logf("%7.3fs %s", time.Since(r.checks.started).Seconds(), f.name)
		f.run(r)
		sleep(r.ctx, time.Duration(r.random.Int64N(int64(faultGap))))
	}
}

// heal ends what does not end by itself.
func (r *run) heal() {
	r.store.SetFailure(store.Healthy, 0)
	r.router.harm(nil, nil)
	for _, p := range append(r.entries, r.agents...) {
		p.signal(syscall.SIGCONT)
	}
	for n, h := range r.hosts {
		h.back()
		r.checks.openTo(h)
		r.register(n, "ready")
	}
	for n := range 2 {
		r.store.Delete("op/evacuate/" + zone(n))
	}
}

func (r *run) unplanned() { r.checks.disturb() }

func (r *run) any(from []*process) *process { return from[r.random.IntN(len(from))] }

// later runs a step after a random time up to a limit, unless the run is over.
func (r *run) later(most time.Duration, step func()) {
	time.AfterFunc(time.Duration(r.random.Int64N(int64(most))), func() {
		if r.ctx.Err() == nil {
			step()
		}
	})
}

func (r *run) pause(p *process) {
	r.unplanned()
	p.signal(syscall.SIGSTOP)
	r.later(3*time.Second, func() {
		r.unplanned()
		p.signal(syscall.SIGCONT)
	})
}

func hostCrashes(r *run) {
	r.unplanned()
	h := r.hosts[r.random.IntN(len(r.hosts))]
	h.crash()
	r.later(3*time.Second, func() {
		r.unplanned()
		h.back()
	})
}

func hostDrains(r *run) {
	n := r.random.IntN(len(r.hosts) / 2) // Some hosts of each service stay.
	r.register(n, "draining")
	r.checks.closeTo(r.hosts[n], drainBound)
	r.later(8*time.Second, func() {
		r.checks.openTo(r.hosts[n])
		r.register(n, "ready")
	})
}

func zoneOut(r *run) {
	out := zone(0)
	r.put("op/evacuate/"+out, map[string]any{})
	for n, h := range r.hosts {
		if zone(n/2) == out {
			r.checks.closeTo(h, evacuateBound)
		}
	}
	r.later(9*time.Second, func() {
		for n, h := range r.hosts {
			if zone(n/2) == out {
				r.checks.openTo(h)
			}
		}
		r.store.Delete("op/evacuate/" + out)
	})
}

func (r *run) storeFails(f store.Failure) {
	r.unplanned()
	r.store.SetFailure(f, 0)
	r.later(4*time.Second, func() {
		r.unplanned()
		r.store.SetFailure(store.Healthy, 0)
	})
}

func (r *run) harm(share float64, delay time.Duration) {
	r.unplanned()
	var lose func() bool
	if share > 0 {
		lose = lossy(r.random.Uint64(), share)
	}
	var late func() time.Duration
	if delay > 0 {
		late = delayed(r.random.Uint64(), delay)
	}
	r.router.harm(lose, late)
	r.later(3*time.Second, func() {
		r.unplanned()
		r.router.harm(nil, nil)
	})
}
