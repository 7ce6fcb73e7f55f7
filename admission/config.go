package admission

import "time"

// Config holds the limits of one host.
type Config struct {
	// Slots is the number of requests in service at a time when warm.
	Slots int
	// Connections is the number of flows held at a time.
	Connections int
	// Warmup is the time for which a started host is held to ColdShare.
	Warmup time.Duration
	// ColdShare is the share of Slots admitted to a cold host, 0 to 1.
	ColdShare float64
}

// DefaultColdShare is the share of its slots that a cold host is given.
const DefaultColdShare = 0.2

const (
	// raiseInterval is the time between two rises of the limit.
	raiseInterval = time.Second
	// idleRaiseInterval is the time between two rises without traffic.
	idleRaiseInterval = 10 * time.Second
	// raiseShare is the share of the slots added by one rise.
	raiseShare = 0.05
	// shedFactor and errorFactor are what a cut leaves of the limit.
	shedFactor  = 0.5
	errorFactor = 0.7
)

// coldLimit returns the limit of a cold host. Fractions are dropped, so that
// rounding never adds to what a cold host is given.
func (c Config) coldLimit() int {
	return min(c.Slots, max(1, int(c.ColdShare*float64(c.Slots))))
}

// raiseStep returns the number of slots added by one rise.
func (c Config) raiseStep() int {
	return max(1, int(raiseShare*float64(c.Slots)))
}
