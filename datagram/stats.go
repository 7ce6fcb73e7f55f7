package datagram

import (
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/turmericrock/turmericrock/internal/metrics"
)

const (
	// maxLatency is the largest duration that a histogram distinguishes.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits that a histogram
	// keeps.
	latencyDigits = 2
)

// latencyQuantiles are the exported quantiles. The name is exported as the
// cause.
var latencyQuantiles = []struct {
	name  string
	value float64
}{{"p50", 50}, {"p90", 90}, {"p99", 99}, {"p999", 99.9}}

// Latency is a histogram of durations. It is safe for concurrent use.
type Latency struct {
	name string
	// cause distinguishes histograms of the same name. It may be empty.
	cause string
	mu    sync.Mutex
	hist  *hdr.Histogram
}

// NewLatency returns an empty histogram that is exported under the name.
func NewLatency(name string) *Latency {
	return &Latency{name: name, hist: hdr.New(1, maxLatency.Microseconds(), latencyDigits)}
}

// Observe records a duration. Durations above maxLatency count as maxLatency.
func (l *Latency) Observe(elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	us := min(max(1, elapsed.Microseconds()), maxLatency.Microseconds())
	if err := l.hist.RecordValue(us); err != nil {
		panic(err) // The value was clamped to the range of the histogram.
	}
}

// Collect implements metrics.Source.
func (l *Latency) Collect(emit func(metrics.Sample)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	prefix := l.cause
	if prefix != "" {
		prefix += "_"
	}
	emit(metrics.Sample{Name: l.name + "_count", Cause: l.cause, Value: l.hist.TotalCount()})
	for _, q := range latencyQuantiles {
		emit(metrics.Sample{Name: l.name + "_us", Cause: prefix + q.name, Value: l.hist.ValueAtPercentile(q.value), Gauge: true})
	}
	emit(metrics.Sample{Name: l.name + "_us", Cause: prefix + "max", Value: l.hist.Max(), Gauge: true})
}

// Collect implements metrics.Source. It emits the counters of drops and lookups
// by reason and the counts of decisions.
func (e *Events) Collect(emit func(metrics.Sample)) {
	for i := range e.counters {
		emit(metrics.Sample{Name: "datagrams", Cause: dropNames[i], Value: e.counters[i].Load()})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for event, b := range e.budgets {
		emit(metrics.Sample{Name: "decisions", Cause: string(event), Value: b.total})
	}
}

// Collect implements metrics.Source.
func (a *Agent) Collect(emit func(metrics.Sample)) {
	a.mu.Lock()
	flows, busy, records, meanServiceTime := a.openFlows, a.unansweredRequests, len(a.records), a.serviceTime.Mean()
	level := a.level.Lowest()
	a.scheduler.stats.collect(a.scheduler.queue.WaitingByPriority(), emit)
	a.refusals.collect(emit)
	a.mu.Unlock()
	emit(metrics.Sample{Name: "flows", Value: int64(flows), Gauge: true})
	emit(metrics.Sample{Name: "requests_in_service", Value: int64(busy), Gauge: true})
	emit(metrics.Sample{Name: "admit_priority", Value: int64(level), Gauge: true})
	emit(metrics.Sample{Name: "keeper_records", Value: int64(records), Gauge: true})
	emit(metrics.Sample{Name: "service_time_us", Cause: "mean", Value: meanServiceTime.Microseconds(), Gauge: true})
	a.answerLatency.Collect(emit)
}

// Collect implements metrics.Source.
func (e *Entry) Collect(emit func(metrics.Sample)) {
	e.mu.Lock()
	owners := len(e.owners)
	e.refusals.collect(emit)
	e.mu.Unlock()
	emit(metrics.Sample{Name: "cached_owners", Value: int64(owners), Gauge: true})
	e.openingLatency.Collect(emit)
}
