// Package datagram holds the two roles that carry opaque datagram flows: the
// entry, which receives requesters' packets, and the agent beside a backend
// server, which owns the flows of its host and has the last word on each.
// The cores Entry and Agent decide; Node gives them sockets and clocks.
package datagram

import (
	"math"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// Output sends what a core has decided. The packet is only lent.
type Output interface {
	// ToRequester sends a packet to a requester.
	ToRequester(to [4]byte, packet []byte)
	// ToNode sends a frame, with the packet that follows it, to a process.
	ToNode(to flow.Endpoint, f *flow.Frame, packet []byte)
	// ToHost gives a packet to the host on this machine.
	ToHost(packet []byte)
}

// CatalogFunc returns the snapshot in force, or nil before there is one.
type CatalogFunc func() *catalog.Catalog

const (
	// maxHops bounds how often a packet is passed on between agents.
	maxHops = 4
	// maxBusyHops bounds how often an opening is passed on since hosts are busy.
	maxBusyHops = 4
	// maxRefusalAge is how old the confirmation of a snapshot may be for an
	// unknown route to be refused rather than passed over in silence.
	maxRefusalAge = 2 * time.Second
	// idleMargin is added to the declared idle time before a flow is forgotten.
	idleMargin = 5 * time.Second
	// pendingFlowTimeout is how long an opening without an answer is remembered.
	pendingFlowTimeout = 3 * time.Second
)

// recordLoad notes what an owner tells of its load.
func recordLoad(loads *steering.Loads, f *flow.Frame, now time.Duration) {
	if f.Busy == flow.BusyRefusing {
		loads.Refusing(f.Owner, now)
		return
	}
	loads.Report(f.Owner, int(f.Flows), int(f.Busy), now)
	loads.Failing(f.Owner, float64(f.Failing)/math.MaxUint8)
}

// reasonBusy is why an opening is passed on that the host could still take.
const reasonBusy = "busy"
