package entry

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericrock/turmericrock/fleet"
)

// listsChanged reports whether a VM list differs from the one last applied.
func (m *Membership) listsChanged(board *Board) bool {
	changed := len(m.versions) != len(board.Node.Lists)
	for zone, list := range board.Node.Lists {
		if held, found := m.versions[zone]; !found || held != list.Version {
			m.versions[zone] = list.Version
			changed = true
		}
	}
	return changed
}

const (
	// massShare is the share of the hosts of a zone above which a list that
	// drops them at once is doubted, and massHosts the least number.
	massShare = 0.5
	massHosts = 2
)

// sync makes the hosts those of the lists. Hosts that a list drops together
// with most of their zone are kept while they answer: the list may be wrong,
// and hosts that are gone fall silent.
func (m *Membership) sync(board *Board) {
	listed := listedAgents(board.Node.Lists)
	doubted := doubtedZones(board, listed)
	for addr, h := range board.hosts {
		if _, found := listed[addr]; found || h.unlisted {
			continue
		}
		if doubted[h.vm.Zone] && h.state == HostLive {
			m.note(h, h.state.String(), h.state.String(), "dropped with its zone by a list, kept while it answers")
			h.unlisted = true
			continue
		}
		m.drop(board, addr, h)
	}
	for addr, vm := range listed {
		m.apply(board, addr, vm)
	}
	m.listed = true
	index(board)
}

func (m *Membership) drop(board *Board, addr netip.AddrPort, h *host) {
	m.note(h, h.state.String(), "unlisted", "not listed")
	delete(board.hosts, addr)
}

// doubtedZones returns the zones of which the lists drop most hosts at once.
func doubtedZones(board *Board, listed map[netip.AddrPort]fleet.VM) map[string]bool {
	held, dropped := make(map[string]int), make(map[string]int)
	for addr, h := range board.hosts {
		if h.unlisted {
			continue
		}
		held[h.vm.Zone]++
		if _, found := listed[addr]; !found {
			dropped[h.vm.Zone]++
		}
	}
	doubted := make(map[string]bool)
	for zone, count := range dropped {
		doubted[zone] = count >= massHosts && float64(count) > massShare*float64(held[zone])
	}
	return doubted
}

// dropUnlisted forgets the hosts that no list names and that no longer answer
// and accept.
func (m *Membership) dropUnlisted(board *Board) {
	changed := false
	for _, h := range board.order {
		if h.unlisted && h.state != HostLive {
			m.drop(board, h.vm.Addr, h)
			changed = true
		}
	}
	if changed {
		index(board)
	}
}

// apply takes the list's word on one address.
func (m *Membership) apply(board *Board, addr netip.AddrPort, vm fleet.VM) {
	h := board.hosts[addr]
	switch {
	case h == nil:
		h = &host{vm: vm, seed: hostSeed(addr), cell: &hostCell{}, added: m.listed}
		board.hosts[addr] = h
		m.note(h, "unlisted", h.state.String(), "listed")
	case h.vm.ID != vm.ID:
		m.note(h, h.state.String(), HostUnreported.String(), "replaced")
		h.retire()
		h.added, h.weight = true, coldWeight
		h.state = HostUnreported
	}
	h.vm = vm
	h.unlisted = false
	h.usable = usableAddr(board.Config.AgentNetworks, addr)
}

// index orders the hosts and groups them by service.
func index(board *Board) {
	board.order = board.order[:0]
	for _, h := range board.hosts {
		board.order = append(board.order, h)
	}
	slices.SortFunc(board.order, func(a, b *host) int {
		return a.vm.Addr.Compare(b.vm.Addr)
	})
	clear(board.byService)
	for _, h := range board.order {
		board.byService[h.vm.Service] = append(board.byService[h.vm.Service], h)
	}
	board.relisted = true
}

// listedAgents returns the agents of all lists by address.
func listedAgents(lists map[string]fleet.VMList) map[netip.AddrPort]fleet.VM {
	listed := make(map[netip.AddrPort]fleet.VM)
	for _, list := range lists {
		for _, vm := range list.VMs {
			if vm.Role != fleet.RoleAgent {
				continue
			}
			if other, found := listed[vm.Addr]; !found || supersedes(vm, other) {
				listed[vm.Addr] = vm
			}
		}
	}
	return listed
}

// supersedes reports whether VM a holds an address that the lists give to b
// too: a live VM before a leaving one, else the greater ID, so that every
// entry decides alike.
func supersedes(a, b fleet.VM) bool {
	if a.State != b.State {
		return a.State == fleet.VMLive
	}
	return strings.Compare(a.ID, b.ID) > 0
}

func hostSeed(addr netip.AddrPort) uint64 {
	return xxhash.Sum64String(addr.String())
}
