package fleet_test

import (
	"fmt"
	"net/netip"

	"github.com/turmericrock/turmericrock/fleet"
)

// Two customers may use the same service name, but not the same address.
func Example() {
	zones := []fleet.Zone{{Name: "mid-1", Region: "midlands", Number: 1}}
	proofs := fleet.Service{
		ID:          fleet.ServiceID{Customer: "quillhaven", Name: "proofs"},
		Addr:        netip.MustParseAddrPort("192.0.2.11:443"),
		Slots:       5,
		Connections: 2000,
		Zones:       []string{"mid-1"},
	}
	other := proofs
	other.ID.Customer = "teifi"
	fmt.Println(fleet.Validate(zones, []fleet.Service{proofs, other}))
	other.Addr = netip.MustParseAddrPort("192.0.2.21:443")
	fmt.Println(fleet.Validate(zones, []fleet.Service{proofs, other}))
	// Output:
	// services quillhaven/proofs and teifi/proofs clash on address 192.0.2.11:443
	// <nil>
}
