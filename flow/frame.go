package flow

import (
	"encoding/binary"
	"slices"
)

// FrameSize is the size of a frame header in bytes. In frames of the kinds
// Deliver, Lookup and Probe a packet follows it.
const FrameSize = 48

const frameMagic = 0x74

// maxAvoided is how many agents that could not take the packet a frame can
// list.
const maxAvoided = 5

// BusyRefusing is the value of Frame.Busy with which an agent reports that its
// host refuses new flows.
const BusyRefusing = 1<<16 - 1

// AdmitsAll is the value of Frame.AdmitPriority with which an agent reports that its
// host refuses no new flow for its priority.
const AdmitsAll = 1<<8 - 1

// avoidOffset is the offset of the list of agents to avoid, in bytes.
const avoidOffset = 28

// Kind is the type of a frame.
type Kind uint8

// The kinds of frames.
const (
	// Deliver carries a packet to the agent that owns its flow or is to accept
	// it.
	Deliver Kind = iota + 1
	// Lookup asks a keeper, an agent that records the owner of the flow, to
	// forward a packet to that owner.
	Lookup
	// Probe asks an agent whether its host holds the flow of the packet that
	// follows. It is sent to all agents whose hosts may hold the flow, or only to
	// its recorded owner if that owner's host is no longer listed. The agent
	// answers to ReplyTo with Owned or NotHeld.
	Probe
	// Owned reports that the sender owns a flow (its host holds the flow), and the
	// sender's load.
	Owned
	// Closed reports that a flow has ended at its owner.
	Closed
	// Load reports an agent's load.
	Load
	// NotHeld answers a Probe: the agent's host does not hold the flow.
	NotHeld
	// AgentStarted reports that an agent has started and, as a keeper, has no
	// records.
	AgentStarted
	// Ping asks an agent for a Load frame, as a liveness check.
	Ping
	// HostEnded reports that the host of the agent has ended, and all its
	// flows with it.
	HostEnded
	// Unlisted reports that the host of the agent runs although it is not listed
	// in the catalog.
	Unlisted
	// Query asks an agent whether its host may hold a flow, without a packet of the
	// flow. The agent answers NotHeld or MayHold.
	Query
	// MayHold answers a Query: the agent needs a packet of the flow, in a Probe, to
	// find out whether its host holds it.
	MayHold
	// UnlistedQuery asks an agent that reads the store for others which agents have
	// announced to it that their hosts are not listed.
	UnlistedQuery
	// UnlistedReport answers an UnlistedQuery. The agents follow the header, see
	// AppendUnlisted.
	UnlistedReport
	// QueryMany is a Query for several flows. Their keys follow the header, see
	// AppendKeys. It is sent only to agents that have set AcceptsBatches.
	QueryMany
	// NotHeldMany is a NotHeld for several flows, whose keys follow the header. It
	// answers a QueryMany.
	NotHeldMany
	// Missing is sent by earlier builds for a flow that their searches have missed. It is
	// ignored.
	Missing
	// Tried tells a keeper of a flow at which hosts packets of it were tried. The trials
	// follow the header, see AppendTrials.
	Tried
)

// Frame is the header of a datagram between processes. Which fields are sent
// depends on Kind; see Append.
type Frame struct {
	Kind Kind
	// Hops is the number of agents that have forwarded the packet.
	Hops uint8
	// ServiceTag is the tag (see catalog.Tag) of the service that the packet is
	// for or, in reports, of the sender's service.
	ServiceTag uint32
	// ConfigVersion is the configuration version by which the service was chosen or, in
	// reports of agents, that of the sender. It is 0 if nothing is said of it, as in reports of
	// earlier builds.
	ConfigVersion uint64
	// Origin is the entry that received the packet from the requester. Answers
	// are sent to it.
	Origin Endpoint
	// OriginZone is the tag (see catalog.ZoneTag) of that entry's availability zone,
	// or 0 if it is not known.
	OriginZone uint16
	// Avoided lists agents that could not take the packet, most recent first.
	// A zero address is an unused slot.
	Avoided [maxAvoided][4]byte
	// ReplyTo is the agent that receives the answers to a Probe.
	ReplyTo [4]byte
	// Key is the flow that Owned, Closed, NotHeld, MayHold, Missing and Tried refer to.
	Key Key
	// Established reports in Owned that the requester has confirmed the flow at
	// this owner. Several hosts may accept duplicates of an opening, the packet
	// that requests a new flow, but the requester confirms only one of them.
	// In MayHold it reports that the sender owns the flow.
	Established bool
	// Sender is the sender of a report: an agent, which need not own a flow, or,
	// for a Ping, possibly an entry.
	Sender [4]byte
	// Flows is the number of open flows of the sender's host.
	Flows uint16
	// Busy is the number of unanswered requests at the sender's host, in service
	// or queued, or BusyRefusing.
	Busy uint16
	// FailureShare is the share of requests that the sender's host fails, in units
	// of 1/255.
	FailureShare uint8
	// StartedAt is the start time of the sender's process in Unix seconds. It
	// distinguishes successive processes at one address.
	StartedAt uint32
	// ListeningMS is, in an UnlistedReport, how long its sender has been listening for
	// announcements, in milliseconds.
	ListeningMS uint32
	// TrialAgeMS is, in a NotHeld or MayHold, the time in milliseconds since a packet of the
	// flow was last tried at the sender's host, and TrialPackets the number of packets that
	// were. They are 0 if none was or the sender runs an earlier build.
	TrialAgeMS   uint16
	TrialPackets uint8
	// AdmitPriority is the lowest priority that the sender's host admits, plus one, or
	// AdmitsAll. It is 0 if nothing is said of it, as in frames of earlier builds.
	AdmitPriority uint8
	// ServiceMillis is the mean service time of a request at the sender's host, in
	// milliseconds, or 0 if it is not known.
	ServiceMillis uint16
	// AcceptsBatches reports that the sender knows QueryMany and NotHeldMany. It is not
	// set in frames of earlier builds, which drop these kinds.
	AcceptsBatches bool
}

// Append appends the encoded header to to and returns the extended slice.
func (f *Frame) Append(to []byte) []byte {
	var b [FrameSize]byte
	b[0], b[1], b[2] = frameMagic, byte(f.Kind), f.Hops
	switch f.Kind {
	case Deliver, Lookup, Probe:
		binary.LittleEndian.PutUint32(b[4:], f.ServiceTag)
		binary.LittleEndian.PutUint64(b[8:], f.ConfigVersion)
		copy(b[16:], f.Origin.Addr[:])
		binary.LittleEndian.PutUint16(b[20:], f.Origin.Port)
		binary.LittleEndian.PutUint16(b[22:], f.OriginZone)
		copy(b[24:], f.ReplyTo[:])
		for i := range f.Avoided {
			copy(b[avoidOffset+4*i:], f.Avoided[i][:])
		}
	case Owned, Closed, Load, NotHeld, AgentStarted, Ping, HostEnded, Unlisted, Query, MayHold, UnlistedQuery, UnlistedReport,
		QueryMany, NotHeldMany, Missing, Tried:
		if f.Established {
			b[2] = 1
		}
		b[3] = f.FailureShare
		f.Key.encode(b[4:])
		copy(b[16:], f.Sender[:])
		binary.LittleEndian.PutUint16(b[20:], f.Flows)
		binary.LittleEndian.PutUint16(b[22:], f.Busy)
		binary.LittleEndian.PutUint32(b[24:], f.ServiceTag)
		binary.LittleEndian.PutUint32(b[28:], f.StartedAt)
		binary.LittleEndian.PutUint32(b[32:], f.ListeningMS)
		if f.Kind == NotHeld || f.Kind == MayHold {
			binary.LittleEndian.PutUint16(b[32:], f.TrialAgeMS)
			b[34], b[35] = f.TrialPackets, 0
		}
		b[36] = f.AdmitPriority
		if f.AcceptsBatches {
			b[37] = 1
		}
		binary.LittleEndian.PutUint16(b[38:], f.ServiceMillis)
		binary.LittleEndian.PutUint64(b[40:], f.ConfigVersion)
	}
	return append(to, b[:]...)
}

// Parse decodes the header from data and returns the bytes that follow it. It
// reports false if data is not a frame.
func (f *Frame) Parse(data []byte) ([]byte, bool) {
	if len(data) < FrameSize || data[0] != frameMagic {
		return nil, false
	}
	*f = Frame{Kind: Kind(data[1])}
	switch f.Kind {
	case Deliver, Lookup, Probe:
		f.Hops = data[2]
		f.ServiceTag = binary.LittleEndian.Uint32(data[4:])
		f.ConfigVersion = binary.LittleEndian.Uint64(data[8:])
		f.Origin = Endpoint{Addr: [4]byte(data[16:20]), Port: binary.LittleEndian.Uint16(data[20:])}
		f.OriginZone = binary.LittleEndian.Uint16(data[22:])
		f.ReplyTo = [4]byte(data[24:28])
		for i := range f.Avoided {
			f.Avoided[i] = [4]byte(data[avoidOffset+4*i:])
		}
	case Owned, Closed, Load, NotHeld, AgentStarted, Ping, HostEnded, Unlisted, Query, MayHold, UnlistedQuery, UnlistedReport,
		QueryMany, NotHeldMany, Missing, Tried:
		f.Established = data[2] == 1
		f.FailureShare = data[3]
		f.Key = decodeKey(data[4:])
		f.Sender = [4]byte(data[16:20])
		f.Flows = binary.LittleEndian.Uint16(data[20:])
		f.Busy = binary.LittleEndian.Uint16(data[22:])
		f.ServiceTag = binary.LittleEndian.Uint32(data[24:])
		f.StartedAt = binary.LittleEndian.Uint32(data[28:])
		if f.Kind == NotHeld || f.Kind == MayHold {
			f.TrialAgeMS, f.TrialPackets = binary.LittleEndian.Uint16(data[32:]), data[34]
		} else {
			f.ListeningMS = binary.LittleEndian.Uint32(data[32:])
		}
		f.AdmitPriority = data[36]
		f.AcceptsBatches = data[37]&1 != 0
		f.ServiceMillis = binary.LittleEndian.Uint16(data[38:])
		f.ConfigVersion = binary.LittleEndian.Uint64(data[40:])
	default:
		return nil, false
	}
	return data[FrameSize:], true
}

// SentBy reports whether the frame is acceptable from the source address. A
// frame that reports on its sender is accepted only from that sender's
// address; frames that carry packets of requesters may be forwarded by any
// process.
func (f *Frame) SentBy(from [4]byte) bool {
	switch f.Kind {
	case Deliver, Lookup, Probe:
		return true
	default:
		return f.Sender == from
	}
}

// Avoids reports whether the agent is listed as unable to take the packet.
func (f *Frame) Avoids(agent [4]byte) bool {
	return slices.Contains(f.Avoided[:], agent)
}

// AddAvoid lists an agent that could not take the packet. If the list is full,
// the oldest entry is dropped.
func (f *Frame) AddAvoid(agent [4]byte) {
	if f.Avoids(agent) {
		return
	}
	copy(f.Avoided[1:], f.Avoided[:])
	f.Avoided[0] = agent
}

// MaxKeys is how many flows a QueryMany or NotHeldMany can name.
const MaxKeys = 100

// AppendKeys appends the flows of a QueryMany or NotHeldMany, at most MaxKeys, to to and
// returns the extended slice.
func AppendKeys(to []byte, keys []Key) []byte {
	var b [keySize]byte
	for _, k := range keys {
		k.encode(b[:])
		to = append(to, b[:]...)
	}
	return to
}

// ParseKeys decodes the flows of a QueryMany or NotHeldMany. It reports false if data is not
// such a list.
func ParseKeys(data []byte) ([]Key, bool) {
	if len(data) == 0 || len(data)%keySize != 0 || len(data) > MaxKeys*keySize {
		return nil, false
	}
	keys := make([]Key, 0, len(data)/keySize)
	for ; len(data) > 0; data = data[keySize:] {
		keys = append(keys, decodeKey(data))
	}
	return keys, true
}

// MaxUnlisted is how many agents an UnlistedReport can name.
const MaxUnlisted = 100

// unlistedSize is the size in bytes of an agent in an UnlistedReport.
const unlistedSize = 8

// UnlistedAgent is an agent whose host runs although it is not listed.
type UnlistedAgent struct {
	Agent      [4]byte
	ServiceTag uint32
}

// AppendUnlisted appends the agents of an UnlistedReport, at most MaxUnlisted, to to and
// returns the extended slice.
func AppendUnlisted(to []byte, agents []UnlistedAgent) []byte {
	for _, u := range agents {
		to = append(to, u.Agent[:]...)
		to = binary.LittleEndian.AppendUint32(to, u.ServiceTag)
	}
	return to
}

// ParseUnlisted decodes the agents of an UnlistedReport. It reports false if data is not
// such a list.
func ParseUnlisted(data []byte) ([]UnlistedAgent, bool) {
	if len(data)%unlistedSize != 0 || len(data) > MaxUnlisted*unlistedSize {
		return nil, false
	}
	agents := make([]UnlistedAgent, 0, len(data)/unlistedSize)
	for ; len(data) > 0; data = data[unlistedSize:] {
		agents = append(agents, UnlistedAgent{Agent: [4]byte(data[:4]), ServiceTag: binary.LittleEndian.Uint32(data[4:])})
	}
	return agents, true
}

// MaxTrials is how many trials a Tried can report.
const MaxTrials = 100

// trialSize is the size in bytes of a trial in a Tried.
const trialSize = 8

// Trial reports packets of a flow that were tried at a host.
type Trial struct {
	// Agent is the agent of the host.
	Agent [4]byte
	// AgeMS is the time in milliseconds since the last of the packets was tried, and Packets
	// their number.
	AgeMS   uint16
	Packets uint8
}

// AppendTrials appends the trials of a Tried, at most MaxTrials, to to and returns the extended
// slice.
func AppendTrials(to []byte, trials []Trial) []byte {
	for _, t := range trials {
		to = append(to, t.Agent[:]...)
		to = binary.LittleEndian.AppendUint16(to, t.AgeMS)
		to = append(to, t.Packets, 0)
	}
	return to
}

// ParseTrials decodes the trials of a Tried. It reports false if data is not such a list.
func ParseTrials(data []byte) ([]Trial, bool) {
	if len(data) == 0 || len(data)%trialSize != 0 || len(data) > MaxTrials*trialSize {
		return nil, false
	}
	trials := make([]Trial, 0, len(data)/trialSize)
	for ; len(data) > 0; data = data[trialSize:] {
		trials = append(trials, Trial{Agent: [4]byte(data[:4]), AgeMS: binary.LittleEndian.Uint16(data[4:]), Packets: data[6]})
	}
	return trials, true
}
