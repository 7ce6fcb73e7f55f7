package caller

import "sync/atomic"

// Stats holds the counters of a client.
type Stats struct {
	// Flows is the number of flows opened.
	Flows uint64
	// Migrations is the number of times that a flow migrated to a new local
	// address.
	Migrations uint64
	// Replaced is the number of silent flows that were replaced by another flow.
	Replaced uint64
	// Refused is the number of attempts refused with H3_REQUEST_REJECTED.
	Refused uint64
	// Retries is the number of attempts after the first.
	Retries uint64
	// RetriesDenied is the number of retries that the retry budget did not
	// allow.
	RetriesDenied uint64
}

type counters struct {
	flows         atomic.Uint64
	migrations    atomic.Uint64
	replaced      atomic.Uint64
	refused       atomic.Uint64
	retries       atomic.Uint64
	retriesDenied atomic.Uint64
}

func (c *counters) snapshot() Stats {
	return Stats{
		Flows:         c.flows.Load(),
		Migrations:    c.migrations.Load(),
		Replaced:      c.replaced.Load(),
		Refused:       c.refused.Load(),
		Retries:       c.retries.Load(),
		RetriesDenied: c.retriesDenied.Load(),
	}
}
