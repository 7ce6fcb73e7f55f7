package connid

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/turmericrock/turmericrock/keyring"
)

func newCodec(t must.T, active uint8, generations ...uint8) *Codec {
	keys := keyring.Keys{Active: active}
	for _, generation := range generations {
		keys.Keys = append(keys.Keys, keyring.Key{Generation: generation, Secret: [32]byte{generation}})
	}
	must.NoError(t, keys.Validate())
	codec, err := NewCodec(&keys)
	must.NoError(t, err)
	return codec
}

func drawOwner(t *rapid.T) Owner {
	ip := netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip")))
	return Owner{
		Addr:        netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, "port")),
		Incarnation: rapid.Uint16().Draw(t, "incarnation"),
		Zone:        rapid.Byte().Draw(t, "zone"),
		Service:     rapid.Uint32().Draw(t, "service"),
	}
}

func TestDecodeAcceptsBothKeyGenerations(t *testing.T) {
	activeGen1, activeGen2 := newCodec(t, 1, 1, 2), newCodec(t, 2, 1, 2)
	withoutGen1 := newCodec(t, 2, 2, 3)
	rapid.Check(t, func(t *rapid.T) {
		owner := drawOwner(t)
		serial := rapid.Uint32().Draw(t, "serial")
		id := make([]byte, Size)
		must.NoError(t, activeGen1.Encode(id, owner, serial))
		for _, codec := range []*Codec{activeGen1, activeGen2} {
			decoded, ok := codec.Decode(id, owner.Service)
			must.True(t, ok)
			must.Eq(t, owner, decoded)
		}
		_, ok := activeGen1.Decode(id, owner.Service+1)
		must.False(t, ok)
		_, ok = withoutGen1.Decode(id, owner.Service)
		must.False(t, ok)
		_, ok = activeGen1.Decode(id[1:], owner.Service)
		must.False(t, ok)
	})
}

func TestDecodeRejectsAlteredIDs(t *testing.T) {
	codec := newCodec(t, 1, 1)
	rapid.Check(t, func(t *rapid.T) {
		owner := drawOwner(t)
		id := make([]byte, Size)
		must.NoError(t, codec.Encode(id, owner, 1))
		bit := rapid.IntRange(8, 8*Size-1).Draw(t, "bit")
		id[bit/8] ^= 1 << (bit % 8)
		_, ok := codec.Decode(id, owner.Service)
		must.False(t, ok)
	})
}

func TestIssuedIDsAreUnique(t *testing.T) {
	owner := Owner{Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	issuer, err := NewIssuer(newCodec(t, 1, 1), owner)
	must.NoError(t, err)
	seen := make(map[string]bool)
	for range 1000 {
		id, err := issuer.Next()
		must.NoError(t, err)
		must.False(t, seen[string(id)])
		seen[string(id)] = true
	}
}

func TestEncodeRejectsIPv6(t *testing.T) {
	err := newCodec(t, 1, 1).Encode(make([]byte, Size), Owner{Addr: netip.MustParseAddrPort("[::1]:1")}, 1)
	must.ErrorContains(t, err, "not IPv4")
}

func TestDecoderDoesNotAllocate(t *testing.T) {
	codec := newCodec(t, 1, 1)
	id := make([]byte, Size)
	must.NoError(t, codec.Encode(id, Owner{Addr: netip.MustParseAddrPort("127.0.0.1:1")}, 1))
	var decoder Decoder
	must.Zero(t, testing.AllocsPerRun(100, func() { decoder.Decode(codec, id, 0) }))
}

func FuzzDecode(f *testing.F) {
	codec := newCodec(f, 1, 1, 2)
	id := make([]byte, Size)
	must.NoError(f, codec.Encode(id, Owner{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Service: 7}, 1))
	f.Add(id, uint32(7))
	f.Add(id[1:], uint32(7))
	f.Add([]byte{}, uint32(0))
	f.Fuzz(func(t *testing.T, id []byte, service uint32) {
		owner, ok := codec.Decode(id, service)
		if !ok {
			must.Eq(t, Owner{}, owner)
			return
		}
		must.Len(t, Size, id)
		must.Eq(t, service, owner.Service)
		must.True(t, owner.Addr.Addr().Is4())
	})
}
