package dissemination

import (
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/platform"
	"github.com/turmericrock/turmericrock/revision"
)

// LinkID names a link on one node. Links that the node opens have odd IDs.
type LinkID uint64

// Action is a decision to carry out.
type Action interface {
	action()
}

// Dial opens a link to a peer.
type Dial struct {
	Link LinkID
	Peer fleet.VM
	// Hello is the first message to send.
	Hello Hello
}

// Close closes a link.
type Close struct {
	Link LinkID
	// Cause is a short word for logs and metrics.
	Cause string
}

// Send sends a message.
type Send struct {
	Link    LinkID
	Message Message
}

// Read reads a value of the platform, or watches it when Wait is not 0.
type Read struct {
	Key   string
	After uint64
	Wait  time.Duration
}

// ConfigEvaluated tells what became of a configuration that was offered.
type ConfigEvaluated struct {
	Before  *fleet.Config
	Config  *fleet.Config
	Verdict revision.Verdict
	Source  string
}

// ConfigRejected tells of a configuration that is not valid or that differs
// from the one in force under the same revision.
type ConfigRejected struct {
	Revision uint64
	Source   string
	Err      error
}

// ListChanged tells of a new VM list.
type ListChanged struct {
	Before fleet.VMList
	List   fleet.VMList
	Source string
}

// PeerChanged tells of a peer whose status changed.
type PeerChanged struct {
	Peer   string
	Before Status
	Status Status
}

// PauseEnded tells that the node was paused.
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

// LinkOpened tells that a link stands: the other side's Hello has arrived.
type LinkOpened struct {
	Link    LinkID
	Hello   Hello
	Inbound bool
}

// LinkClosed tells that a link could not be opened or has ended.
type LinkClosed struct {
	Link LinkID
	// Graceful tells that the other side ended the link on purpose.
	Graceful bool
	// Refused tells that the address answered and nothing listens there, or
	// another VM does.
	Refused bool
}

// Received brings a message.
type Received struct {
	Link    LinkID
	Message Message
}

// ReadDone brings the outcome of a Read.
type ReadDone struct {
	Key string
	// Started is when the read was sent.
	Started time.Time
	Value   platform.Value
	Err     error
}

func (LinkOpened) event() {}
func (LinkClosed) event() {}
func (Received) event()   {}
func (ReadDone) event()   {}
