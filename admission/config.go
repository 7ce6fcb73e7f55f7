package admission

import "time"

// Config holds the limits of one host.
type Config struct {
	// Slots is the maximum number of concurrent requests of a warm host.
	Slots int
	// MaxFlows is the maximum number of open flows.
	MaxFlows int
	// Warmup is how long after its start a host is limited to ColdShare.
	Warmup time.Duration
	// ColdShare is the fraction of Slots that a cold host may use, from 0 to 1.
	ColdShare float64
}

// DefaultColdShare is the default fraction of its slots that a cold host may
// use.
const DefaultColdShare = 0.2

const (
	// raiseInterval is the time between two increases of the limit while
	// requests succeed.
	raiseInterval = time.Second
	// idleRaiseInterval is the time between two increases while no request has
	// succeeded under the current limit, for instance without traffic.
	idleRaiseInterval = 10 * time.Second
	// raiseShare is the fraction of the slots that one increase adds.
	raiseShare = 0.05
	// shedFactor and errorFactor multiply the limit after a shed request and
	// after a failure or high latency.
	shedFactor  = 0.5
	errorFactor = 0.7
)

// coldLimit returns the limit of a cold host, at least 1 while Slots allows it.
// It rounds down so that a cold host never gets more than its share.
func (c Config) coldLimit() int {
	return min(c.Slots, max(1, int(c.ColdShare*float64(c.Slots))))
}

// raiseStep returns the number of slots that one increase adds.
func (c Config) raiseStep() int {
	return max(1, int(raiseShare*float64(c.Slots)))
}
