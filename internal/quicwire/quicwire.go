// Package quicwire parses the version-independent fields of QUIC packets (RFC
// 8999) and the packet type of QUIC version 1 (RFC 9000).
package quicwire

import "encoding/binary"

// Form classifies a packet by how it can be routed to a host.
type Form uint8

// Packet forms.
const (
	// FormInvalid is a datagram that is not a valid QUIC packet.
	FormInvalid Form = iota
	// FormShort is a packet with a short header, whose connection ID was
	// issued by an agent.
	FormShort
	// FormInitial is a packet that may open a flow.
	FormInitial
	// FormLong is any other packet with a long header.
	FormLong
)

// MinInitialSize is the minimum size in bytes of a datagram that opens a flow
// (RFC 9000, section 14.1).
const MinInitialSize = 1200

const (
	longHeaderBit   = 0x80
	typeMask        = 0x30
	typeInitial     = 0x00
	longDCIDOffset  = 6
	maxConnIDLength = 20
)

// Packet holds the parsed fields of a datagram's first packet. DCID is a slice
// of the datagram. Version is 0 for a short header.
type Packet struct {
	Form    Form
	Version uint32
	DCID    []byte
}

// Parse parses the first packet of a datagram. connIDLength is the length in
// bytes of the connection IDs in short headers, which do not encode it. The
// result has FormInvalid if the datagram is too short or a connection ID too
// long.
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

// mayOpenFlow reports whether the datagram may open a flow. Packets of
// versions other than 1 count as opening one, because an agent has to respond
// to them with Version Negotiation.
func mayOpenFlow(version uint32, datagram []byte) bool {
	if version == 0 || len(datagram) < MinInitialSize {
		return false
	}
	return version != 1 || datagram[0]&typeMask == typeInitial
}
