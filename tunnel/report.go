package tunnel

import (
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// HostState is the state of a host as its agent reports it.
type HostState uint8

// Host states as encoded in reports.
const (
	// HostServing accepts new flows up to its limit.
	HostServing HostState = 1
	// HostCold accepts new flows up to a limit that rises during warm-up.
	HostCold HostState = 2
	// HostLeaving accepts no new flows because the host is draining.
	HostLeaving HostState = 3
	// HostDown accepts no new flows because its backend server does not
	// respond.
	HostDown HostState = 4
	// HostZoneOut accepts no new flows because operators have taken its
	// availability zone out of service.
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

// Accepting reports whether a host in this state accepts new flows.
func (s HostState) Accepting() bool {
	return s == HostServing || s == HostCold
}

// Report is an agent's load report. It also serves as the agent's heartbeat.
type Report struct {
	Incarnation uint16    `cbor:"1,keyasint"`
	State       HostState `cbor:"2,keyasint"`
	// Revision is the configuration revision in force at the agent.
	Revision uint64 `cbor:"3,keyasint"`
	// Flows is the number of flows that the agent holds.
	Flows uint32 `cbor:"4,keyasint"`
	// Limit is the maximum number of requests that the agent admits
	// concurrently.
	Limit uint32 `cbor:"5,keyasint"`
	// InService is the number of requests being processed.
	InService uint32 `cbor:"6,keyasint"`
	// Capacity is the share of the declared slots that the agent admits, in
	// thousandths (0 to 1000).
	Capacity uint16 `cbor:"7,keyasint"`
	// Sequence increases with each report of one incarnation and starts at 1.
	Sequence uint64 `cbor:"8,keyasint"`
}

// Load is a host's number of flows scaled to full capacity, plus one. It must
// not be compared with UnknownLoad.
type Load uint32

// UnknownLoad is the load of a host whose reports are missing or too old.
const UnknownLoad Load = 0

// fullCapacity is the Report.Capacity of a host that admits all its declared
// slots.
const fullCapacity = 1000

// Load returns one more than the number of flows that the host would hold if
// its flows were scaled to full capacity, so that it never equals UnknownLoad.
func (r Report) Load() Load {
	scaled := uint64(r.Flows) * fullCapacity / uint64(max(1, r.Capacity))
	return Load(min(scaled, math.MaxUint32-1) + 1)
}

// EncodeReport returns the CBOR payload of a KindReport datagram.
func EncodeReport(r Report) ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, errors.WithStack(err)
}

// DecodeReport decodes the CBOR payload of a KindReport datagram. The error is
// a *DatagramError.
func DecodeReport(payload []byte) (Report, error) {
	var r Report
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return Report{}, errMalformedReport
	}
	return r, nil
}
