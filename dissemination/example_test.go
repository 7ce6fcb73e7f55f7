package dissemination_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/platform"
	"github.com/turmericrock/turmericrock/revision"
)

// A Replica decides and its caller carries out the decisions. Here the caller
// answers the replica's reads from a map.
func Example() {
	self := fleet.VM{ID: "entry-1", Zone: "maes-1", Role: fleet.RoleEntry, Addr: netip.MustParseAddrPort("10.0.0.1:7300")}
	values := map[string][]byte{}
	values[platform.KeyVMs("maes-1")], _ = fleet.Encode(fleet.VMList{Zone: "maes-1", VMs: []fleet.VM{self}})
	values[platform.KeyManifest], _ = fleet.Encode(fleet.Manifest{
		Revision: 42,
		Zones:    []fleet.Zone{{Name: "maes-1", Region: "wales", Number: 1}},
	})

	config := dissemination.DefaultConfig()
	config.Self = self
	var holder revision.Holder
	replica := dissemination.New(config, &holder, dissemination.DefaultBuilder{}, rand.New(rand.NewPCG(1, 2)))
	now := time.Now()
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		replica.Step(now)
		for _, action := range replica.TakeActions() {
			if read, ok := action.(dissemination.Read); ok {
				value := platform.Value{Key: read.Key, Version: 1, Data: values[read.Key]}
				replica.Handle(now, dissemination.ReadDone{Key: read.Key, StartedAt: now, Value: value})
			}
		}
	}
	fmt.Println("revision", holder.Revision(), "watching", replica.Watching(now))
	// Output: revision 42 watching true
}
