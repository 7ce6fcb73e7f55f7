package agent

import (
	"sync/atomic"

	"github.com/turmericrock/turmericrock/internal/metrics"
)

// Cause is the reason why a request, a flow or a datagram was refused, dropped
// or failed.
type Cause uint8

// Causes.
const (
	CauseLeaving Cause = iota
	CauseZoneOut
	CauseStaleView
	CauseNoSlot
	CauseDeadline
	CauseBackendUnreachable
	CauseBackendShed
	CauseBackendFailed
	CauseResponseTruncated
	CauseUndelimited
	CauseRepeatedKey
	CauseCallerGone
	CauseFlowRefused
	CauseFlowSilent
	CauseForged
	CauseWrongService
	CauseNotReady
	CauseMalformed
	CauseLateDatagram
	causeCount
)

// String returns the cause's name for logs and metrics.
func (c Cause) String() string {
	return [causeCount]string{
		"leaving",
		"zone_out",
		"stale_view",
		"no_slot",
		"deadline",
		"backend_unreachable",
		"backend_shed",
		"backend_failed",
		"answer_cut",
		"undelimited_answer",
		"repeated_key",
		"caller_gone",
		"flow_refused",
		"flow_silent",
		"forged",
		"wrong_service",
		"not_ready",
		"malformed",
		"late_datagram",
	}[c]
}

// Counters counts requests, flows and tunnel datagrams by their outcome. It is
// safe for concurrent use.
type Counters struct {
	delivered        atomic.Uint64
	forwarded        atomic.Uint64
	staleIncarnation atomic.Uint64
	served           atomic.Uint64
	causes           [causeCount]atomic.Uint64
}

// Count returns the number of times that the cause has been counted.
func (c *Counters) Count(cause Cause) uint64 {
	return c.causes[cause].Load()
}

// Delivered returns the number of datagrams delivered to the QUIC transport,
// without those of refused flows.
func (c *Counters) Delivered() uint64 {
	return c.delivered.Load()
}

// Forwarded returns the number of datagrams forwarded to second-choice agents.
func (c *Counters) Forwarded() uint64 {
	return c.forwarded.Load()
}

// Served returns the number of requests whose response was sent completely.
func (c *Counters) Served() uint64 {
	return c.served.Load()
}

func (c *Counters) add(cause Cause) {
	c.causes[cause].Add(1)
}

// refusals returns the counts above zero by the name of the cause.
func (c *Counters) refusals() map[string]int64 {
	refusals := make(map[string]int64)
	for cause := range causeCount {
		if n := c.causes[cause].Load(); n > 0 {
			refusals[cause.String()] = int64(n)
		}
	}
	return refusals
}

func (c *Counters) collect(emit func(metrics.Sample)) {
	emit(metrics.Sample{Name: "agent_datagrams", Cause: "delivered", Value: int64(c.delivered.Load())})
	emit(metrics.Sample{Name: "agent_datagrams", Cause: "passed", Value: int64(c.forwarded.Load())})
	emit(metrics.Sample{Name: "agent_datagrams", Cause: "stale_incarnation", Value: int64(c.staleIncarnation.Load())})
	emit(metrics.Sample{Name: "agent_requests_served", Value: int64(c.served.Load())})
	for cause := range causeCount {
		emit(metrics.Sample{Name: "agent_refused", Cause: cause.String(), Value: int64(c.causes[cause].Load())})
	}
}
