package datagram

import (
	"strconv"
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
}

// schedulerStats holds the metrics of a request scheduler.
type schedulerStats struct {
	byPriority map[int]*priorityStats
	wait       *Latency
}

func newSchedulerStats() schedulerStats {
	return schedulerStats{byPriority: make(map[int]*priorityStats), wait: NewLatency("request_wait")}
}

func (s *schedulerStats) of(priority int) *priorityStats {
	p := s.byPriority[priority]
	if p == nil {
		p = &priorityStats{}
		s.byPriority[priority] = p
	}
	return p
}

// observeRelease records the release of a request that was received at the given time.
func (s *schedulerStats) observeRelease(now, receivedAt time.Duration, r *steering.QueuedRequest) {
	s.wait.Observe(now - receivedAt)
	if now+r.Work > r.Objective {
		s.of(r.Priority).late++
	}
}

// collect emits the counters and the histogram.
func (s *schedulerStats) collect(emit func(metrics.Sample)) {
	for priority, p := range s.byPriority {
		cause := "priority_" + strconv.Itoa(priority)
		emit(metrics.Sample{Name: "requests_waited", Cause: cause, Value: p.waited})
		emit(metrics.Sample{Name: "requests_expired", Cause: cause, Value: p.expired})
		emit(metrics.Sample{Name: "requests_canceled", Cause: cause, Value: p.canceled})
		emit(metrics.Sample{Name: "requests_late", Cause: cause, Value: p.late})
		emit(metrics.Sample{Name: "requests_overflow", Cause: cause, Value: p.overflow})
	}
	s.wait.Collect(emit)
}
