package entry

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericrock/turmericrock/connid"
	"github.com/turmericrock/turmericrock/internal/invariant"
	"github.com/turmericrock/turmericrock/internal/quicwire"
	"github.com/turmericrock/turmericrock/placement"
	"github.com/turmericrock/turmericrock/tunnel"
)

// Verdict is the outcome of placing a caller's packet.
type Verdict uint8

// Verdicts. All but VerdictForward drop the packet.
const (
	VerdictForward Verdict = iota
	// VerdictNoService drops a packet to an address of no service.
	VerdictNoService
	// VerdictMalformed drops a packet that is not a QUIC packet.
	VerdictMalformed
	// VerdictOversized drops a packet larger than tunnel.MaxPayload.
	VerdictOversized
	// VerdictUnknownFlow drops a packet that neither carries a connection ID
	// of the service nor starts a flow.
	VerdictUnknownFlow
	// VerdictZoneOut drops a packet whose flow is owned by an agent in a zone
	// that receives no packets.
	VerdictZoneOut
	// VerdictForeignAddr drops a packet whose flow is owned by an agent with
	// an address outside AgentNetworks.
	VerdictForeignAddr
	// VerdictNoHost drops a packet of a new flow because the service has no
	// eligible host.
	VerdictNoHost
	// VerdictStaleView drops packets because the view has not been confirmed
	// recently.
	VerdictStaleView
	// VerdictViolation drops a packet whose placement violated an invariant.
	VerdictViolation
	verdictCount
)

// String returns the verdict's name for metrics.
func (v Verdict) String() string {
	return [verdictCount]string{
		"forwarded",
		"no_service",
		"malformed",
		"oversized",
		"unknown_flow",
		"zone_out",
		"foreign_address",
		"no_host",
		"stale_view",
		"invariant_violated",
	}[v]
}

// Decision is the result of placing one packet.
type Decision struct {
	Verdict Verdict
	Kind    tunnel.Kind
	Service uint32
	Agent   netip.AddrPort
	// Second is the second-choice agent for a new flow, or the zero value if
	// there is none.
	Second netip.AddrPort
	// SecondLoad is the last reported load of the second choice.
	SecondLoad tunnel.Load
	// Incarnation is the incarnation of the flow's owner, or 0 for a new flow.
	Incarnation uint16
}

// Placer places packets without allocating. It is not safe for concurrent use;
// each forwarding goroutine needs its own.
type Placer struct {
	decoder connid.Decoder
}

// Place returns the agent to which a packet from src to the service address
// dst is forwarded, or the verdict with which it is dropped.
func (p *Placer) Place(view *View, src, dst netip.AddrPort, packet []byte) Decision {
	service := view.Services[dst]
	if service == nil {
		return Decision{Verdict: VerdictNoService}
	}
	if len(packet) > tunnel.MaxPayload {
		return Decision{Verdict: VerdictOversized}
	}
	parsed := quicwire.Parse(packet, connid.Size)
	if parsed.Form == quicwire.FormInvalid {
		return Decision{Verdict: VerdictMalformed}
	}
	if owner, ok := p.decoder.Decode(view.ConnIDs, parsed.DCID, service.Tag); ok {
		return placeEstablished(view, service, owner)
	}
	if parsed.Form != quicwire.FormInitial {
		return Decision{Verdict: VerdictUnknownFlow}
	}
	return placeNewFlow(view, service, flowKey(src, parsed.DCID))
}

func placeEstablished(view *View, service *ServiceView, owner connid.Owner) Decision {
	switch {
	case view.ZonesOut[owner.Zone]:
		return Decision{Verdict: VerdictZoneOut}
	case !usableAddr(view.AgentNetworks, owner.Addr):
		return Decision{Verdict: VerdictForeignAddr}
	case !invariant.Check(invariantService, owner.Service == service.Tag):
		return Decision{Verdict: VerdictViolation}
	}
	return Decision{
		Verdict:     VerdictForward,
		Kind:        tunnel.KindFlow,
		Service:     service.Tag,
		Agent:       owner.Addr,
		Incarnation: owner.Incarnation,
	}
}

func placeNewFlow(view *View, service *ServiceView, key uint64) Decision {
	first, second := placement.Choose(key, service.Candidates)
	if first == placement.None {
		return Decision{Verdict: VerdictNoHost}
	}
	firstHost := &service.Hosts[first]
	decision := Decision{
		Verdict: VerdictForward,
		Kind:    tunnel.KindNew,
		Service: service.Tag,
		Agent:   firstHost.Addr,
	}
	if !checkZoneOpen(view, firstHost) {
		return Decision{Verdict: VerdictViolation}
	}
	if second != placement.None {
		secondHost := &service.Hosts[second]
		distinct := invariant.Check(invariantSecond, secondHost.Addr != firstHost.Addr)
		if !distinct || !checkZoneOpen(view, secondHost) {
			return Decision{Verdict: VerdictViolation}
		}
		decision.Second = secondHost.Addr
		decision.SecondLoad = tunnel.Load(secondHost.shared.load.Load())
	}
	firstHost.shared.newFlowPackets.Add(1)
	return decision
}

// Invariant names as reported in metrics.
const (
	invariantService = "packet_goes_to_the_service_addressed"
	invariantZone    = "new_flow_goes_to_an_open_zone"
	invariantSecond  = "second_choice_differs_from_first"
)

// checkZoneOpen checks the invariant that the host's zone is open in the view,
// which holds because only hosts in open zones are eligible.
func checkZoneOpen(view *View, host *HostView) bool {
	return invariant.Check(invariantZone, !view.ZonesOut[host.Zone])
}

// flowKey hashes the caller's address together with the connection ID that the
// caller chose, so that flows from one address spread over several hosts.
func flowKey(src netip.AddrPort, dcid []byte) uint64 {
	ip := src.Addr().As16()
	key := placement.Mix(xxhash.Sum64(dcid))
	key ^= binary.BigEndian.Uint64(ip[8:])
	return placement.Mix(key ^ uint64(src.Port())<<48)
}
