package mesh

import (
	"sync"

	"github.com/turmericrock/turmericrock/internal/metrics"
)

// Causes of refused links and messages.
const (
	causeFull        = "full"
	causeName        = "certificate_name"
	causeCertificate = "certificate"
	causeHandshake   = "handshake"
	causeTimeout     = "timeout"
	causeUpgrade     = "upgrade"
	causeHello       = "hello"
	causeSlow        = "slow"
	causeRefused     = "connection_refused"
	causeDial        = "dial"
	causeRead        = "read"
	causeWrite       = "write"
	causeText        = "text"
)

// counters counts the traffic of the links and refusals by cause.
type counters struct {
	mu       sync.Mutex
	refused  map[string]int64
	sent     int64
	received int64
	bytesOut int64
	bytesIn  int64
	open     int64
}

func newCounters() *counters {
	return &counters{refused: make(map[string]int64)}
}

func (c *counters) add(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[cause]++
}

func (c *counters) opened(by int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open += by
}

func (c *counters) message(in bool, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in {
		c.received++
		c.bytesIn += int64(size)
		return
	}
	c.sent++
	c.bytesOut += int64(size)
}

// Collect implements metrics.Source.
func (m *Mesh) Collect(emit func(metrics.Sample)) {
	c := m.counts
	c.mu.Lock()
	defer c.mu.Unlock()
	for cause, count := range c.refused {
		emit(metrics.Sample{Name: "mesh_refused", Cause: cause, Value: count})
	}
	emit(metrics.Sample{Name: "mesh_messages", Cause: "sent", Value: c.sent})
	emit(metrics.Sample{Name: "mesh_messages", Cause: "received", Value: c.received})
	emit(metrics.Sample{Name: "mesh_bytes", Cause: "sent", Value: c.bytesOut})
	emit(metrics.Sample{Name: "mesh_bytes", Cause: "received", Value: c.bytesIn})
	emit(metrics.Sample{Name: "mesh_links", Value: c.open, Gauge: true})
}
