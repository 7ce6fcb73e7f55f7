package dissemination_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
)

func TestParentCandidatesPrecedeNode(t *testing.T) {
	config := dissemination.DefaultConfig()
	rapid.Check(t, func(t *rapid.T) {
		rank := rapid.IntRange(0, 2000).Draw(t, "rank")
		candidates := dissemination.ParentCandidates(config, fmt.Sprint("vm-", rank), rank)
		for _, candidate := range candidates {
			must.Less(t, rank, candidate)
		}
		if rank >= config.Watchers {
			must.GreaterEq(t, config.Parents, len(candidates))
		}
	})
}

func TestParentCandidatesAreFullReplicas(t *testing.T) {
	config := dissemination.DefaultConfig()
	for _, n := range []int{1, 2, 10, 100, 847, 5000} {
		for rank := range n {
			for _, candidate := range dissemination.ParentCandidates(config, "vm", rank)[:min(2, rank)] {
				must.True(t, dissemination.NeedsFullCopy(config, candidate, n), must.Sprintf("rank %d of %d", candidate, n))
			}
		}
	}
}

func TestOrderPutsEntriesFirstAndIgnoresListOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := fleet.VMList{Zone: "maes-1"}
		for i := range 20 {
			role := rapid.SampledFrom([]fleet.Role{fleet.RoleEntry, fleet.RoleAgent}).Draw(t, "role")
			list.VMs = append(list.VMs, fleet.VM{ID: fmt.Sprint("vm-", i), Role: role})
		}
		shuffled := fleet.VMList{VMs: rapid.Permutation(list.VMs).Draw(t, "shuffled")}
		a, b := dissemination.NewOrder(list), dissemination.NewOrder(shuffled)
		for rank := range a.Len() {
			must.Eq(t, *a.At(rank), *b.At(rank))
			rankOf, listed := a.Rank(*a.At(rank))
			must.True(t, listed)
			must.Eq(t, rank, rankOf)
			if rank > 0 && a.At(rank).Role == fleet.RoleEntry {
				must.Eq(t, fleet.RoleEntry, a.At(rank-1).Role)
			}
		}
	})
}
