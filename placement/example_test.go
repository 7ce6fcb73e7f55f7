package placement_test

import (
	"fmt"

	"github.com/turmericrock/turmericrock/placement"
)

// Each flow has a first and a second choice. When the first choice becomes
// unavailable, its flows move to their second choice and all other flows stay.
func Example() {
	hosts := []string{"a", "b", "c"}
	candidates := []placement.Candidate{{Seed: 11, Weight: 1}, {Seed: 22, Weight: 1}, {Seed: 33, Weight: 0.5}}
	first, second := placement.Choose(7, candidates)
	fmt.Println(hosts[first], hosts[second])
	candidates[first].Weight = 0
	next, _ := placement.Choose(7, candidates)
	fmt.Println(next == second)
	// Output:
	// a b
	// true
}
