package flow

import (
	"encoding/binary"
	"slices"
)

// FrameSize is the size of a frame's header in bytes. A packet follows it in
// frames of the kinds Deliver, Find and Probe.
const FrameSize = 48

const frameMagic = 0x74

// maxAvoided is how many agents a frame names that could not take its packet.
const maxAvoided = 5

// BusyRefusing is the value of Busy by which an owner tells that its host refuses
// new flows.
const BusyRefusing = 1<<16 - 1

// avoidOffset is where the agents to avoid stand in a frame.
const avoidOffset = 28

// Kind tells what a frame asks for.
type Kind uint8

// The kinds of frames.
const (
	// Deliver brings a packet to the agent that owns its flow or is to take it.
	Deliver Kind = iota + 1
	// Lookup asks a keeper to bring a packet to the owner of its flow.
	Lookup
	// Probe asks every agent of a service for the owner of a packet's flow.
	Probe
	// Owned tells who owns a flow, and how loaded the owner is.
	Owned
	// Closed tells that a flow has ended at its owner.
	Closed
	// Load tells how loaded an agent is.
	Load
	// NotHeld answers a Probe: the agent's host does not hold the flow.
	NotHeld
	// AgentStarted tells that a keeper has started and knows no flows.
	AgentStarted
	// Ping asks an agent for its Load, as a sign of life.
	Ping
	// HostEnded tells that the host beside the agent has ended, with all its flows.
	HostEnded
)

// Frame is the header of a datagram between processes.
type Frame struct {
	Kind Kind
	// Hops counts the agents that have passed the packet on.
	Hops uint8
	// Service is the tag of the service that the packet is for.
	Service uint32
	// Config is the version of the configuration that chose the service.
	Config uint64
	// Origin is the entry that received the packet; answers go there.
	Origin Endpoint
	// Avoided holds agents that could not take the packet. Zero is no agent.
	Avoided [maxAvoided][4]byte
	// ReplyTo is the agent that a Probe is answered to.
	ReplyTo [4]byte
	// Key names the flow in Owned, Closed and Absent.
	Key Key
	// Established tells in Owned that the requester has confirmed the flow. Copies of an
	// opening may be accepted by several hosts, of which one is confirmed.
	Established bool
	// Owner is the agent that sends the frame; a Ping may come from an entry.
	Owner [4]byte
	// Flows counts the flows that the owner holds.
	Flows uint16
	// Busy counts the requests in service at the owner.
	Busy uint16
	// Failing is the share of the owner's requests that fail, in 255ths.
	Failing uint8
	// Started is the owner's start, so that a later process is told apart.
	Started uint32
}

// Append appends the frame's header.
func (f *Frame) Append(to []byte) []byte {
	var b [FrameSize]byte
	b[0], b[1], b[2] = frameMagic, byte(f.Kind), f.Hops
	switch f.Kind {
	case Deliver, Lookup, Probe:
		binary.LittleEndian.PutUint32(b[4:], f.Service)
		binary.LittleEndian.PutUint64(b[8:], f.Config)
		copy(b[16:], f.Origin.Addr[:])
		binary.LittleEndian.PutUint16(b[20:], f.Origin.Port)
		copy(b[24:], f.ReplyTo[:])
		for i := range f.Avoided {
			copy(b[avoidOffset+4*i:], f.Avoided[i][:])
		}
	case Owned, Closed, Load, NotHeld, AgentStarted, Ping, HostEnded:
		if f.Established {
			b[2] = 1
		}
		b[3] = f.Failing
		f.Key.encode(b[4:])
		copy(b[16:], f.Owner[:])
		binary.LittleEndian.PutUint16(b[20:], f.Flows)
		binary.LittleEndian.PutUint16(b[22:], f.Busy)
		binary.LittleEndian.PutUint32(b[24:], f.Service)
		binary.LittleEndian.PutUint32(b[28:], f.Started)
	}
	return append(to, b[:]...)
}

// Parse reads the frame's header and returns what follows it. It reports
// false for a datagram that is no frame.
func (f *Frame) Parse(data []byte) ([]byte, bool) {
	if len(data) < FrameSize || data[0] != frameMagic {
		return nil, false
	}
	*f = Frame{Kind: Kind(data[1])}
	switch f.Kind {
	case Deliver, Lookup, Probe:
		f.Hops = data[2]
		f.Service = binary.LittleEndian.Uint32(data[4:])
		f.Config = binary.LittleEndian.Uint64(data[8:])
		f.Origin = Endpoint{Addr: [4]byte(data[16:20]), Port: binary.LittleEndian.Uint16(data[20:])}
		f.ReplyTo = [4]byte(data[24:28])
		for i := range f.Avoided {
			f.Avoided[i] = [4]byte(data[avoidOffset+4*i:])
		}
	case Owned, Closed, Load, NotHeld, AgentStarted, Ping, HostEnded:
		f.Established = data[2] == 1
		f.Failing = data[3]
		f.Key = decodeKey(data[4:])
		f.Owner = [4]byte(data[16:20])
		f.Flows = binary.LittleEndian.Uint16(data[20:])
		f.Busy = binary.LittleEndian.Uint16(data[22:])
		f.Service = binary.LittleEndian.Uint32(data[24:])
		f.Started = binary.LittleEndian.Uint32(data[28:])
	default:
		return nil, false
	}
	return data[FrameSize:], true
}

// SentBy reports whether the frame may come from the address. What a frame tells
// of its sender counts only from the sender; packets of requesters are passed on
// by any process.
func (f *Frame) SentBy(from [4]byte) bool {
	switch f.Kind {
	case Deliver, Lookup, Probe:
		return true
	default:
		return f.Owner == from
	}
}

// Avoids reports whether the packet has been at the agent in vain.
func (f *Frame) Avoids(agent [4]byte) bool {
	return slices.Contains(f.Avoided[:], agent)
}

// AddAvoid notes an agent that could not take the packet. The oldest note is
// given up when there is no room.
func (f *Frame) AddAvoid(agent [4]byte) {
	if f.Avoids(agent) {
		return
	}
	copy(f.Avoided[1:], f.Avoided[:])
	f.Avoided[0] = agent
}
