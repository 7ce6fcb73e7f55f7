package entry

// HostState is an entry's view of the state of a listed host. It is derived
// from the platform's VM list, which may be out of date; the agent's own
// reports; the failure detection of peers; and silence, which means that no
// report followed a probe or a packet of a new flow.
//
//	state       evidence                                new flows   probed
//	unreported  listed, no report of this VM yet        cold weight yes
//	live        the agent reports that it accepts       by weight   yes
//	suspect     silent for SuspectAfter, lost by its    none        yes
//	            peers, or in a zone that is silent:
//	            paused, partitioned or dead
//	gone        silent for goneAfter, yet still listed  none        rarely
//	leaving     reported by the list or the agent       none        yes
//	down        the agent reports that its backend      none        yes
//	            server does not respond
//	zone_out    zone taken out of service, by the       none        no
//	            configuration in force or an agent's
//	            report of a higher revision
//	unusable    listed with an address that is not      none        no
//	            IPv4 or outside AgentNetworks
//
// Evidence takes precedence in this order: address, zone, list, silence,
// peers, report. A host that was paused becomes live again with its first
// report. A host that restarted or was replaced on its address has a new
// incarnation or VM ID: the state of the earlier one is discarded and its late
// reports are rejected. A host whose zone was out of service is unreported
// when the zone returns, because it is cold by then. A host that is no longer
// listed is removed, but packets of its established flows are still forwarded
// to it, because the list may be out of date and their connection IDs carry
// its address. If a list drops most of a zone at once, the zone's hosts that
// still answer are kept until they stop answering.
//
// Silence excludes a host only while enough hosts of its service answer. When
// the unreported and live hosts are fewer than a quarter (failOpenThreshold)
// of those that are unreported, live, suspect or gone, the entry fails open:
// suspect and gone hosts receive new flows at the cold weight. Silence of that
// extent is caused either by the entry's own network or by the loss of a zone
// or region, and the entry cannot tell which. Hosts that answer still receive
// the greater part of the new flows.
type HostState uint8

// States of hosts.
const (
	HostUnreported HostState = iota
	HostLive
	HostSuspect
	HostGone
	HostLeaving
	HostDown
	HostZoneOut
	HostUnusable
	hostStateCount
)

// String returns the state's name for logs, metrics and status.
func (s HostState) String() string {
	return [hostStateCount]string{
		"unreported",
		"live",
		"suspect",
		"gone",
		"leaving",
		"down",
		"zone_out",
		"unusable",
	}[s]
}

// presumedLive reports whether hosts in this state receive new flows, even
// without fail-open.
func (s HostState) presumedLive() bool {
	return s == HostUnreported || s == HostLive
}

// unresponsive reports whether hosts in this state are excluded only because
// of silence or failure detection by peers.
func (s HostState) unresponsive() bool {
	return s == HostSuspect || s == HostGone
}
