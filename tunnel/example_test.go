package tunnel_test

import (
	"fmt"
	"net/netip"

	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

// The sender leaves room before and after the payload and seals the datagram
// in place; the receiver authenticates and opens it.
func Example() {
	keys := &keyring.Keys{Active: 1, Keys: []keyring.Key{{Generation: 1}}}
	sender, err := tunnel.NewCodec(keys)
	if err != nil {
		fmt.Println(err)
		return
	}
	receiver, err := tunnel.NewCodec(keys)
	if err != nil {
		fmt.Println(err)
		return
	}
	buf := make([]byte, tunnel.MaxDatagram)
	size := copy(buf[tunnel.HeaderSize:], "a packet")
	datagram := sender.Seal(buf, size, &tunnel.Header{
		Kind:    tunnel.KindFlow,
		Service: 42,
		Caller:  netip.MustParseAddrPort("192.0.2.1:5000"),
	})
	header, payload, err := receiver.Open(datagram)
	fmt.Println(header.Service, header.Caller, string(payload), err)
	datagram[20]++
	_, _, err = receiver.Open(datagram)
	fmt.Println(err)
	// Output:
	// 42 192.0.2.1:5000 a packet <nil>
	// tunnel datagram refused: forged
}
