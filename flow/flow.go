// Package flow describes opaque datagram flows: flows whose two ends speak a
// protocol of their own, so that they are named by addresses and ports alone.
// It holds the table of flows at their owner, the cache of owners at an entry
// and the frames that carry packets between processes.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is one end of a flow.
type Endpoint struct {
	Addr [4]byte
	Port uint16
}

// EndpointOf returns the endpoint of an IPv4 address and port.
func EndpointOf(a netip.AddrPort) Endpoint {
	return Endpoint{Addr: a.Addr().Unmap().As4(), Port: a.Port()}
}

// AddrPort returns the endpoint as an address.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.Addr), e.Port)
}

// String implements fmt.Stringer.
func (e Endpoint) String() string {
	return e.AddrPort().String()
}

// Key names a flow.
type Key struct {
	// Requester is the end that opened the flow.
	Requester Endpoint
	// Service is the address and port that the requester asked for.
	Service Endpoint
}

// String returns the key as it stands in logs.
func (k Key) String() string {
	return k.Requester.String() + ">" + k.Service.String()
}

const keySize = 12

func (k Key) encode(b []byte) {
	copy(b, k.Requester.Addr[:])
	binary.LittleEndian.PutUint16(b[4:], k.Requester.Port)
	copy(b[6:], k.Service.Addr[:])
	binary.LittleEndian.PutUint16(b[10:], k.Service.Port)
}

func decodeKey(b []byte) Key {
	return Key{
		Requester: Endpoint{Addr: [4]byte(b[:4]), Port: binary.LittleEndian.Uint16(b[4:])},
		Service:   Endpoint{Addr: [4]byte(b[6:10]), Port: binary.LittleEndian.Uint16(b[10:])},
	}
}

// Hash returns a hash that is the same in every process.
func (k Key) Hash() uint64 {
	var b [keySize]byte
	k.encode(b[:])
	return xxhash.Sum64(b[:])
}

// Packet is the decoded header of a packet.
type Packet struct {
	Src, Dst           Endpoint
	Syn, Ack, Fin, Rst bool
	// Returned marks a packet that a host gave back, since it does not hold
	// the flow or cannot accept it.
	Returned bool
	// Size is the length of the data, in bytes.
	Size int
	// Seq counts the sender's bytes, AckSeq the bytes that it has received.
	Seq, AckSeq uint32
}

// FromRequester returns the key of a packet that a requester sent.
func (p *Packet) FromRequester() Key { return Key{Requester: p.Src, Service: p.Dst} }

// FromHost returns the key of a packet that a host sent.
func (p *Packet) FromHost() Key { return Key{Requester: p.Dst, Service: p.Src} }

// Opening reports whether the packet asks for a new flow.
func (p *Packet) Opening() bool { return p.Syn && !p.Ack }

// Codec reads and writes the headers of packets.
type Codec interface {
	// Decode reads the header. It reports false for what is no packet.
	Decode(data []byte, p *Packet) bool
	// ClearReturned makes a returned packet what its sender wrote.
	ClearReturned(data []byte)
	// AppendReset appends a packet that resets a flow.
	AppendReset(to []byte, from, requester Endpoint, seq uint32) []byte
}
