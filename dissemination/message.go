package dissemination

import (
	"github.com/turmericrock/turmericrock/fleet"
)

// Message is a message between two nodes. Exactly one field is set.
type Message struct {
	Hello    *Hello    `cbor:"1,keyasint,omitempty"`
	State    *State    `cbor:"2,keyasint,omitempty"`
	Request  *Request  `cbor:"3,keyasint,omitempty"`
	Response *Response `cbor:"4,keyasint,omitempty"`
	// Presence lists nodes that were lost or heard again.
	Presence []Presence `cbor:"5,keyasint,omitempty"`
}

// Hello is the first message in each direction of a link.
type Hello struct {
	_ struct{} `cbor:",toarray"`
	// Protocol is the version of the protocol.
	Protocol uint32
	// ID is the ID of the sender's VM.
	ID string
	// Zone is the sender's availability zone.
	Zone string
	// FullCopy is set if the sender holds the whole configuration and the VM lists
	// of all zones.
	FullCopy bool
}

// Protocol is the protocol version of this package.
const Protocol = 1

// unknownAge is the encoded value of an unknown age.
const unknownAge = ^uint32(0)

// State is a poll, the answer to a poll, or an unsolicited notice of a change.
type State struct {
	_ struct{} `cbor:",toarray"`
	// Probe requests an answer if it is not 0. It encodes the sender's clock (see
	// pollLink).
	Probe uint64
	// Echo is the latest probe that the sender received over the link.
	Echo uint64
	// Revision is the revision in force at the sender, or 0 if it has none.
	Revision uint64
	// Digest is the digest of the manifest of that revision.
	Digest []byte
	// Age is the time since the revision was last known to be current, in
	// milliseconds.
	Age uint32
	// Synced is set if the sender has learnt from its peers, since it started,
	// that they have no newer configuration, or has waited for them in vain.
	Synced bool
	// Zones lists what the sender knows of availability zones.
	Zones []ZoneState
}

// ZoneState is what a node knows of an availability zone.
type ZoneState struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	// Version is the version of the VM list that the sender holds, or 0 if it has
	// none.
	Version uint64
	// Age is the time since the list was last known to be current, in
	// milliseconds.
	Age uint32
	// HeardAge is the time since a node of the zone was last heard, in
	// milliseconds.
	HeardAge uint32
}

// Request requests a manifest, parts and VM lists.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// Manifest is the digest of the requested manifest, or empty.
	Manifest []byte
	// Base is the digest of the manifest that the sender has, from which the
	// answer may be a difference.
	Base []byte
	// Parts lists the digests of the requested parts.
	Parts [][]byte
	// Lists lists the requested VM lists.
	Lists []ListRequest
}

// ListRequest requests the VM list of a zone.
type ListRequest struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	// Bases lists the versions that the sender has, the latest last. The answer
	// may be a difference from any of them.
	Bases []uint64
}

// Response answers a Request.
type Response struct {
	_        struct{} `cbor:",toarray"`
	Manifest *ManifestUpdate
	Parts    [][]byte
	Lists    []ListUpdate
	// Missing lists the digests of requested parts that the sender does not have.
	Missing [][]byte
}

// ManifestUpdate is a manifest (the revision, the zones and the references to
// all parts of a configuration), either whole or as the difference from another
// one.
type ManifestUpdate struct {
	_ struct{} `cbor:",toarray"`
	// Whole is the encoded manifest, or empty if this is a difference.
	Whole []byte
	// Base is the digest of the manifest that the difference applies to.
	Base []byte
	// WithoutParts is the new manifest, encoded with an empty list of parts.
	WithoutParts []byte
	// Upserted lists the references to the added and changed parts.
	Upserted []fleet.PartRef
	// Removed lists the names of the removed parts.
	Removed []string
}

// ListUpdate is the VM list of a zone, either whole or as the difference from
// an older version.
type ListUpdate struct {
	Zone    string
	Version uint64
	// Base is the version that the difference applies to, or 0 if the list is
	// whole.
	Base uint64
	// Upserted lists the added and changed VMs, or all VMs if the list is whole.
	Upserted []fleet.VM
	// Removed lists the IDs of the removed VMs.
	Removed []string
}
