package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericrock/turmericrock/fleet"
)

// Order is the total order of the VMs of one zone: entries come before
// agents, and the hash of the ID decides among equals.
type Order struct {
	places []place
}

type place struct {
	agent bool
	hash  uint64
	vm    *fleet.VM
}

// NewOrder returns the order of the VMs of the list.
func NewOrder(list fleet.VMList) *Order {
	o := &Order{places: make([]place, 0, len(list.VMs))}
	for i := range list.VMs {
		o.places = append(o.places, placeOf(&list.VMs[i]))
	}
	slices.SortFunc(o.places, comparePlaces)
	return o
}

func placeOf(vm *fleet.VM) place {
	return place{agent: vm.Role != fleet.RoleEntry, hash: xxhash.Sum64String(vm.ID), vm: vm}
}

func comparePlaces(a, b place) int {
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
	return len(o.places)
}

// At returns the VM with the rank. It is not to be changed.
func (o *Order) At(rank int) *fleet.VM {
	return o.places[rank].vm
}

// Rank returns how many VMs come before vm, and whether vm is itself listed.
func (o *Order) Rank(vm fleet.VM) (rank int, listed bool) {
	return slices.BinarySearchFunc(o.places, placeOf(&vm), comparePlaces)
}

// Candidates returns the ranks of the parents that the node with the rank
// prefers, best first. Each is less than rank.
func Candidates(config Config, id string, rank int) []int {
	base := max(0, rank-config.Watchers) / config.Branch
	var out []int
	add := func(candidate int) {
		if candidate >= 0 && candidate < rank && !slices.Contains(out, candidate) {
			out = append(out, candidate)
		}
	}
	add(base)
	add(base + 1)
	add(base - 1)
	seed := xxhash.Sum64String(id)
	for i := range uint64(spareCandidates) {
		if rank > 0 {
			add(int(mix(seed+i) % uint64(rank)))
		}
	}
	return out
}

const spareCandidates = 16

// Full reports whether the node with the rank may be a parent, in an order
// of n nodes.
func Full(config Config, rank, n int) bool {
	return rank < config.Watchers+config.Spares || rank <= (n-config.Watchers)/config.Branch+1
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
