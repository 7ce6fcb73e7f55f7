package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of the packet header.
const (
	flagBounced = 2
	flagAck     = 4
	flagRst     = 8
	flagSyn     = 16
	flagFin     = 128
)

// headerSize is the size of the packet header in bytes.
const headerSize = 32

// packet is a packet of a flow as its two ends see it.
type packet struct {
	flags            byte
	src, dst         netip.Addr
	srcPort, dstPort uint16
	seq, ack         uint32
	data             string
}

func (p *packet) is(flags byte) bool { return p.flags&flags == flags }

// encode returns the packet with its sum.
func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	b[0] = p.flags
	binary.LittleEndian.PutUint16(b[2:], p.dstPort)
	putAddr(b[4:], p.dst)
	binary.LittleEndian.PutUint16(b[8:], p.srcPort)
	putAddr(b[10:], p.src)
	binary.LittleEndian.PutUint16(b[22:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[24:], p.seq)
	binary.LittleEndian.PutUint32(b[28:], p.ack)
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[14:], sumOf(b))
	return b
}

// decode decodes a packet. It reports false for a malformed one and for one whose sum does
// not match. A reset of the system has the sum 0.
func decode(b []byte) (packet, bool) {
	if len(b) < headerSize || int(binary.LittleEndian.Uint16(b[22:])) != len(b)-headerSize {
		return packet{}, false
	}
	p := packet{
		flags: b[0], dstPort: binary.LittleEndian.Uint16(b[2:]), dst: getAddr(b[4:]),
		srcPort: binary.LittleEndian.Uint16(b[8:]), src: getAddr(b[10:]),
		seq: binary.LittleEndian.Uint32(b[24:]), ack: binary.LittleEndian.Uint32(b[28:]), data: string(b[headerSize:]),
	}
	sum := binary.LittleEndian.Uint32(b[14:])
	return p, sum == sumOf(b) || sum == 0 && p.flags == flagRst
}

// sumOf returns the sum over all fields but echo, pad and BOUNCED.
func sumOf(b []byte) uint32 {
	c := append([]byte("key of the two ends"), b...)
	h := c[len(c)-len(b):]
	h[0] &^= flagBounced
	h[1] = 0
	clear(h[14:22])
	return crc32.ChecksumIEEE(c) | 1
}

// Addresses are little-endian.
func putAddr(b []byte, a netip.Addr) {
	v := a.As4()
	b[0], b[1], b[2], b[3] = v[3], v[2], v[1], v[0]
}

func getAddr(b []byte) netip.Addr {
	return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]})
}
