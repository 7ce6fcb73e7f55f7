package entry

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/connid"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/placement"
)

// ViewChanged is the effect that publishes a new view to traffic goroutines.
type ViewChanged struct {
	View *View
}

// Viewer is the controller that derives the view from the facts.
type Viewer struct {
	keys    *keyring.Keys
	connIDs *connid.Codec
	builtAt time.Time
}

const viewInterval = 200 * time.Millisecond

// Step implements blackboard.Controller.
func (v *Viewer) Step(now time.Time, board *Board) []blackboard.Effect {
	effects := board.Node.TakeEffects()
	config := board.Node.Holder.Config()
	if config == nil || now.Sub(v.builtAt) < viewInterval {
		return effects
	}
	v.builtAt = now
	if err := v.refreshKeys(board); err != nil {
		return effects
	}
	return append(effects, ViewChanged{View: v.build(now, board, config)})
}

func (v *Viewer) refreshKeys(board *Board) error {
	keys := board.Keys.Load()
	if keys == v.keys {
		return nil
	}
	codec, err := connid.NewCodec(keys)
	if err != nil {
		return err
	}
	v.keys, v.connIDs = keys, codec
	return nil
}

func (v *Viewer) build(now time.Time, board *Board, config *fleet.Config) *View {
	view := &View{
		Revision:      config.Revision(),
		Keys:          v.keys,
		ConnIDs:       v.connIDs,
		Services:      make(map[netip.AddrPort]*ServiceView, len(config.Services())),
		ZonesOut:      config.ZonesOut(),
		AgentNetworks: board.Config.AgentNetworks,
	}
	byID := make(map[fleet.ServiceID]*ServiceView, len(config.Services()))
	for _, service := range config.Services() {
		sv := &ServiceView{Tag: service.ID.Tag()}
		view.Services[service.Addr] = sv
		byID[service.ID] = sv
	}
	for zone, list := range board.Node.Lists {
		if config.ZoneOut(zone) {
			continue
		}
		for _, vm := range list.VMs {
			if sv := byID[vm.Service]; sv != nil {
				addHost(now, board, sv, vm)
			}
		}
	}
	return view
}

func addHost(now time.Time, board *Board, sv *ServiceView, vm fleet.VM) {
	if vm.Role != fleet.RoleAgent || vm.State != fleet.VMLive {
		return
	}
	weight := hostWeight(now, board, vm.Addr)
	sv.Candidates = append(sv.Candidates, placement.Candidate{Seed: hostSeed(vm.Addr), Weight: weight})
	sv.Hosts = append(sv.Hosts, HostView{Addr: vm.Addr})
}

// hostWeight is the admitted share of the host's slots, as last reported.
func hostWeight(_ time.Time, board *Board, addr netip.AddrPort) float64 {
	report, found := board.Reports[addr]
	if !found {
		return 1
	}
	if !report.Report.State.Accepting() {
		return 0
	}
	return max(float64(report.Report.Capacity)/1000, minWeight)
}

const minWeight = 0.05

func hostSeed(addr netip.AddrPort) uint64 {
	return xxhash.Sum64String(addr.String())
}
