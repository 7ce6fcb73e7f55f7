package dissemination

import (
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/platform"
	"github.com/turmericrock/turmericrock/revision"
)

// LinkID identifies a link on one node. Links that the node opens have odd
// IDs.
type LinkID uint64

// Action is a decision of a Replica that its caller has to carry out or
// record.
type Action interface {
	action()
}

// Dial asks the caller to open a link to a peer.
type Dial struct {
	Link LinkID
	Peer fleet.VM
	// Hello is the first message to send.
	Hello Hello
}

// Close asks the caller to close a link.
type Close struct {
	Link LinkID
	// Cause is a short name of the reason, used in logs and metrics.
	Cause string
}

// Send asks the caller to send a message over a link.
type Send struct {
	Link    LinkID
	Message Message
}

// Read asks the caller to read a key of the platform, or to watch it for up to
// Wait when Wait is not 0.
type Read struct {
	Key string
	// After is the version that was last read. A watch ends when there is a later
	// one.
	After uint64
	Wait  time.Duration
}

// ConfigEvaluated reports the verdict of the node's revision.Holder on a
// complete configuration that the replica offered to it.
type ConfigEvaluated struct {
	// Before is the configuration in force before, or nil.
	Before  *fleet.Config
	Config  *fleet.Config
	Verdict revision.Verdict
	Source  string
}

// ConfigRejected reports a configuration that is invalid, or that has the same
// revision as the one in force but different content.
type ConfigRejected struct {
	Revision uint64
	Source   string
	Err      error
}

// ListChanged reports a new VM list of a zone.
type ListChanged struct {
	Before fleet.VMList
	List   fleet.VMList
	Source string
}

// PeerChanged reports a peer whose status has changed.
type PeerChanged struct {
	Peer   string
	Before Status
	Status Status
}

// PauseEnded reports that the process was paused for Duration.
type PauseEnded struct {
	Duration time.Duration
}

func (Dial) action()            {}
func (Close) action()           {}
func (Send) action()            {}
func (Read) action()            {}
func (ConfigEvaluated) action() {}
func (ConfigRejected) action()  {}
func (ListChanged) action()     {}
func (PeerChanged) action()     {}
func (PauseEnded) action()      {}

// Event is an input of a Replica.
type Event interface {
	event()
}

// LinkOpened reports that a link is open: the other side's Hello has arrived.
type LinkOpened struct {
	Link    LinkID
	Hello   Hello
	Inbound bool
}

// LinkClosed reports that a link could not be opened or has ended.
type LinkClosed struct {
	Link LinkID
	// Graceful is set if the other side closed the link on purpose.
	Graceful bool
	// Refused is set if the host at the address is reachable but does not accept
	// the link: no process listens there, or another VM uses the address.
	Refused bool
}

// Received delivers a message that arrived over a link.
type Received struct {
	Link    LinkID
	Message Message
}

// ReadDone delivers the result of a Read.
type ReadDone struct {
	Key string
	// StartedAt is when the read was sent.
	StartedAt time.Time
	Value     platform.Value
	Err       error
}

func (LinkOpened) event() {}
func (LinkClosed) event() {}
func (Received) event()   {}
func (ReadDone) event()   {}
