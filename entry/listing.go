package entry

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericrock/turmericrock/fleet"
)

// listsChanged reports whether the VM lists differ from those last applied,
// and records their versions as applied.
func (m *Membership) listsChanged(board *Board) bool {
	changed := len(m.listVersions) != len(board.Node.VMLists)
	for zone, list := range board.Node.VMLists {
		if applied, found := m.listVersions[zone]; !found || applied != list.Version {
			m.listVersions[zone] = list.Version
			changed = true
		}
	}
	return changed
}

const (
	// A list that drops more than massRemovalShare of the hosts of a zone at
	// once, and at least massRemovalMinHosts, may be wrong. The hosts it drops
	// are kept while they answer.
	massRemovalShare    = 0.5
	massRemovalMinHosts = 2
)

// applyLists reconciles the board's hosts with the VM lists. If a list drops
// most hosts of a zone at once, those that are live are kept while they
// answer: the list may be wrong, and hosts that no longer exist stop
// answering.
func (m *Membership) applyLists(board *Board) {
	listed := listedAgents(board.Node.VMLists)
	massRemoval := massRemovalZones(board, listed)
	for addr, h := range board.hosts {
		if _, found := listed[addr]; found || h.unlisted {
			continue
		}
		if massRemoval[h.vm.Zone] && h.state == HostLive {
			m.recordChange(h, h.state.String(), h.state.String(), "dropped with its zone by a list, kept while it answers")
			h.unlisted = true
			continue
		}
		m.removeHost(board, addr, h)
	}
	for addr, vm := range listed {
		m.applyVM(board, addr, vm)
	}
	m.initialListsApplied = true
	indexHosts(board)
}

func (m *Membership) removeHost(board *Board, addr netip.AddrPort, h *host) {
	m.recordChange(h, h.state.String(), "unlisted", "not listed")
	delete(board.hosts, addr)
}

// massRemovalZones returns the zones of which the lists drop most hosts at
// once.
func massRemovalZones(board *Board, listed map[netip.AddrPort]fleet.VM) map[string]bool {
	current, removed := make(map[string]int), make(map[string]int)
	for addr, h := range board.hosts {
		if h.unlisted {
			continue
		}
		current[h.vm.Zone]++
		if _, found := listed[addr]; !found {
			removed[h.vm.Zone]++
		}
	}
	massRemoval := make(map[string]bool)
	for zone, count := range removed {
		massRemoval[zone] = count >= massRemovalMinHosts && float64(count) > massRemovalShare*float64(current[zone])
	}
	return massRemoval
}

// removeUnlisted removes the hosts that are in no list and no longer live.
func (m *Membership) removeUnlisted(board *Board) {
	changed := false
	for _, h := range board.hostsByAddr {
		if h.unlisted && h.state != HostLive {
			m.removeHost(board, h.vm.Addr, h)
			changed = true
		}
	}
	if changed {
		indexHosts(board)
	}
}

// applyVM adds or updates the host at addr with the listed VM.
func (m *Membership) applyVM(board *Board, addr netip.AddrPort, vm fleet.VM) {
	h := board.hosts[addr]
	switch {
	case h == nil:
		h = &host{vm: vm, seed: hostSeed(addr), shared: &sharedHost{}, mayBeCold: m.initialListsApplied}
		board.hosts[addr] = h
		m.recordChange(h, "unlisted", h.state.String(), "listed")
	case h.vm.ID != vm.ID:
		m.recordChange(h, h.state.String(), HostUnreported.String(), "replaced")
		h.retireIncarnation()
		h.mayBeCold, h.weight = true, coldWeight
		h.state = HostUnreported
	}
	h.vm = vm
	h.unlisted = false
	h.usable = usableAddr(board.Config.AgentNetworks, addr)
}

// indexHosts rebuilds the sorted list of hosts and the groups by service.
func indexHosts(board *Board) {
	board.hostsByAddr = board.hostsByAddr[:0]
	for _, h := range board.hosts {
		board.hostsByAddr = append(board.hostsByAddr, h)
	}
	slices.SortFunc(board.hostsByAddr, func(a, b *host) int {
		return a.vm.Addr.Compare(b.vm.Addr)
	})
	clear(board.hostsByService)
	for _, h := range board.hostsByAddr {
		board.hostsByService[h.vm.Service] = append(board.hostsByService[h.vm.Service], h)
	}
	board.hostsChanged = true
}

// listedAgents returns the agents in all lists by address.
func listedAgents(lists map[string]fleet.VMList) map[netip.AddrPort]fleet.VM {
	listed := make(map[netip.AddrPort]fleet.VM)
	for _, list := range lists {
		for _, vm := range list.VMs {
			if vm.Role != fleet.RoleAgent {
				continue
			}
			if other, found := listed[vm.Addr]; !found || takesPrecedence(vm, other) {
				listed[vm.Addr] = vm
			}
		}
	}
	return listed
}

// takesPrecedence reports whether VM a rather than b is used for an address
// that the lists give to both. A live VM takes precedence over a leaving one,
// else the greater ID wins, so that all entries decide alike.
func takesPrecedence(a, b fleet.VM) bool {
	if a.State != b.State {
		return a.State == fleet.VMLive
	}
	return strings.Compare(a.ID, b.ID) > 0
}

func hostSeed(addr netip.AddrPort) uint64 {
	return xxhash.Sum64String(addr.String())
}
