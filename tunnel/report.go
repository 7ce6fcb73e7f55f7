package tunnel

import (
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// HostState is an agent's own word on the host beside it.
type HostState uint8

// States of hosts.
const (
	// HostServing takes new flows up to its limit.
	HostServing HostState = 1
	// HostCold takes new flows up to a limit that ramps.
	HostCold HostState = 2
	// HostLeaving takes no new flows.
	HostLeaving HostState = 3
	// HostDown has a backend server that does not answer.
	HostDown HostState = 4
	// HostZoneOut stands in a zone that operators have taken out.
	HostZoneOut HostState = 5
)

// String returns the state's name for logs and metrics.
func (s HostState) String() string {
	switch s {
	case HostServing:
		return "serving"
	case HostCold:
		return "cold"
	case HostLeaving:
		return "leaving"
	case HostDown:
		return "down"
	case HostZoneOut:
		return "zone_out"
	default:
		return "unknown"
	}
}

// Accepting reports whether the host takes new flows.
func (s HostState) Accepting() bool {
	return s == HostServing || s == HostCold
}

// Report is an agent's load report. It is also the sign that the agent
// lives.
type Report struct {
	Incarnation uint16    `cbor:"1,keyasint"`
	State       HostState `cbor:"2,keyasint"`
	// Revision is the agent's configuration revision in force.
	Revision uint64 `cbor:"3,keyasint"`
	// Flows is the number of flows that the agent holds.
	Flows uint32 `cbor:"4,keyasint"`
	// Limit is the number of requests that the agent admits at a time.
	Limit uint32 `cbor:"5,keyasint"`
	// InService is the number of requests in service.
	InService uint32 `cbor:"6,keyasint"`
	// Capacity is the admitted share of the declared slots, 0 to 1000.
	Capacity uint16 `cbor:"7,keyasint"`
	// Sequence rises with each report of one incarnation. The first is 1.
	Sequence uint64 `cbor:"8,keyasint"`
}

// Load is a host's number of flows relative to its capacity. UnknownLoad
// compares with none.
type Load uint32

// UnknownLoad is the load of a host whose reports are missing or old.
const UnknownLoad Load = 0

// fullCapacity is Report.Capacity of a host that admits its declared slots.
const fullCapacity = 1000

// Load returns the load of the host: one more than the flows that it would
// hold at full capacity.
func (r Report) Load() Load {
	scaled := uint64(r.Flows) * fullCapacity / uint64(max(1, r.Capacity))
	return Load(min(scaled, math.MaxUint32-1) + 1)
}

// EncodeReport returns the payload of a KindReport datagram.
func EncodeReport(r Report) ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, errors.WithStack(err)
}

// DecodeReport reads the payload of a KindReport datagram. The error is a
// *DatagramError.
func DecodeReport(payload []byte) (Report, error) {
	var r Report
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return Report{}, errMalformedReport
	}
	return r, nil
}
