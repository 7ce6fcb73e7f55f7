package dissemination

import (
	"net/netip"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
)

// listState is a replica's state of the VM list of one zone.
type listState struct {
	// current is the latest list, as the platform published it.
	current fleet.VMList
	// history holds the lists before current, oldest first.
	history []fleet.VMList
	// retained holds VMs that disappeared from the list together with many
	// others.
	retained []fleet.VM
	// retainedUntil is when the retained VMs are dropped.
	retainedUntil time.Time
	// order is the order of the current and the retained VMs. It is nil until a
	// list was received.
	order *Order
	// confirmedAt is the latest time at which the list is known to have been
	// current.
	confirmedAt time.Time
	// requestedAt and requestedVersion describe the latest request for the list.
	requestedAt      time.Time
	requestedVersion uint64
}

const (
	// retentionPeriod is how long VMs that disappeared all at once are retained.
	retentionPeriod = 10 * time.Minute
	// minRetained is the minimum number of VMs that must disappear at once to be
	// retained.
	minRetained = 4
	// maxListHistory is the maximum number of earlier lists held for each zone.
	maxListHistory = 4
	// requestRetryInterval is the time after which a list is requested again.
	requestRetryInterval = time.Second
)

// members returns the current and the retained VMs.
func (s *listState) members() fleet.VMList {
	list := s.current
	if len(s.retained) > 0 {
		list.VMs = append(slices.Clone(list.VMs), s.retained...)
	}
	return list
}

// pushHistory appends the current list to the history.
func (s *listState) pushHistory() {
	if s.current.Version == 0 {
		return
	}
	s.history = append(s.history, s.current)
	if len(s.history) > maxListHistory {
		s.history = slices.Delete(s.history, 0, 1)
	}
}

// order returns the order of the zone's VMs, or nil if no list was received
// yet.
func (r *Replica) order(zone string) *Order {
	state := r.lists[zone]
	if state == nil {
		return nil
	}
	return state.order
}

// List returns the VMs of the zone, and whether the zone is known: the VMs of
// the platform's list and those retained because they disappeared from it all
// at once less than retentionPeriod ago.
func (r *Replica) List(zone string) (fleet.VMList, bool) {
	state := r.lists[zone]
	if state == nil {
		return fleet.VMList{}, false
	}
	return state.members(), true
}

// adoptList replaces the list of a zone by one with a higher version. A list
// with the same version only confirms that the list was current at asOf.
func (r *Replica) adoptList(now time.Time, list fleet.VMList, asOf time.Time, source string) {
	state := r.lists[list.Zone]
	if state == nil {
		state = &listState{}
		r.lists[list.Zone] = state
	}
	if list.Version < state.current.Version {
		return
	}
	if asOf.After(state.confirmedAt) {
		state.confirmedAt = asOf
	}
	if list.Version == state.current.Version {
		return
	}
	before := state.members()
	state.pushHistory()
	state.current = list
	r.retainLost(now, state, before)
	r.updateMembers(state, before, source)
	r.changed[list.Zone] = true
}

// retainLost retains the VMs that a new list lacks if they are at least half
// of the previous ones, and at least minRetained. Otherwise one wrong list
// would make a whole zone disappear.
func (r *Replica) retainLost(now time.Time, state *listState, before fleet.VMList) {
	if len(before.VMs) == 0 {
		return
	}
	ids := make(map[string]bool, len(state.current.VMs))
	addrs := make(map[netip.AddrPort]bool, len(state.current.VMs))
	for _, vm := range state.current.VMs {
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
	many := len(lost) >= minRetained && 2*len(lost) >= len(before.VMs)
	switch {
	case many && !wasRetaining:
		state.retained = lost
		state.retainedUntil = now.Add(retentionPeriod)
		r.counts.RetainedLists++
	case wasRetaining:
		state.retained = lost
	default:
		state.retained = nil
	}
}

// expireRetained drops retained VMs whose retention period is over.
func (r *Replica) expireRetained(now time.Time) {
	for _, state := range r.lists {
		if len(state.retained) == 0 || now.Before(state.retainedUntil) {
			continue
		}
		before := state.members()
		state.retained = nil
		r.updateMembers(state, before, "retention")
	}
}

// updateMembers recomputes the order of a zone after its VMs have changed, and
// forgets peers that are no longer among them.
func (r *Replica) updateMembers(state *listState, before fleet.VMList, source string) {
	members := state.members()
	state.order = r.builder.Order(members)
	r.removeUnlistedPeers(members)
	r.emit(ListChanged{Before: before, List: members, Source: source})
}

// versions returns the versions of the lists held, the latest last.
func (s *listState) versions() []uint64 {
	var versions []uint64
	for _, list := range s.history {
		versions = append(versions, list.Version)
	}
	if s.current.Version != 0 {
		versions = append(versions, s.current.Version)
	}
	return versions
}

// findVersion returns the list with the version, and whether it is held.
func (s *listState) findVersion(version uint64) (fleet.VMList, bool) {
	for _, list := range append(slices.Clone(s.history), s.current) {
		if version != 0 && list.Version == version {
			return list, true
		}
	}
	return fleet.VMList{}, false
}

// listUpdate returns the list of the zone for a node that holds the given
// versions: the smallest difference from a version that both nodes hold, or
// the whole list. It returns false if the node has no newer list.
func (r *Replica) listUpdate(request ListRequest) (ListUpdate, bool) {
	state := r.lists[request.Zone]
	if state == nil || len(request.Bases) > 0 && state.current.Version <= request.Bases[len(request.Bases)-1] {
		return ListUpdate{}, false
	}
	if state.current.Version == 0 {
		return ListUpdate{}, false
	}
	best := ListUpdate{Zone: request.Zone, Version: state.current.Version, Upserted: state.current.VMs}
	for _, base := range request.Bases {
		older, found := state.findVersion(base)
		if !found {
			continue
		}
		if diff := DiffLists(older, state.current); diff.entries() < best.entries() {
			best = diff
		}
	}
	return best, true
}
