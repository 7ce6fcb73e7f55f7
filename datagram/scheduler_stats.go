package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/internal/metrics"
	"github.com/turmericrock/turmericrock/steering"
)

// priorityStats counts what became of the requests of one priority.
type priorityStats struct {
	// waited counts the requests that were held, overflow those that were given to the
	// host because the queue was full.
	waited, overflow int64
	// expired counts the requests whose time limit passed while they waited, canceled
	// those whose requester ended or reset the flow.
	expired, canceled int64
	// late counts the requests that were released too late for their objective.
	late int64
	// wait holds how long the requests that were released had waited.
	wait *Latency
}

// schedulerStats holds the metrics of a request scheduler.
type schedulerStats struct {
	byPriority map[int]*priorityStats
}

func newSchedulerStats() schedulerStats {
	return schedulerStats{byPriority: make(map[int]*priorityStats)}
}

func (s *schedulerStats) of(priority int) *priorityStats {
	p := s.byPriority[priority]
	if p == nil {
		p = &priorityStats{wait: NewLatency("request_wait")}
		p.wait.cause = priorityCause(priority)
		s.byPriority[priority] = p
	}
	return p
}

// observeRelease records the release of a request that was received at the given time. It
// reports whether the release is too late for the request's objective.
func (s *schedulerStats) observeRelease(now, receivedAt time.Duration, r *steering.QueuedRequest) (late bool) {
	p := s.of(r.Priority)
	p.wait.Observe(now - receivedAt)
	late = now+r.Work > r.Objective
	if late {
		p.late++
	}
	return late
}

// logRequest logs what became of a request that waited, and of the time that it had.
// late_ms is by how much its answer would exceed its objective if the host began it now,
// left_ms the time until its requester gives up.
func (a *Agent) logRequest(event Event, now, receivedAt time.Duration, r *steering.QueuedRequest) {
	a.config.Events.Log(event, r.Key, "priority", r.Priority, "waited_ms", (now - receivedAt).Milliseconds(),
		"late_ms", (now + r.Work - r.Objective).Milliseconds(), "left_ms", (r.Limit - now).Milliseconds(),
		"work_ms", r.Work.Milliseconds(), "running", len(a.scheduler.running), "waiting", a.scheduler.queue.Len())
}

// collect emits the metrics, given how many requests wait by priority.
func (s *schedulerStats) collect(waiting map[int]int, emit func(metrics.Sample)) {
	for priority, p := range s.byPriority {
		cause := priorityCause(priority)
		emit(metrics.Sample{Name: "requests_waited", Cause: cause, Value: p.waited})
		emit(metrics.Sample{Name: "requests_expired", Cause: cause, Value: p.expired})
		emit(metrics.Sample{Name: "requests_canceled", Cause: cause, Value: p.canceled})
		emit(metrics.Sample{Name: "requests_late", Cause: cause, Value: p.late})
		emit(metrics.Sample{Name: "requests_overflow", Cause: cause, Value: p.overflow})
		emit(metrics.Sample{Name: "requests_waiting", Cause: cause, Value: int64(waiting[priority]), Gauge: true})
		p.wait.Collect(emit)
	}
}
