// Package tunnel carries callers' packets from an entry to an agent, from one
// agent to another, and load reports back. Each datagram is a header, a
// payload and an authentication tag over both (AES-GCM used as a MAC: the
// payload is QUIC and already encrypted).
//
// The package does no I/O. The payload stays where it was received: callers
// leave HeaderSize bytes before it and TagSize bytes after it.
package tunnel

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/keyring"
)

// Sizes in bytes.
const (
	HeaderSize = 62
	TagSize    = 16
	// MaxPayload is the largest packet of a caller that is carried. Larger
	// ones are dropped, so that a caller's path MTU discovery stays below it.
	MaxPayload = 1390
	// MaxDatagram is the largest datagram between processes.
	MaxDatagram = HeaderSize + MaxPayload + TagSize
)

const (
	protocolVersion = 1
	nonceSize       = 12
	keySize         = 16
)

// Kind tells what a datagram carries.
type Kind uint8

// Kinds of datagrams.
const (
	// KindFlow carries a packet of an established flow to its owner.
	KindFlow Kind = 1
	// KindNew carries a packet of a flow that has no owner yet.
	KindNew Kind = 2
	// KindRelayed is KindNew passed on by the first choice. It is not passed
	// on again.
	KindRelayed Kind = 3
	// KindReport carries a load report from an agent to an entry.
	KindReport Kind = 4
	// KindProbe asks an agent for a load report. It has no payload.
	KindProbe Kind = 5
)

// Header precedes the payload.
type Header struct {
	Kind Kind
	// Service is the tag of the qualified service.
	Service uint32
	// Incarnation is the incarnation of the destination agent, 0 for any.
	Incarnation uint16
	// Revision is the sender's configuration revision in force.
	Revision uint64
	// Caller is the source address of the caller's packet.
	Caller netip.AddrPort
	// Entry is the IPv4 address to which load reports go.
	Entry netip.AddrPort
	// Second is the IPv4 address of the second choice of KindNew, or invalid.
	// In KindReport it is the address of the agent that reports.
	Second netip.AddrPort
	// SecondLoad is the load of the second choice as last reported.
	SecondLoad Load
}

// Codec seals and opens datagrams under a set of keys. Sealing is not safe
// for concurrent use: each goroutine has its own codec.
type Codec struct {
	active uint8
	aeads  [keyring.MaxGeneration + 1]cipher.AEAD
	nonce  [nonceSize]byte
}

// NewCodec returns a codec for the keys with a random nonce prefix.
func NewCodec(keys *keyring.Keys) (*Codec, error) {
	codec := &Codec{active: keys.Active}
	for _, key := range keys.Keys {
		secret, err := key.Derive("tunnel", keySize)
		if err != nil {
			return nil, err
		}
		block, err := aes.NewCipher(secret)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		codec.aeads[key.Generation] = aead
	}
	if _, err := rand.Read(codec.nonce[:]); err != nil {
		return nil, errors.WithStack(err)
	}
	return codec, nil
}

// Seal completes the datagram in buf, whose payload of size bytes starts at
// HeaderSize, and returns it. buf needs room for header, payload and tag.
func (c *Codec) Seal(buf []byte, size int, h *Header) []byte {
	h.marshal(buf)
	buf[1] = c.active<<4 | byte(h.Kind)
	c.nextNonce()
	copy(buf[HeaderSize-nonceSize:HeaderSize], c.nonce[:])
	authenticated := buf[:HeaderSize+size]
	return c.aeads[c.active].Seal(authenticated, c.nonce[:], nil, authenticated)
}

// Open authenticates the datagram and returns its header and its payload,
// which shares memory with it. The error is a *DatagramError.
func (c *Codec) Open(datagram []byte) (Header, []byte, error) {
	if len(datagram) < HeaderSize+TagSize {
		return Header{}, nil, errTooShort
	}
	generation := datagram[1] >> 4
	if datagram[0] != protocolVersion || generation > keyring.MaxGeneration {
		return Header{}, nil, errUnsupportedVersion
	}
	aead := c.aeads[generation]
	if aead == nil {
		return Header{}, nil, errUnknownKey
	}
	authenticated := datagram[:len(datagram)-TagSize]
	tag := datagram[len(datagram)-TagSize:]
	nonce := datagram[HeaderSize-nonceSize : HeaderSize]
	if _, err := aead.Open(nil, nonce, tag, authenticated); err != nil {
		return Header{}, nil, errForged
	}
	return parseHeader(authenticated), authenticated[HeaderSize:], nil
}

func (c *Codec) nextNonce() {
	counter := c.nonce[nonceSize-8:]
	binary.BigEndian.PutUint64(counter, binary.BigEndian.Uint64(counter)+1)
}

func (h *Header) marshal(buf []byte) {
	buf[0] = protocolVersion
	binary.BigEndian.PutUint16(buf[2:4], h.Incarnation)
	binary.BigEndian.PutUint32(buf[4:8], h.Service)
	binary.BigEndian.PutUint64(buf[8:16], h.Revision)
	caller := h.Caller.Addr().As16()
	copy(buf[16:32], caller[:])
	binary.BigEndian.PutUint16(buf[32:34], h.Caller.Port())
	putIPv4AddrPort(buf[34:40], h.Entry)
	putIPv4AddrPort(buf[40:46], h.Second)
	binary.BigEndian.PutUint32(buf[46:50], uint32(h.SecondLoad))
}

func parseHeader(buf []byte) Header {
	caller := netip.AddrFrom16([16]byte(buf[16:32])).Unmap()
	return Header{
		Kind:        Kind(buf[1] & 0x0f),
		Incarnation: binary.BigEndian.Uint16(buf[2:4]),
		Service:     binary.BigEndian.Uint32(buf[4:8]),
		Revision:    binary.BigEndian.Uint64(buf[8:16]),
		Caller:      netip.AddrPortFrom(caller, binary.BigEndian.Uint16(buf[32:34])),
		Entry:       parseIPv4AddrPort(buf[34:40]),
		Second:      parseIPv4AddrPort(buf[40:46]),
		SecondLoad:  Load(binary.BigEndian.Uint32(buf[46:50])),
	}
}

func putIPv4AddrPort(buf []byte, addr netip.AddrPort) {
	if !addr.Addr().Is4() {
		clear(buf[:6])
		return
	}
	ip := addr.Addr().As4()
	copy(buf[:4], ip[:])
	binary.BigEndian.PutUint16(buf[4:6], addr.Port())
}

func parseIPv4AddrPort(buf []byte) netip.AddrPort {
	port := binary.BigEndian.Uint16(buf[4:6])
	if port == 0 {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(buf[:4])), port)
}
