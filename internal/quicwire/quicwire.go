// Package quicwire reads the version-independent fields of QUIC packets
// (RFC 8999) and the packet type of version 1 (RFC 9000).
package quicwire

import "encoding/binary"

// Form tells how a packet may be placed.
type Form uint8

// Forms of packets.
const (
	// FormInvalid is no QUIC packet that is served.
	FormInvalid Form = iota
	// FormShort has a connection ID issued by an agent.
	FormShort
	// FormInitial may open a flow.
	FormInitial
	// FormLong is any other packet with a long header.
	FormLong
)

// MinInitialSize is the least size of a datagram that opens a flow (RFC 9000,
// section 14.1), in bytes.
const MinInitialSize = 1200

const (
	longHeaderBit   = 0x80
	typeMask        = 0x30
	typeInitial     = 0x00
	longDCIDOffset  = 6
	maxConnIDLength = 20
)

// Packet is the parsed start of a datagram. DCID shares its memory.
type Packet struct {
	Form    Form
	Version uint32
	DCID    []byte
}

// Parse reads the first packet of a datagram. shortSize is the length of the
// connection IDs in short headers.
func Parse(datagram []byte, connIDLength int) Packet {
	if len(datagram) == 0 {
		return Packet{}
	}
	if datagram[0]&longHeaderBit == 0 {
		return parseShort(datagram, connIDLength)
	}
	return parseLong(datagram)
}

func parseShort(datagram []byte, connIDLength int) Packet {
	if len(datagram) <= connIDLength {
		return Packet{}
	}
	return Packet{Form: FormShort, DCID: datagram[1 : 1+connIDLength]}
}

func parseLong(datagram []byte) Packet {
	if len(datagram) < longDCIDOffset {
		return Packet{}
	}
	length := int(datagram[longDCIDOffset-1])
	end := longDCIDOffset + length
	if length > maxConnIDLength || len(datagram) <= end {
		return Packet{}
	}
	packet := Packet{
		Form:    FormLong,
		Version: binary.BigEndian.Uint32(datagram[1:5]),
		DCID:    datagram[longDCIDOffset:end],
	}
	if mayOpenFlow(packet.Version, datagram) {
		packet.Form = FormInitial
	}
	return packet
}

// mayOpenFlow reports whether the datagram may open a flow. Versions other than
// 1 are passed to an agent, which answers with Version Negotiation.
func mayOpenFlow(version uint32, datagram []byte) bool {
	if version == 0 || len(datagram) < MinInitialSize {
		return false
	}
	return version != 1 || datagram[0]&typeMask == typeInitial
}
