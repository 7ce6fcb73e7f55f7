package admission_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/turmericrock/turmericrock/admission"
)

// fakeBackend models a backend server that handles coldSlots concurrent requests
// until it is warm, and slots after that. It counts the requests beyond its
// capacity in overloads.
type fakeBackend struct {
	slots, coldSlots int
	warmup           time.Duration
	started          time.Time
	inService        int
	overloads        int
}

func (b *fakeBackend) begin(now time.Time) bool {
	capacity := b.slots
	if now.Sub(b.started) < b.warmup {
		capacity = b.coldSlots
	}
	if b.inService >= capacity {
		b.overloads++
		return false
	}
	b.inService++
	return true
}

func warmConfig(slots int) admission.Config {
	return admission.Config{Slots: slots, MaxFlows: 100, Warmup: 10 * time.Second, ColdShare: admission.DefaultColdShare}
}

// generateLoad offers more requests than the host can handle, each taking
// 100 ms. It returns the time at the end and the highest limit seen.
func generateLoad(l *admission.Limiter, h *fakeBackend, now time.Time, duration time.Duration) (time.Time, int) {
	type request struct{ began, ends time.Time }
	var running []request
	maxLimit := 0
	for end := now.Add(duration); now.Before(end); now = now.Add(10 * time.Millisecond) {
		for len(running) > 0 && !running[0].ends.After(now) {
			h.inService--
			l.End(now, admission.Result{Outcome: admission.Succeeded, AdmittedAt: running[0].began, Latency: 100 * time.Millisecond})
			running = running[1:]
		}
		for l.Begin(now) {
			if !h.begin(now) {
				l.End(now, admission.Result{Outcome: admission.Shed, AdmittedAt: now})
				continue
			}
			running = append(running, request{began: now, ends: now.Add(100 * time.Millisecond)})
		}
		maxLimit = max(maxLimit, l.Limit(now))
	}
	for _, r := range running {
		h.inService--
		l.End(now, admission.Result{Outcome: admission.Succeeded, AdmittedAt: r.began})
	}
	return now, maxLimit
}

func TestColdHostIsNeverOverloaded(t *testing.T) {
	for _, slots := range []int{1, 2, 5, 50, 1000} {
		cold := max(1, slots/5)
		now := time.Unix(100, 0)
		h := &fakeBackend{slots: slots, coldSlots: cold, warmup: 10 * time.Second, started: now}
		l := admission.NewLimiter(warmConfig(slots), now)
		now, _ = generateLoad(l, h, now, 40*time.Second)
		must.Eq(t, 0, h.overloads, must.Sprintf("slots %d", slots))
		must.Eq(t, slots, l.Limit(now))
	}
}

func TestSecondShedIndicatesRestart(t *testing.T) {
	now := time.Unix(100, 0)
	l := admission.NewLimiter(warmConfig(50), now)
	now, _ = generateLoad(l, &fakeBackend{slots: 50, coldSlots: 10, started: now, warmup: 10 * time.Second}, now, 60*time.Second)
	for range 50 {
		must.True(t, l.Begin(now))
	}
	began := now
	for range 2 {
		now = now.Add(time.Millisecond)
		// Of the requests admitted before the first reduction only one counts.
		l.End(now, admission.Result{Outcome: admission.Shed, AdmittedAt: began})
	}
	must.Eq(t, 0, l.DetectedRestarts())
	must.Eq(t, 25, l.Limit(now))
	l.End(now, admission.Result{Outcome: admission.Shed, AdmittedAt: now})
	must.Eq(t, 1, l.DetectedRestarts())
	must.Eq(t, 10, l.Limit(now.Add(10*time.Second)))
}

func TestUnannouncedRestartIsDetectedFromSheds(t *testing.T) {
	for _, slots := range []int{2, 5, 50} {
		now := time.Unix(100, 0)
		h := &fakeBackend{slots: slots, coldSlots: max(1, slots/5), started: now, warmup: 10 * time.Second}
		l := admission.NewLimiter(warmConfig(slots), now)
		now, _ = generateLoad(l, h, now, 60*time.Second)
		must.Eq(t, 0, h.overloads)
		h.started = now
		now, _ = generateLoad(l, h, now, 9*time.Second)
		must.LessEq(t, 1, h.overloads, must.Sprintf("slots %d", slots))
		must.LessEq(t, max(1, slots/5), l.Limit(now))
		now, _ = generateLoad(l, h, now, time.Minute)
		must.LessEq(t, 1, h.overloads, must.Sprintf("slots %d", slots))
		must.Eq(t, slots, l.Limit(now))
	}
}

func TestRefusedConnectionAppliesColdLimit(t *testing.T) {
	now := time.Unix(100, 0)
	l := admission.NewLimiter(warmConfig(5), now)
	now, _ = generateLoad(l, &fakeBackend{slots: 5, coldSlots: 5}, now, time.Minute)
	must.Eq(t, 5, l.Limit(now))
	must.True(t, l.Begin(now))
	l.End(now, admission.Result{Outcome: admission.ConnectionRefused, AdmittedAt: now})
	must.Eq(t, 1, l.Limit(now))
	must.True(t, l.Paused(now))
	must.False(t, l.Begin(now))
	now = now.Add(time.Second)
	must.True(t, l.Begin(now))
	l.End(now, admission.Result{Outcome: admission.Succeeded, AdmittedAt: now})
	must.Eq(t, 1, l.Limit(now.Add(9*time.Second)))
}

func TestErrorAtLowLoadReducesCurrentLimit(t *testing.T) {
	now := time.Unix(100, 0)
	config := warmConfig(50)
	config.Warmup = 0
	l := admission.NewLimiter(config, now)
	must.True(t, l.Begin(now))
	l.End(now, admission.Result{Outcome: admission.Failed, AdmittedAt: now})
	must.Eq(t, 35, l.Limit(now))
}

func TestHighLatencyReducesLimit(t *testing.T) {
	tests := []struct {
		name     string
		latency  time.Duration
		restarts uint64
		below    int
	}{
		{name: "usual", latency: 22 * time.Millisecond, below: 11},
		{name: "high", latency: 80 * time.Millisecond, below: 10},
		{name: "restart", latency: 2 * time.Second, restarts: 1, below: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			config := warmConfig(10)
			config.Warmup = 0
			l := admission.NewLimiter(config, now)
			serve := func(count int, latency time.Duration) {
				for range count {
					now = now.Add(time.Millisecond)
					must.True(t, l.Begin(now))
					l.End(now, admission.Result{Outcome: admission.Succeeded, AdmittedAt: now, Latency: latency})
				}
			}
			serve(200, 20*time.Millisecond)
			must.Eq(t, 10, l.Limit(now))
			serve(12, test.latency)
			must.Less(t, test.below, l.Limit(now))
			must.Eq(t, test.restarts, l.DetectedRestarts())
		})
	}
}

// TestLimiterInvariants applies random operations to a limiter and checks its
// invariants after each of them.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := admission.Config{
			Slots:     rapid.IntRange(1, 60).Draw(t, "slots"),
			MaxFlows:  rapid.IntRange(1, 5).Draw(t, "connections"),
			Warmup:    time.Duration(rapid.IntRange(0, 20).Draw(t, "warmup")) * time.Second,
			ColdShare: admission.DefaultColdShare,
		}
		cold := min(config.Slots, max(1, config.Slots/5))
		now := time.Unix(1000, 0)
		l := admission.NewLimiter(config, now)
		coldUntil := now.Add(config.Warmup)
		inService, flows := 0, 0
		limit := l.Limit(now)
		raised := now
		end := func(outcome admission.Outcome) {
			if inService == 0 {
				return
			}
			before := l.Limit(now)
			l.End(now, admission.Result{Outcome: outcome, AdmittedAt: now, Latency: time.Millisecond})
			inService--
			must.LessEq(t, before, l.Limit(now))
			if outcome == admission.Failed || outcome == admission.Shed {
				must.True(t, l.Limit(now) < before || l.Limit(now) == 1)
			}
			if outcome == admission.ConnectionRefused {
				coldUntil = now.Add(config.Warmup)
				must.LessEq(t, cold, l.Limit(now))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				before := l.Limit(now)
				if l.Begin(now) {
					inService++
					must.LessEq(t, before, inService)
				}
			},
			"succeed": func(*rapid.T) { end(admission.Succeeded) },
			"shed":    func(*rapid.T) { end(admission.Shed) },
			"fail":    func(*rapid.T) { end(admission.Failed) },
			"refuse":  func(*rapid.T) { end(admission.ConnectionRefused) },
			"abandon": func(*rapid.T) { end(admission.Abandoned) },
			"restart": func(*rapid.T) {
				l.Restarted(now)
				raised = now
				coldUntil = now.Add(config.Warmup)
				limit = l.Limit(now)
			},
			"open": func(t *rapid.T) {
				if l.OpenFlow() {
					flows++
				}
				must.LessEq(t, config.MaxFlows, flows)
			},
			"close": func(*rapid.T) {
				if flows > 0 {
					l.CloseFlow()
					flows--
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				must.Eq(t, inService, l.InService())
				must.Eq(t, flows, l.Flows())
				got := l.Limit(now)
				must.Between(t, 1, got, config.Slots)
				if now.Before(coldUntil) {
					must.LessEq(t, cold, got)
				}
				if got > limit {
					// At most one step per second since the last increase.
					steps := int(now.Sub(raised)/time.Second) + 1
					must.LessEq(t, limit+steps*max(1, config.Slots/20), got)
					raised = now
				}
				limit = got
			},
		})
	})
}

func TestQueueServesExistingFlowsFirst(t *testing.T) {
	q := admission.NewQueue[int](3)
	for item, priority := range []admission.Priority{admission.NewFlow, admission.NewFlow, admission.ExistingFlow} {
		added, _, _ := q.Push(item, priority)
		must.True(t, added)
	}
	added, _, _ := q.Push(3, admission.NewFlow)
	must.False(t, added)
	added, displaced, found := q.Push(4, admission.ExistingFlow)
	must.True(t, added)
	must.True(t, found)
	must.Eq(t, 1, displaced)
	must.True(t, q.Remove(4))
	must.False(t, q.Remove(4))
	for _, want := range []int{2, 0} {
		got, found := q.Pop()
		must.True(t, found)
		must.Eq(t, want, got)
	}
	must.Eq(t, 0, q.Len())
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := admission.NewRetryBudget(0.5, 4)
	spent := 0
	for range 100 {
		b.Deposit()
		if b.TryWithdraw() {
			spent++
		}
	}
	must.Between(t, 50, spent, 54)
}
