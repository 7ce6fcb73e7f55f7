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
	// CauseLeaving is a request on a flow that is being drained.
	CauseLeaving Cause = iota
	// CauseZoneOut is a request or datagram in a zone that is out of service.
	CauseZoneOut
	// CauseStaleView is a request that arrived when the view had expired.
	CauseStaleView
	// CauseNoSlot is a request that was not admitted in time.
	CauseNoSlot
	// CauseDeadline is a request whose deadline passed.
	CauseDeadline
	// CauseBackendUnreachable is a request of which no byte could be sent to
	// the backend server.
	CauseBackendUnreachable
	// CauseBackendShed is a request that the backend server refused to run, as
	// reported by HeaderNotRun.
	CauseBackendShed
	// CauseBackendFailed is a request that failed after it may have reached
	// the backend server.
	CauseBackendFailed
	// CauseResponseTruncated is a response body that the backend server did not
	// complete.
	CauseResponseTruncated
	// CauseUndelimited is a response whose end cannot be told from a broken
	// connection.
	CauseUndelimited
	// CauseRepeatedKey is a request with the idempotency key of an earlier one.
	CauseRepeatedKey
	// CauseCallerGone is a request that the caller canceled, or whose stream
	// could not be read or written.
	CauseCallerGone
	// CauseFlowRefused is a new flow that was refused.
	CauseFlowRefused
	// CauseFlowSilent is a flow without a request within FirstRequestTimeout.
	CauseFlowSilent
	// CauseForged is a datagram that could not be authenticated or decoded.
	CauseForged
	// CauseWrongService is a datagram for another service.
	CauseWrongService
	// CauseNotReady is a datagram that arrived before the first view.
	CauseNotReady
	// CauseMalformed is a datagram of an unknown kind, or a new flow's packet
	// that is not a QUIC Initial packet.
	CauseMalformed
	// CauseLateDatagram is a datagram that waited too long in the receive
	// buffer.
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
