package revision_test

import (
	"fmt"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/revision"
)

// The highest revision takes effect, regardless of the order in which revisions
// are offered.
func Example() {
	now := time.Now()
	zones := []fleet.Zone{{Name: "maes-1", Region: "wales", Number: 1}}
	var holder revision.Holder
	for _, number := range []uint64{2, 1, 3} {
		config, _ := fleet.Assemble(fleet.Manifest{Revision: number, Zones: zones}, nil, false)
		fmt.Println(number, holder.Offer(config, now))
	}
	// Output:
	// 2 accepted
	// 1 stale
	// 3 accepted
}
