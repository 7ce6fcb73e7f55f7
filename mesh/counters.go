package mesh

import (
	"sync"

	"github.com/turmericrock/turmericrock/internal/metrics"
)

// Causes under which rejected connections, failed links and invalid messages
// are counted.
const (
	causeTooManyLinks      = "full"
	causeCertificateName   = "certificate_name"
	causeCertificate       = "certificate"
	causeHandshake         = "handshake"
	causeTimeout           = "timeout"
	causeUpgrade           = "upgrade"
	causeHello             = "hello"
	causeSendQueueFull     = "slow"
	causeConnectionRefused = "connection_refused"
	causeDial              = "dial"
	causeRead              = "read"
	causeWrite             = "write"
	causeTextMessage       = "text"
)

// counters counts the traffic of the links, and failures by cause.
type counters struct {
	mu            sync.Mutex
	refused       map[string]int64
	sent          int64
	received      int64
	bytesSent     int64
	bytesReceived int64
	openLinks     int64
}

func newCounters() *counters {
	return &counters{refused: make(map[string]int64)}
}

func (c *counters) countRefused(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[cause]++
}

func (c *counters) addOpenLinks(delta int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openLinks += delta
}

func (c *counters) countMessage(inbound bool, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if inbound {
		c.received++
		c.bytesReceived += int64(size)
		return
	}
	c.sent++
	c.bytesSent += int64(size)
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
	emit(metrics.Sample{Name: "mesh_bytes", Cause: "sent", Value: c.bytesSent})
	emit(metrics.Sample{Name: "mesh_bytes", Cause: "received", Value: c.bytesReceived})
	emit(metrics.Sample{Name: "mesh_links", Value: c.openLinks, Gauge: true})
}
