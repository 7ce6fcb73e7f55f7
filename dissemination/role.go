package dissemination

import (
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
)

// rank returns the node's rank in the order of its zone, and whether the node
// is listed.
func (r *Replica) rank() (rank int, listed bool) {
	order := r.order(r.config.Self.Zone)
	if order == nil {
		return 0, false
	}
	if r.selfRank.order != order {
		r.selfRank.order = order
		r.selfRank.rank, r.selfRank.listed = order.Rank(r.config.Self)
	}
	return r.selfRank.rank, r.selfRank.listed
}

// cachedRank is the node's rank in an order.
type cachedRank struct {
	order  *Order
	rank   int
	listed bool
}

// Watching reports whether the node watches the platform for its zone: either
// as one of the first Watchers nodes in the order, or as a standby watcher
// that replaces one that does not answer.
func (r *Replica) Watching(now time.Time) bool {
	rank, listed := r.rank()
	if !listed || rank >= r.config.Watchers+r.config.StandbyWatchers {
		return false
	}
	order := r.order(r.config.Self.Zone)
	liveBefore := 0
	for i := range rank {
		if !r.backingOff(now, order.At(i).ID) {
			liveBefore++
		}
	}
	return liveBefore < r.config.Watchers
}

// holdsFullCopy reports whether the node holds the whole configuration and the
// lists of all zones. Every entry does, whatever its rank.
func (r *Replica) holdsFullCopy() bool {
	if r.config.Self.Role == fleet.RoleEntry {
		return true
	}
	rank, listed := r.rank()
	if !listed {
		return false
	}
	return NeedsFullCopy(r.config, rank, r.order(r.config.Self.Zone).Len())
}

// wantedPeers returns the peers to poll, in order of preference.
func (r *Replica) wantedPeers(now time.Time) []fleet.VM {
	order := r.order(r.config.Self.Zone)
	if order == nil || order.Len() == 0 {
		return r.pickSeeds()
	}
	rank, listed := r.rank()
	if listed && rank < r.config.Watchers+r.config.StandbyWatchers && r.Watching(now) {
		return r.watcherPeers(now, order, rank)
	}
	wanted := r.pickPeers(now, order, r.parentRanks(order, rank, listed), r.config.Parents)
	if len(wanted) == 0 && r.holder.Config() == nil {
		return r.pickSeeds()
	}
	return wanted
}

// parentRanks returns the ranks of possible parents. No node polls an unlisted
// node, so that one may also poll the watchers, whatever its rank, without
// forming a cycle.
func (r *Replica) parentRanks(order *Order, rank int, listed bool) []int {
	candidates := ParentCandidates(r.config, r.config.Self.ID, rank)
	if listed {
		return candidates
	}
	for i := range min(r.config.Watchers, order.Len()) {
		if !slices.Contains(candidates, i) {
			candidates = append(candidates, i)
		}
	}
	return candidates
}

// pickPeers returns the first count VMs with the given ranks that the node may
// poll now.
func (r *Replica) pickPeers(now time.Time, order *Order, ranks []int, count int) []fleet.VM {
	var picked []fleet.VM
	for _, rank := range ranks {
		if len(picked) == count {
			break
		}
		vm := order.At(rank)
		if vm.ID != r.config.Self.ID && !r.backingOff(now, vm.ID) {
			picked = append(picked, *vm)
		}
	}
	return picked
}

// watcherPeers returns the next watcher of the zone, so that a watcher that
// lost its connection to the platform still learns of changes, and one watcher
// in each other zone.
func (r *Replica) watcherPeers(now time.Time, order *Order, rank int) []fleet.VM {
	watchers := min(r.config.Watchers, order.Len())
	var others []int
	for i := 1; i <= watchers; i++ {
		others = append(others, (rank+i)%watchers)
	}
	wanted := r.pickPeers(now, order, others, 1)
	for _, zone := range r.zones() {
		other := r.order(zone)
		if zone == r.config.Self.Zone || other == nil || other.Len() == 0 {
			continue
		}
		wanted = append(wanted, r.pickPeers(now, other, r.crossZoneRanks(other, rank), 1)...)
	}
	return wanted
}

// crossZoneRanks returns the ranks of the watchers and standby watchers of
// another zone to try, beginning with the watcher of the node's own rank.
func (r *Replica) crossZoneRanks(order *Order, rank int) []int {
	watchers := min(r.config.Watchers, order.Len())
	var ranks []int
	for i := range watchers {
		ranks = append(ranks, (rank+i)%watchers)
	}
	for i := watchers; i < min(watchers+r.config.StandbyWatchers, order.Len()); i++ {
		ranks = append(ranks, i)
	}
	return ranks
}

// zones returns the sorted names of the declared zones and the node's own
// zone.
func (r *Replica) zones() []string {
	inForce := r.holder.Config()
	if r.zoneNames != nil && r.zoneNamesConfig == inForce {
		return r.zoneNames
	}
	r.zoneNamesConfig = inForce
	r.zoneNames = []string{r.config.Self.Zone}
	if inForce != nil {
		for _, zone := range inForce.Manifest.Zones {
			r.zoneNames = append(r.zoneNames, zone.Name)
		}
	}
	slices.Sort(r.zoneNames)
	r.zoneNames = slices.Compact(r.zoneNames)
	return r.zoneNames
}

// neededZones returns the zones whose lists the node needs.
func (r *Replica) neededZones() []string {
	if r.holdsFullCopy() {
		return r.zones()
	}
	return []string{r.config.Self.Zone}
}

// pickSeeds returns up to Parents of the seeds, chosen by the hash of the
// node's ID.
func (r *Replica) pickSeeds() []fleet.VM {
	count := min(r.config.Parents, len(r.config.Seeds))
	first := 0
	if count > 0 {
		first = int(mix64(newRankedVM(&r.config.Self).hash) % uint64(len(r.config.Seeds)))
	}
	var picked []fleet.VM
	for i := range count {
		picked = append(picked, r.config.Seeds[(first+i)%len(r.config.Seeds)])
	}
	return picked
}
