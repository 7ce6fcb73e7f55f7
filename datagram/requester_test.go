package datagram_test

import (
	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/flow"
)

// requester is the end that opens a flow. Its packets go through one entry at
// a time.
type requester struct {
	c        *cluster
	endpoint flow.Endpoint
	// to is the address and port of the route.
	to    flow.Endpoint
	entry byte
}

func (c *cluster) requester(port uint16, via byte) *requester {
	return &requester{c: c, endpoint: flow.Endpoint{Addr: [4]byte{100, 64, 0, 1}, Port: port}, to: destination(), entry: via}
}

func destination() flow.Endpoint {
	return flow.Endpoint{Addr: [4]byte{198, 18, 0, 1}, Port: servicePort}
}

func (r *requester) key() flow.Key {
	return flow.Key{Requester: r.endpoint, Destination: r.to}
}

// send sends a packet through the current entry and returns the packets that
// the requester received in answer.
func (r *requester) send(flags byte, ackSeq uint32, size int) []flow.Packet {
	return r.sendFrom(1, flags, ackSeq, size)
}

// sendFrom sends a packet whose data begins at the given sequence number.
func (r *requester) sendFrom(seq uint32, flags byte, ackSeq uint32, size int) []flow.Packet {
	r.c.toRequester = nil
	entry := addr(r.entry)
	r.c.entries[entry].HandlePacket(r.c.now, packet(flags, r.endpoint, r.to, seq, ackSeq, size), &clusterOutput{r.c, entry})
	r.c.deliverAll()
	return r.c.toRequester
}

// open opens the flow and returns the address of its host.
func (r *requester) open() [4]byte {
	answers := r.send(syn, 0, 0)
	must.Len(r.c.t, 1, answers)
	must.True(r.c.t, answers[0].Syn && answers[0].Ack)
	r.send(ack, answers[0].Seq+1, 0)
	return r.c.holder(r.key())
}

// openFlows opens flows from consecutive ports through the first entry.
func (c *cluster) openFlows(first, count uint16) []*requester {
	var flows []*requester
	for port := first; port < first+count; port++ {
		r := c.requester(port, 1)
		r.open()
		flows = append(flows, r)
	}
	return flows
}

// requireServed sends a request and requires that it is answered without a
// reset.
func (r *requester) requireServed() {
	r.c.t.Helper()
	answers := r.send(ack, 777, 50)
	must.Len(r.c.t, 1, answers)
	must.False(r.c.t, answers[0].Rst)
}

// requireReset sends a request and requires that the flow is reset.
func (r *requester) requireReset() {
	r.c.t.Helper()
	answers := r.send(ack, 777, 50)
	must.Len(r.c.t, 1, answers)
	must.True(r.c.t, answers[0].Rst)
}

// holder returns the address of the host that holds the flow.
func (c *cluster) holder(key flow.Key) [4]byte {
	for a, h := range c.hosts {
		if _, held := h.initialSeqs[key]; held {
			return a
		}
	}
	c.t.Fatalf("no host holds %v", key)
	return [4]byte{}
}

// unheldPackets returns how many packets reached hosts that do not hold their
// flows.
func (c *cluster) unheldPackets() int {
	n := 0
	for _, h := range c.hosts {
		for _, s := range h.unheldPackets {
			n += s
		}
	}
	return n
}
