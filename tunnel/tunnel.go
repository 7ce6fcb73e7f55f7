// Package tunnel implements the datagram format that carries callers' packets
// from entries to agents and between agents, and load reports and probes
// between agents and entries. Each datagram consists of a header, a payload
// and an authentication tag over both. AES-GCM serves as a MAC only, because
// the payload is QUIC and already encrypted.
//
// The package does no I/O. Payloads are not copied: the caller of Seal leaves
// HeaderSize bytes before the payload and TagSize bytes after it.
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

// Sizes of the parts of a datagram in bytes.
const (
	HeaderSize = 62
	TagSize    = 16
	// MaxPayload is the largest packet of a caller that is forwarded. Larger
	// packets are dropped, so that callers' path MTU discovery settles at or
	// below this size.
	MaxPayload = 1390
	// MaxDatagram is the largest datagram exchanged between processes.
	MaxDatagram = HeaderSize + MaxPayload + TagSize
)

const (
	protocolVersion = 1
	nonceSize       = 12
	keySize         = 16
)

// Kind is the type of a datagram.
type Kind uint8

// Kinds of datagrams.
const (
	// KindFlow carries a packet of an established flow to the agent that owns
	// it.
	KindFlow Kind = 1
	// KindNew carries a packet of a flow that has no owner yet.
	KindNew Kind = 2
	// KindRelayed is a KindNew datagram that the first-choice agent relayed to
	// the second choice. It is not relayed again.
	KindRelayed Kind = 3
	// KindReport carries a load report from an agent to an entry.
	KindReport Kind = 4
	// KindProbe requests a load report from an agent. It has no payload.
	KindProbe Kind = 5
)

// Header is the metadata that precedes the payload of a datagram.
type Header struct {
	Kind Kind
	// Service is the tag of the service, which is derived from its customer
	// and name.
	Service uint32
	// Incarnation identifies the run of the destination agent that the
	// datagram is meant for, or 0 for any.
	Incarnation uint16
	// Revision is the configuration revision in force at the sender.
	Revision uint64
	// Caller is the source address of the caller's packet. In KindReport and
	// KindProbe it is the address of the entry.
	Caller netip.AddrPort
	// Entry is the IPv4 address to which load reports are sent.
	Entry netip.AddrPort
	// Second is the IPv4 address of the second-choice agent of KindNew, or the
	// zero value if there is none. In KindReport it is the address of the
	// reporting agent.
	Second netip.AddrPort
	// SecondLoad is the last reported load of the second choice.
	SecondLoad Load
}

// Codec seals and opens datagrams under a set of keys. Seal is not safe for
// concurrent use; each goroutine that seals needs its own codec.
type Codec struct {
	active uint8
	aeads  [keyring.MaxGeneration + 1]cipher.AEAD
	nonce  [nonceSize]byte
}

// NewCodec returns a codec that seals with the active key and opens with any
// key of the set. Its nonces have a random prefix. It returns an error if a
// key cannot be derived or the system's random source fails.
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

// Seal writes the header and the authentication tag around the payload of size
// bytes that starts at buf[HeaderSize], and returns the datagram, which shares
// memory with buf. The capacity of buf must cover header, payload and tag.
func (c *Codec) Seal(buf []byte, size int, h *Header) []byte {
	h.marshal(buf)
	buf[1] = c.active<<4 | byte(h.Kind)
	c.nextNonce()
	copy(buf[HeaderSize-nonceSize:HeaderSize], c.nonce[:])
	authenticated := buf[:HeaderSize+size]
	return c.aeads[c.active].Seal(authenticated, c.nonce[:], nil, authenticated)
}

// Open authenticates the datagram and returns its header and its payload,
// which shares memory with the datagram. The error is a *DatagramError.
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
