package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericrock/turmericrock/fleet"
)

// Order is the total order of the VMs of a zone. VMs with the role of entry
// precede those with the role of agent; VMs of the same role are ordered by the
// hash of their IDs.
type Order struct {
	ranked []rankedVM
}

// rankedVM is a VM with its sort key.
type rankedVM struct {
	agent bool
	hash  uint64
	vm    *fleet.VM
}

// NewOrder returns the order of the VMs of a list. It keeps pointers into
// list.VMs.
func NewOrder(list fleet.VMList) *Order {
	o := &Order{ranked: make([]rankedVM, 0, len(list.VMs))}
	for i := range list.VMs {
		o.ranked = append(o.ranked, newRankedVM(&list.VMs[i]))
	}
	slices.SortFunc(o.ranked, compareRanked)
	return o
}

func newRankedVM(vm *fleet.VM) rankedVM {
	return rankedVM{agent: vm.Role != fleet.RoleEntry, hash: xxhash.Sum64String(vm.ID), vm: vm}
}

func compareRanked(a, b rankedVM) int {
	if a.agent != b.agent {
		if b.agent {
			return -1
		}
		return 1
	}
	if byHash := cmp.Compare(a.hash, b.hash); byHash != 0 {
		return byHash
	}
	return cmp.Compare(a.vm.ID, b.vm.ID)
}

// Len returns the number of VMs.
func (o *Order) Len() int {
	return len(o.ranked)
}

// At returns the VM with the given rank, which the caller must not modify.
func (o *Order) At(rank int) *fleet.VM {
	return o.ranked[rank].vm
}

// Rank returns the number of VMs that precede vm, and whether vm itself is in
// the order.
func (o *Order) Rank(vm fleet.VM) (rank int, listed bool) {
	return slices.BinarySearchFunc(o.ranked, newRankedVM(&vm), compareRanked)
}

// ParentCandidates returns the ranks of the possible parents of the node with
// the given ID and rank, in order of preference. All are lower than rank.
func ParentCandidates(config Config, id string, rank int) []int {
	base := max(0, rank-config.Watchers) / config.Fanout
	var ranks []int
	add := func(candidate int) {
		if candidate >= 0 && candidate < rank && !slices.Contains(ranks, candidate) {
			ranks = append(ranks, candidate)
		}
	}
	add(base)
	add(base + 1)
	add(base - 1)
	seed := xxhash.Sum64String(id)
	for i := range uint64(extraCandidates) {
		if rank > 0 {
			add(int(mix64(seed+i) % uint64(rank)))
		}
	}
	return ranks
}

// extraCandidates is the number of pseudo-random candidates tried after the
// preferred ones.
const extraCandidates = 16

// NeedsFullCopy reports whether the node with the given rank, in an order of n
// nodes, may be a parent and so has to hold the whole configuration and the
// lists of all zones.
func NeedsFullCopy(config Config, rank, n int) bool {
	return rank < config.Watchers+config.StandbyWatchers || rank <= (n-config.Watchers)/config.Fanout+1
}

// mix64 is the finalizer of the SplitMix64 generator.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
