// Package flow defines the identity of an opaque datagram flow, the decoded
// packet header, and the frames that carry packets between processes. The
// payload protocol is known only to the two ends, so a flow is identified by
// the addresses and ports of its ends alone.
package flow

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is one end of a flow.
type Endpoint struct {
	Addr [4]byte
	Port uint16
}

// EndpointOf returns the endpoint of an IPv4 address and port. It panics if
// the address is neither IPv4 nor IPv4-mapped IPv6.
func EndpointOf(a netip.AddrPort) Endpoint {
	return Endpoint{Addr: a.Addr().Unmap().As4(), Port: a.Port()}
}

// AddrPort returns the endpoint as a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.Addr), e.Port)
}

// String implements fmt.Stringer.
func (e Endpoint) String() string {
	return e.AddrPort().String()
}

// Key identifies a flow.
type Key struct {
	// Requester is the end that opened the flow.
	Requester Endpoint
	// Destination is the virtual address and port of the service that the
	// requester sends to.
	Destination Endpoint
}

// String returns the key as it is written in logs: requester>destination.
func (k Key) String() string {
	return k.Requester.String() + ">" + k.Destination.String()
}

const keySize = 12

func (k Key) encode(b []byte) {
	copy(b, k.Requester.Addr[:])
	binary.LittleEndian.PutUint16(b[4:], k.Requester.Port)
	copy(b[6:], k.Destination.Addr[:])
	binary.LittleEndian.PutUint16(b[10:], k.Destination.Port)
}

func decodeKey(b []byte) Key {
	return Key{
		Requester:   Endpoint{Addr: [4]byte(b[:4]), Port: binary.LittleEndian.Uint16(b[4:])},
		Destination: Endpoint{Addr: [4]byte(b[6:10]), Port: binary.LittleEndian.Uint16(b[10:])},
	}
}

// Hash returns a hash of the key that is the same in every process.
func (k Key) Hash() uint64 {
	var b [keySize]byte
	k.encode(b[:])
	return xxhash.Sum64(b[:])
}

// Packet is the decoded header of a packet.
type Packet struct {
	Src, Dst           Endpoint
	Syn, Ack, Fin, Rst bool
	// Returned marks a packet that a host sent back because it does not hold
	// the flow or cannot accept it.
	Returned bool
	// Size is the length of the payload in bytes.
	Size int
	// OpeningAge is, for an opening, how long ago its requester sent the first copy
	// of it, at least.
	OpeningAge time.Duration
	// Seq is the sequence number of the sender's bytes; AckSeq acknowledges
	// the bytes that it has received.
	Seq, AckSeq uint32
}

// FromRequester returns the flow key of a packet sent by a requester.
func (p *Packet) FromRequester() Key { return Key{Requester: p.Src, Destination: p.Dst} }

// FromHost returns the flow key of a packet sent by a host.
func (p *Packet) FromHost() Key { return Key{Requester: p.Dst, Destination: p.Src} }

// Opening reports whether the packet requests a new flow.
func (p *Packet) Opening() bool { return p.Syn && !p.Ack }

// Codec decodes and encodes packet headers.
type Codec interface {
	// Decode reads the header into p. It reports false if data is not a
	// packet.
	Decode(data []byte, p *Packet) bool
	// ClearReturned clears the mark of a returned packet, so that data is as
	// its sender wrote it.
	ClearReturned(data []byte)
	// AppendReset appends to to a packet that resets a flow, and returns the
	// extended slice.
	AppendReset(to []byte, from, requester Endpoint, seq uint32) []byte
}
