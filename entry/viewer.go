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

// trustShare is the share of the hosts of a service, among those that have
// not refused themselves, that must be believed for silence to count.
const trustShare = 0.25

// ViewChanged is the effect that publishes a new view to traffic goroutines.
type ViewChanged struct {
	View *View
}

// Viewer is the controller that derives the view from the facts. It builds
// anew only what changed.
type Viewer struct {
	connIDs *connid.Codec
	config  *fleet.Config
	view    *View
}

// Step implements blackboard.Controller.
func (v *Viewer) Step(_ time.Time, board *Board) []blackboard.Effect {
	config := board.Node.Holder.Config()
	if config == nil {
		return nil
	}
	keys := board.Keys.Load()
	whole := v.view == nil || config != v.config || board.relisted
	rotated := v.view == nil || keys != v.view.Keys
	if !whole && !rotated && len(board.dirty) == 0 && board.closed == v.view.ZonesOut {
		return nil
	}
	if rotated {
		codec, err := connid.NewCodec(keys)
		if err != nil {
			return nil
		}
		v.connIDs = codec
	}
	v.config = config
	v.view = &View{
		Revision:      config.Revision(),
		Keys:          keys,
		ConnIDs:       v.connIDs,
		Services:      v.services(board, config, whole),
		ZonesOut:      board.closed,
		AgentNetworks: board.Config.AgentNetworks,
	}
	board.relisted = false
	clear(board.dirty)
	return []blackboard.Effect{ViewChanged{View: v.view}}
}

// services returns the services of the view: all built anew, or the earlier
// ones with those that changed.
func (v *Viewer) services(board *Board, config *fleet.Config, whole bool) map[netip.AddrPort]*ServiceView {
	if whole {
		services := make(map[netip.AddrPort]*ServiceView, len(config.Services()))
		for _, service := range config.Services() {
			services[service.Addr] = buildService(board, config, service)
		}
		return services
	}
	if len(board.dirty) == 0 {
		return v.view.Services
	}
	services := maps.Clone(v.view.Services)
	for id := range board.dirty {
		if service, found := config.Service(id); found {
			services[service.Addr] = buildService(board, config, service)
		}
	}
	return services
}

func buildService(board *Board, config *fleet.Config, service fleet.Service) *ServiceView {
	sv := &ServiceView{Tag: service.ID.Tag()}
	hosts := board.byService[service.ID]
	sv.ListBelieved = !enoughBelieved(hosts)
	for _, h := range hosts {
		eligible := h.state.believed() || sv.ListBelieved && h.state.silent()
		zone, declared := config.Zone(h.vm.Zone)
		if !eligible || !declared || board.closed[zone.Number] {
			continue
		}
		sv.Candidates = append(sv.Candidates, placement.Candidate{Seed: h.seed, Weight: h.weight})
		sv.Hosts = append(sv.Hosts, HostView{Addr: h.vm.Addr, Zone: zone.Number, cell: h.cell})
	}
	return sv
}

// enoughBelieved reports whether silence counts against hosts of a service.
func enoughBelieved(hosts []*host) bool {
	believed, silent := 0, 0
	for _, h := range hosts {
		switch {
		case h.state.believed():
			believed++
		case h.state.silent():
			silent++
		}
	}
	return silent == 0 || float64(believed) >= trustShare*float64(believed+silent)
}
