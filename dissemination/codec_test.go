package dissemination_test

import (
	"net/netip"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
)

func sampleMessages() []dissemination.Message {
	digest := make([]byte, 32)
	vm := fleet.VM{
		ID:      "host-1",
		Addr:    netip.MustParseAddrPort("10.0.0.1:7300"),
		Mesh:    netip.MustParseAddrPort("10.0.0.1:7400"),
		Zone:    "maes-1",
		Role:    fleet.RoleAgent,
		Service: fleet.ServiceID{Customer: "teifi", Name: "proofs"},
		State:   fleet.VMLeaving,
	}
	return []dissemination.Message{
		{Hello: &dissemination.Hello{Protocol: dissemination.Protocol, ID: "entry-1", Zone: "maes-1", FullCopy: true}},
		{State: &dissemination.State{
			Probe: 5, Echo: 4, Revision: 3, Digest: digest, Age: 120, Synced: true,
			Zones: []dissemination.ZoneState{{Zone: "maes-1", Version: 9, Age: 80, HeardAge: 0}},
		}},
		{Request: &dissemination.Request{
			Manifest: digest, Base: digest, Parts: [][]byte{digest},
			Lists: []dissemination.ListRequest{{Zone: "maes-1", Bases: []uint64{7, 8}}},
		}},
		{Response: &dissemination.Response{
			Manifest: &dissemination.ManifestUpdate{Base: digest, WithoutParts: []byte("{}"), Removed: []string{"0001-of-0064"}},
			Parts:    [][]byte{[]byte("part")},
			Lists:    []dissemination.ListUpdate{{Zone: "maes-1", Version: 9, Base: 8, Upserted: []fleet.VM{vm}, Removed: []string{"host-2"}}},
			Missing:  [][]byte{digest},
		}},
	}
}

func TestMessageRoundTrip(t *testing.T) {
	for _, message := range sampleMessages() {
		data, err := dissemination.Encode(message)
		must.NoError(t, err)
		decoded, err := dissemination.Decode(data)
		must.NoError(t, err)
		must.Eq(t, message, decoded)
	}
}

func TestInvalidMessagesAreRejectedWithCause(t *testing.T) {
	cases := map[string]dissemination.Message{
		"kind":     {},
		"protocol": {Hello: &dissemination.Hello{Protocol: 2, ID: "a", Zone: "maes-1"}},
		"id":       {Hello: &dissemination.Hello{Protocol: 1, Zone: "maes-1"}},
		"zone":     {State: &dissemination.State{Zones: []dissemination.ZoneState{{Zone: "Maes 1"}}}},
		"digest":   {State: &dissemination.State{Revision: 1, Digest: []byte{1}}},
		"vm":       {Response: &dissemination.Response{Lists: []dissemination.ListUpdate{{Zone: "maes-1", Upserted: []fleet.VM{{}}}}}},
	}
	for cause, message := range cases {
		data, err := dissemination.Encode(message)
		must.NoError(t, err)
		_, err = dissemination.Decode(data)
		var invalid *dissemination.MessageError
		must.True(t, errors.As(err, &invalid))
		must.Eq(t, cause, invalid.Cause)
	}
}

// FuzzDecode checks that a message that decodes can be encoded, and decodes to
// the same message again.
func FuzzDecode(f *testing.F) {
	for _, message := range sampleMessages() {
		data, err := dissemination.Encode(message)
		must.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := dissemination.Decode(data)
		if err != nil {
			return
		}
		again, err := dissemination.Encode(message)
		must.NoError(t, err)
		repeated, err := dissemination.Decode(again)
		must.NoError(t, err)
		must.Eq(t, message, repeated)
	})
}
