package dissemination

import (
	"net/netip"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
)

// listState is the VM list of one zone as a replica holds it.
type listState struct {
	// listed is the list as the platform gave it.
	listed fleet.VMList
	// history holds the lists before listed, oldest first.
	history []fleet.VMList
	// retained holds VMs that a list lost together with many others.
	retained []fleet.VM
	// retainedUntil is when the retained VMs are forgotten.
	retainedUntil time.Time
	// order is the order of the listed and the retained VMs.
	order *Order
	// confirmed is when the list was known to be current.
	confirmed time.Time
	// askedAt and asked tell of the latest request for the list.
	askedAt time.Time
	asked   uint64
}

const (
	// retainTime is how long VMs are kept that a list lost all at once.
	retainTime = 10 * time.Minute
	// retainLeast is the least number of VMs lost at once that are kept.
	retainLeast = 4
	// listHistory is the number of earlier lists held.
	listHistory = 4
	// askAgain is the time after which a value is asked for again.
	askAgain = time.Second
)

// members returns the listed and the retained VMs.
func (s *listState) members() fleet.VMList {
	list := s.listed
	if len(s.retained) > 0 {
		list.VMs = append(slices.Clone(list.VMs), s.retained...)
	}
	return list
}

// remember puts the list held into the history.
func (s *listState) remember() {
	if s.listed.Version == 0 {
		return
	}
	s.history = append(s.history, s.listed)
	if len(s.history) > listHistory {
		s.history = slices.Delete(s.history, 0, 1)
	}
}

// order returns the order of the zone's VMs, or nil before the first list.
func (r *Replica) order(zone string) *Order {
	state := r.lists[zone]
	if state == nil {
		return nil
	}
	return state.order
}

// List returns the VMs of the zone: those of the platform's list, and those
// that it lost all at once a short time ago.
func (r *Replica) List(zone string) (fleet.VMList, bool) {
	state := r.lists[zone]
	if state == nil {
		return fleet.VMList{}, false
	}
	return state.members(), true
}

// adoptList takes a list with a higher version than the one held.
func (r *Replica) adoptList(now time.Time, list fleet.VMList, asOf time.Time, source string) {
	state := r.lists[list.Zone]
	if state == nil {
		state = &listState{}
		r.lists[list.Zone] = state
	}
	if list.Version < state.listed.Version {
		return
	}
	if asOf.After(state.confirmed) {
		state.confirmed = asOf
	}
	if list.Version == state.listed.Version {
		return
	}
	before := state.members()
	state.remember()
	state.listed = list
	r.retain(now, state, before)
	r.relist(state, before, source)
	r.changed[list.Zone] = true
}

// retain keeps the VMs that a list lost when they are at least half: a list
// that is wrong would otherwise take a whole zone out of sight.
func (r *Replica) retain(now time.Time, state *listState, before fleet.VMList) {
	if len(before.VMs) == 0 {
		return
	}
	ids := make(map[string]bool, len(state.listed.VMs))
	addrs := make(map[netip.AddrPort]bool, len(state.listed.VMs))
	for _, vm := range state.listed.VMs {
		ids[vm.ID] = true
		addrs[vm.Addr] = true
	}
	var lost []fleet.VM
	for _, vm := range before.VMs {
		if !ids[vm.ID] && !addrs[vm.Addr] {
			lost = append(lost, vm)
		}
	}
	wasRetaining := len(state.retained) > 0 && now.Before(state.retainedUntil)
	many := len(lost) >= retainLeast && 2*len(lost) >= len(before.VMs)
	switch {
	case many && !wasRetaining:
		state.retained = lost
		state.retainedUntil = now.Add(retainTime)
		r.counts.Retained++
	case wasRetaining:
		state.retained = lost
	default:
		state.retained = nil
	}
}

func (r *Replica) releaseRetained(now time.Time) {
	for _, state := range r.lists {
		if len(state.retained) == 0 || now.Before(state.retainedUntil) {
			continue
		}
		before := state.members()
		state.retained = nil
		r.relist(state, before, "retention")
	}
}

func (r *Replica) relist(state *listState, before fleet.VMList, source string) {
	members := state.members()
	state.order = r.builder.Order(members)
	r.forgetPeers(members)
	r.act(ListChanged{Before: before, List: members, Source: source})
}

// versions returns the versions held, the latest last.
func (s *listState) versions() []uint64 {
	var versions []uint64
	for _, list := range s.history {
		versions = append(versions, list.Version)
	}
	if s.listed.Version != 0 {
		versions = append(versions, s.listed.Version)
	}
	return versions
}

// version returns the list held with the version.
func (s *listState) version(version uint64) (fleet.VMList, bool) {
	for _, list := range append(slices.Clone(s.history), s.listed) {
		if version != 0 && list.Version == version {
			return list, true
		}
	}
	return fleet.VMList{}, false
}

// tellList returns the list of the zone for a node that holds the versions
// given: the smallest difference from a version that both hold, or the whole
// list.
func (r *Replica) tellList(want ListWant) (ListValue, bool) {
	state := r.lists[want.Zone]
	if state == nil || len(want.Bases) > 0 && state.listed.Version <= want.Bases[len(want.Bases)-1] {
		return ListValue{}, false
	}
	if state.listed.Version == 0 {
		return ListValue{}, false
	}
	best := ListValue{Zone: want.Zone, Version: state.listed.Version, Set: state.listed.VMs}
	for _, base := range want.Bases {
		held, found := state.version(base)
		if !found {
			continue
		}
		if diff := DiffLists(held, state.listed); diff.entries() < best.entries() {
			best = diff
		}
	}
	return best, true
}
