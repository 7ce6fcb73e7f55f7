package dissemination

import (
	"github.com/turmericrock/turmericrock/fleet"
)

// Message is one message between two nodes. Exactly one field is set.
type Message struct {
	Hello    *Hello    `cbor:"1,keyasint,omitempty"`
	State    *State    `cbor:"2,keyasint,omitempty"`
	Request  *Request  `cbor:"3,keyasint,omitempty"`
	Response *Response `cbor:"4,keyasint,omitempty"`
	// Presence is word of nodes that were lost or heard again.
	Presence []Presence `cbor:"5,keyasint,omitempty"`
}

// Hello opens a link in both directions.
type Hello struct {
	_ struct{} `cbor:",toarray"`
	// Protocol is the version of the protocol.
	Protocol uint32
	// ID names the sender's VM.
	ID string
	// Zone is the sender's availability zone.
	Zone string
	// FullReplica tells that the sender holds the lists of every zone.
	FullReplica bool
}

// Protocol is the version of the protocol that this package speaks.
const Protocol = 1

// unknownAge stands for an age that is not known.
const unknownAge = ^uint32(0)

// State is a poll, the answer to a poll, or word of a change.
type State struct {
	_ struct{} `cbor:",toarray"`
	// Probe asks for an answer when it is not 0. It is the sender's clock.
	Probe uint64
	// Echo is the latest probe that the sender got over the link.
	Echo uint64
	// Revision is the revision in force at the sender, 0 for none.
	Revision uint64
	// Digest is the digest of its manifest.
	Digest []byte
	// Age is the time since the revision was known to be current, in
	// milliseconds.
	Age uint32
	// Synced tells that the sender has itself asked its peers since it
	// started.
	Synced bool
	// Zones tells what the sender knows of availability zones.
	Zones []ZoneState
}

// ZoneState is what a node knows of one availability zone.
type ZoneState struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	// Version is the version of the VM list held, 0 for none.
	Version uint64
	// Age is the time since the list was known to be current, in
	// milliseconds.
	Age uint32
	// HeardAge is the time since a node of the zone was heard, in milliseconds.
	HeardAge uint32
}

// Request asks for values.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// Manifest is the digest of the manifest asked for. It may be empty.
	Manifest []byte
	// Base is the digest of the manifest that the sender holds.
	Base []byte
	// Parts lists the digests of the parts asked for.
	Parts [][]byte
	// Lists names the VM lists asked for.
	Lists []ListRequest
}

// ListRequest asks for the VM list of a zone.
type ListRequest struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	// Bases lists the versions that the sender holds, the latest last.
	Bases []uint64
}

// Response brings values.
type Response struct {
	_        struct{} `cbor:",toarray"`
	Manifest *ManifestUpdate
	Parts    [][]byte
	Lists    []ListUpdate
	// Missing lists digests of parts that the sender does not hold.
	Missing [][]byte
}

// ManifestUpdate is a manifest, whole or as the difference from another one.
type ManifestUpdate struct {
	_ struct{} `cbor:",toarray"`
	// Whole is the encoded manifest. It is empty in a difference.
	Whole []byte
	// Base is the digest of the manifest that a difference starts from.
	Base []byte
	// Head is the encoded manifest without its parts.
	Head []byte
	// Set lists the parts that were added or changed.
	Set []fleet.PartRef
	// Removed lists the names of the parts that were removed.
	Removed []string
}

// ListUpdate is a VM list, whole or as the difference from an older version.
type ListUpdate struct {
	Zone    string
	Version uint64
	// Base is the version that the difference starts from, 0 for a whole
	// list.
	Base uint64
	// Set lists the VMs that were added or changed.
	Set []fleet.VM
	// Removed lists the IDs of the VMs that were removed.
	Removed []string
}
