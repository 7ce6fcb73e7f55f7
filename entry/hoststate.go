package entry

// HostState is what an entry believes of a listed host. The states are told
// apart by the platform's list, which lags, by the agent's own reports, by the
// word of the nodes that the agent polls, and by silence: a probe or a packet
// of a new flow that no report followed.
//
//	state       evidence                                new flows  probed
//	unreported  listed, no report of this VM yet        cold share yes
//	live        the agent reports that it accepts       by weight  yes
//	suspect     silent for SuspectAfter, lost by its    none       yes
//	            peers, or in a zone that is silent:
//	            paused, cut off, or dead
//	gone        silent for goneAfter, yet still listed  none       seldom
//	leaving     the list or the agent says so           none       yes
//	down        the agent says that its backend server  none       yes
//	            does not answer
//	zone_out    operators have taken the zone out, by   none       no
//	            our revision or an agent's higher one
//	unusable    listed with an address that is not      none       no
//	            IPv4 or outside AgentNetworks
//
// Evidence counts in this order: address, zone, list, silence, peers, report. A
// paused host that answers again is live by its first report. A host that
// restarted, or was replaced on its address, shows another incarnation or VM
// ID: what was known of the earlier one is forgotten and its late reports are
// refused. A host whose zone was out counts as not reported when the zone is
// back, since it is cold then. A host that is no longer listed is forgotten
// whole; its flows are still forwarded, since the list lags and their
// connection IDs name it. Only when a list drops most of a zone at once are
// the hosts kept that answer, until they do not.
//
// Silence is believed while enough hosts of a service answer. When fewer than
// a quarter (trustShare) of those that have not themselves refused are
// believed, the list is believed again: silent hosts take new flows at the
// cold share. Silence of that extent comes from the entry's own side, or from
// a lost zone or region, and an entry cannot tell which; hosts that answer
// keep the greater part of the new flows.
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

// presumedLive reports whether new flows go to a host in the state.
func (s HostState) presumedLive() bool {
	return s == HostUnreported || s == HostLive
}

// unresponsive reports whether only silence speaks against the host.
func (s HostState) unresponsive() bool {
	return s == HostSuspect || s == HostGone
}
