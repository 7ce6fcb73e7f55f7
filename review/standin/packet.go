//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// Flag bits of the packet header.
const (
	flagBounced = 2
	flagAck     = 4
	flagRst     = 8
	flagSyn     = 16
	flagFin     = 128
)

const (
	headSize = 32
	// sumKey is known to requesters and hosts only.
	sumKey = 0x6b51c3e7
)

// end is one end of a flow: an address, as a number, and a port.
type end struct {
	addr uint32
	port uint16
}

func (e end) String() string {
	return fmt.Sprintf("%d.%d.%d.%d:%d", byte(e.addr>>24), byte(e.addr>>16), byte(e.addr>>8), byte(e.addr), e.port)
}

// flowKey names a flow by the requester's end and the route's.
type flowKey struct{ requester, route end }

func (k flowKey) String() string { return k.requester.String() + ">" + k.route.String() }

// packet is a decoded packet of a requester, a host or the system.
type packet struct {
	flags    byte
	src, dst end
	sum      uint32
	seq, ack uint32
	data     []byte
}

// encode returns the packet with the sum of its sender.
func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	b[0] = p.flags
	binary.LittleEndian.PutUint16(b[2:], p.dst.port)
	binary.LittleEndian.PutUint32(b[4:], p.dst.addr)
	binary.LittleEndian.PutUint16(b[8:], p.src.port)
	binary.LittleEndian.PutUint32(b[10:], p.src.addr)
	binary.LittleEndian.PutUint16(b[22:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[24:], p.seq)
	binary.LittleEndian.PutUint32(b[28:], p.ack)
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[14:], sumOf(b))
	return b
}

// sumOf returns the keyed sum over all fields but echo, pad, BOUNCED and the sum itself.
func sumOf(b []byte) uint32 {
	c := append([]byte(nil), b...)
	c[0] &^= flagBounced
	c[1] = 0
	clear(c[14:22])
	sum := crc32.Update(sumKey, crc32.IEEETable, c)
	if sum == 0 {
		sum = 1
	}
	return sum
}

func decode(b []byte) (packet, bool) {
	if len(b) < headSize || int(binary.LittleEndian.Uint16(b[22:])) != len(b)-headSize {
		return packet{}, false
	}
	return packet{
		flags: b[0],
		dst:   end{binary.LittleEndian.Uint32(b[4:]), binary.LittleEndian.Uint16(b[2:])},
		src:   end{binary.LittleEndian.Uint32(b[10:]), binary.LittleEndian.Uint16(b[8:])},
		sum:   binary.LittleEndian.Uint32(b[14:]),
		seq:   binary.LittleEndian.Uint32(b[24:]), ack: binary.LittleEndian.Uint32(b[28:]),
		data: append([]byte(nil), b[headSize:]...),
	}, true
}
