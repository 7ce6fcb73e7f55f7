package fleet_test

import (
	"net/netip"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/turmericrock/turmericrock/fleet"
)

func newService(customer, name, addr string) fleet.Service {
	return fleet.Service{
		ID:          fleet.ServiceID{Customer: customer, Name: name},
		Addr:        netip.MustParseAddrPort(addr),
		Slots:       5,
		Connections: 100,
		Zones:       []string{"mid-1"},
	}
}

var oneZone = []fleet.Zone{{Name: "mid-1", Region: "midlands", Number: 1}}

func TestParseServiceID(t *testing.T) {
	id, err := fleet.ParseServiceID("teifi/proofs")
	must.NoError(t, err)
	must.Eq(t, "teifi/proofs", id.String())
	for _, invalid := range []string{"", "proofs", "/proofs", "teifi/", "Teifi/proofs", "teifi/a/b", "teifi/-a"} {
		_, err := fleet.ParseServiceID(invalid)
		var nameErr *fleet.NameError
		must.True(t, errors.As(err, &nameErr), must.Sprint(invalid))
	}
}

func TestAssembleIsAllOrNothing(t *testing.T) {
	first, err := fleet.Encode(fleet.Part{Services: []fleet.Service{newService("a", "x", "192.0.2.1:443")}})
	must.NoError(t, err)
	second, err := fleet.Encode(fleet.Part{Services: []fleet.Service{newService("b", "x", "192.0.2.2:443")}})
	must.NoError(t, err)
	manifest := fleet.Manifest{Revision: 1, Zones: oneZone, Parts: []fleet.PartRef{
		{Name: "one", Digest: fleet.Digest(first)},
		{Name: "two", Digest: fleet.Digest(second)},
	}}
	parts := map[string][]byte{fleet.Digest(first): first, fleet.Digest(second): second}
	config, err := fleet.Assemble(manifest, parts, false)
	must.NoError(t, err)
	must.Len(t, 2, config.Services())

	var partErr *fleet.PartError
	delete(parts, fleet.Digest(second))
	_, err = fleet.Assemble(manifest, parts, false)
	must.True(t, errors.As(err, &partErr))
	config, err = fleet.Assemble(manifest, parts, true)
	must.NoError(t, err)
	must.Len(t, 1, config.Services())

	parts[fleet.Digest(second)] = first
	_, err = fleet.Assemble(manifest, parts, true)
	must.True(t, errors.As(err, &partErr))
}

func TestPartNameDependsOnlyOnServiceID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := fleet.ServiceID{
			Customer: rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "customer"),
			Name:     rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "name"),
		}
		count := rapid.SampledFrom([]int{1, 64, 128, 4096}).Draw(t, "count")
		name := fleet.PartName(id, count)
		manifest := fleet.Manifest{Parts: []fleet.PartRef{{Name: name}}}
		ref, found := manifest.PartFor(id)
		must.True(t, found)
		must.Eq(t, name, ref.Name)
		_, found = fleet.Manifest{Parts: []fleet.PartRef{{Name: "all"}}}.PartFor(id)
		must.False(t, found)
	})
}
