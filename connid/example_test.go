package connid_test

import (
	"fmt"
	"net/netip"

	"github.com/turmericrock/turmericrock/connid"
	"github.com/turmericrock/turmericrock/keyring"
)

// An agent issues connection IDs that any process with the same keys can
// decode, but only for the service they were issued for.
func Example() {
	keys := &keyring.Keys{Active: 1, Keys: []keyring.Key{{Generation: 1}}}
	codec, err := connid.NewCodec(keys)
	if err != nil {
		fmt.Println(err)
		return
	}
	issuer, err := connid.NewIssuer(codec, connid.Owner{
		Addr:    netip.MustParseAddrPort("10.0.0.7:7300"),
		Zone:    2,
		Service: 42,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	id, err := issuer.Next()
	if err != nil {
		fmt.Println(err)
		return
	}
	var decoder connid.Decoder
	owner, ok := decoder.Decode(codec, id, 42)
	fmt.Println(owner.Addr, owner.Zone, ok)
	_, ok = decoder.Decode(codec, id, 43)
	fmt.Println(ok)
	// Output:
	// 10.0.0.7:7300 2 true
	// false
}
