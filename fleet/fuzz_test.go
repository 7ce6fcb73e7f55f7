package fleet_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/fleet"
)

// FuzzAssemble checks that an accepted configuration is valid, finds each of
// its services by address and has the same digest when it is assembled again,
// and that other input yields an error and no panic.
func FuzzAssemble(f *testing.F) {
	part, err := fleet.Encode(fleet.Part{Services: []fleet.Service{newService("a", "x", "192.0.2.1:443")}})
	must.NoError(f, err)
	manifest, err := fleet.Encode(fleet.Manifest{
		Revision: 1,
		Zones:    oneZone,
		Parts:    []fleet.PartRef{{Name: "one", Digest: fleet.Digest(part), Size: len(part)}},
	})
	must.NoError(f, err)
	f.Add(manifest, part)
	f.Add([]byte(`{"revision":1,"zones":[{"name":"a","region":"a","number":256}]}`), []byte(`{}`))
	f.Add([]byte(`{"zones":[{"name":"a","region":"a","number":1},{"name":"a","region":"a","number":2}]}`), []byte(`{"services":[{}]}`))
	f.Add([]byte(`{"parts":[{"digest":""}]}`), []byte(`null`))
	f.Fuzz(func(t *testing.T, manifest, part []byte) {
		decoded, err := fleet.DecodeManifest(manifest)
		if err != nil {
			return
		}
		// Make every reference match the part, so that the digest check passes.
		for i := range decoded.Parts {
			decoded.Parts[i].Digest = fleet.Digest(part)
		}
		config, err := fleet.Assemble(decoded, map[string][]byte{fleet.Digest(part): part}, false)
		if err != nil {
			return
		}
		must.NoError(t, fleet.Validate(decoded.Zones, config.Services()))
		for _, s := range config.Services() {
			at, found := config.ServiceAt(s.Addr)
			must.True(t, found)
			must.Eq(t, s.ID, at.ID)
		}
		again, err := fleet.Assemble(decoded, map[string][]byte{fleet.Digest(part): part}, false)
		must.NoError(t, err)
		must.Eq(t, config.Digest, again.Digest)
	})
}

// FuzzDecodeVMList checks that encoding and decoding a list again does not
// change it.
func FuzzDecodeVMList(f *testing.F) {
	f.Add([]byte(`{"zone":"mid-1","version":3,"vms":[{"id":"a","addr":"10.0.0.1:7400","mesh":"10.0.0.1:7401","role":"agent","state":"live","service":{"customer":"a","name":"x"}}]}`))
	f.Add([]byte(`{"vms":[{"addr":"x"}]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := fleet.DecodeVMList(data)
		if err != nil {
			return
		}
		first, err := json.Marshal(list)
		must.NoError(t, err)
		again, err := fleet.DecodeVMList(first)
		must.NoError(t, err)
		second, err := json.Marshal(again)
		must.NoError(t, err)
		must.Eq(t, string(first), string(second))
	})
}
