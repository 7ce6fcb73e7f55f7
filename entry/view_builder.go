package entry

import (
	"maps"
	"net/netip"
	"time"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/connid"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/placement"
)

// failOpenThreshold is the share of presumed live hosts, among the presumed
// live and the unresponsive hosts of a service, below which unresponsive hosts
// receive new flows again.
const failOpenThreshold = 0.25

// ViewChanged is the effect that publishes a new view to forwarding
// goroutines.
type ViewChanged struct {
	View *View
}

// ViewBuilder is the controller that builds the view from the board. It
// rebuilds only the services that changed.
type ViewBuilder struct {
	connIDs *connid.Codec
	config  *fleet.Config
	view    *View
}

// Step implements blackboard.Controller.
func (b *ViewBuilder) Step(_ time.Time, board *Board) []blackboard.Effect {
	config := board.Node.Holder.Config()
	if config == nil {
		return nil
	}
	keys := board.Keys.Load()
	rebuildAll := b.view == nil || config != b.config || board.hostsChanged
	keysRotated := b.view == nil || keys != b.view.Keys
	if !rebuildAll && !keysRotated && len(board.dirtyServices) == 0 && board.closedZones == b.view.ZonesOut {
		return nil
	}
	if keysRotated {
		codec, err := connid.NewCodec(keys)
		if err != nil {
			return nil
		}
		b.connIDs = codec
	}
	b.config = config
	b.view = &View{
		Revision:      config.Revision(),
		Keys:          keys,
		ConnIDs:       b.connIDs,
		Services:      b.buildServices(board, config, rebuildAll),
		ZonesOut:      board.closedZones,
		AgentNetworks: board.Config.AgentNetworks,
	}
	board.hostsChanged = false
	clear(board.dirtyServices)
	return []blackboard.Effect{ViewChanged{View: b.view}}
}

// buildServices returns the services of the view: all rebuilt if rebuildAll is
// set, or otherwise the previous ones with the changed services replaced.
func (b *ViewBuilder) buildServices(board *Board, config *fleet.Config, rebuildAll bool) map[netip.AddrPort]*ServiceView {
	if rebuildAll {
		services := make(map[netip.AddrPort]*ServiceView, len(config.Services()))
		for _, service := range config.Services() {
			services[service.Addr] = buildService(board, config, service)
		}
		return services
	}
	if len(board.dirtyServices) == 0 {
		return b.view.Services
	}
	services := maps.Clone(b.view.Services)
	for id := range board.dirtyServices {
		if service, found := config.Service(id); found {
			services[service.Addr] = buildService(board, config, service)
		}
	}
	return services
}

func buildService(board *Board, config *fleet.Config, service fleet.Service) *ServiceView {
	view := &ServiceView{Tag: service.ID.Tag()}
	hosts := board.hostsByService[service.ID]
	view.FailOpen = !enoughPresumedLive(hosts)
	for _, h := range hosts {
		eligible := h.state.presumedLive() || view.FailOpen && h.state.unresponsive()
		zone, declared := config.Zone(h.vm.Zone)
		if !eligible || !declared || board.closedZones[zone.Number] {
			continue
		}
		view.Candidates = append(view.Candidates, placement.Candidate{Seed: h.seed, Weight: h.weight})
		view.Hosts = append(view.Hosts, HostView{Addr: h.vm.Addr, Zone: zone.Number, shared: h.shared})
	}
	return view
}

// enoughPresumedLive reports whether enough hosts of a service are presumed
// live for unresponsive hosts to be excluded from new flows.
func enoughPresumedLive(hosts []*host) bool {
	presumedLive, unresponsive := 0, 0
	for _, h := range hosts {
		switch {
		case h.state.presumedLive():
			presumedLive++
		case h.state.unresponsive():
			unresponsive++
		}
	}
	return unresponsive == 0 || float64(presumedLive) >= failOpenThreshold*float64(presumedLive+unresponsive)
}
