// Package datagram implements the two roles that carry opaque datagram flows:
// the entry, which receives the packets of requesters, and the agent, which
// runs beside a backend server (its host) and makes the final decision on each
// of the host's flows. Entry and Agent are cores without sockets or clocks;
// Node supplies these.
//
// A requester asks for a new flow by a packet called the opening. The agent
// whose host accepts it becomes the owner of the flow. Two agents, the keepers
// of the flow, record the owner. All processes derive the keepers from the
// flow's hash and the list of agents.
//
// A process that receives a packet of a flow whose owner it does not know looks
// the owner up at the keepers. If they do not know it either, an agent asks all
// agents whose hosts may hold the flow (a search). An agent that has restarted
// does not know which flows its host holds. It sends packets of unknown flows
// to the host (a trial delivery), which returns those of flows that it does not
// hold.
package datagram

import (
	"math"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// Output sends the packets and frames of a core. The packet is valid only
// during the call.
type Output interface {
	// ToRequester sends a packet to the requester at an address.
	ToRequester(to [4]byte, packet []byte)
	// ToNode sends a frame, followed by the packet if there is one, to a
	// process.
	ToNode(to flow.Endpoint, f *flow.Frame, packet []byte)
	// ToHost sends a packet to the host on this machine.
	ToHost(packet []byte)
}

// CatalogFunc returns the current catalog snapshot, or nil before there is
// one.
type CatalogFunc func() *catalog.Catalog

const (
	// maxHops limits how often a packet is forwarded between agents.
	maxHops = 4
	// maxBusyHops limits how often an opening is forwarded because hosts are
	// busy.
	maxBusyHops = 4
	// maxRefusalAge is the largest age of a snapshot's confirmation at which
	// an opening for an unknown route is refused. With an older snapshot it is
	// dropped without an answer.
	maxRefusalAge = 2 * time.Second
	// idleMargin is added to the configured idle timeout before a flow is
	// removed.
	idleMargin = 5 * time.Second
	// pendingFlowTimeout is how long an opening without an answer is retained.
	pendingFlowTimeout = 3 * time.Second
)

// recordLoad stores the load that an agent reports in a frame, whether or not
// the frame concerns a flow. Frames carry the failure share in units of 1/255.
func recordLoad(loads *steering.LoadTable, f *flow.Frame, now time.Duration) {
	if f.Busy == flow.BusyRefusing {
		loads.MarkRefusing(f.Sender, now)
		return
	}
	loads.Report(f.Sender, int(f.Flows), int(f.Busy), now)
	loads.SetFailureShare(f.Sender, float64(f.FailureShare)/math.MaxUint8)
	loads.SetAdmitPriority(f.Sender, int(f.AdmitPriority)-1, f.AdmitPriority > 0)
	loads.SetServiceTime(f.Sender, time.Duration(f.ServiceMillis)*time.Millisecond)
}

// serviceMillis returns a service time as frames carry it. It is 0 only if the time
// is not known.
func serviceMillis(t time.Duration) uint16 {
	if t <= 0 {
		return 0
	}
	return uint16(min(max(1, t.Round(time.Millisecond).Milliseconds()), math.MaxUint16))
}

// reasonBusy is the reason for forwarding an opening that the host could still
// accept.
const reasonBusy = "busy"
