package flow_test

import (
	"fmt"

	"github.com/turmericrock/turmericrock/flow"
)

// A datagram between processes is a frame header followed by the packet that
// it carries.
func ExampleFrame() {
	f := flow.Frame{Kind: flow.Deliver, ServiceTag: 7, Origin: flow.Endpoint{Addr: [4]byte{10, 0, 0, 1}, Port: 7720}}
	datagram := append(f.Append(nil), "packet"...)

	var read flow.Frame
	packet, ok := read.Parse(datagram)
	fmt.Println(ok, read.Origin, string(packet))
	// Output: true 10.0.0.1:7720 packet
}
