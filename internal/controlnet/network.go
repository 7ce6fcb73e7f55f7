package controlnet

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/revision"
)

// Config holds the settings of a Network.
type Config struct {
	Seed uint64
	// Delay is the minimum one-way delay; a random part of up to the same
	// length is added to it.
	Delay time.Duration
	// StepInterval is the time between two calls of a replica's Step.
	StepInterval time.Duration
	// Control is the configuration of each replica; Self and Seeds are set by
	// the node.
	Control dissemination.Config
	// Builder is shared by all replicas.
	Builder dissemination.Builder
	// EncodeMessages encodes and decodes each message on delivery. A message
	// that cannot be decoded closes its link.
	EncodeMessages bool
}

// Network is a simulated network of replicas with its clock and platform.
type Network struct {
	config   Config
	clock    clock
	random   *rand.Rand
	Platform *Platform
	nodes    []*Node
	byAddr   map[netip.AddrPort]*Node
	// compressedSizes caches the compressed size of each message by its hash.
	compressedSizes map[uint64]int
	// Partitioned reports whether packets from one node cannot reach another.
	// It is optional.
	Partitioned func(from, to *Node) bool
	// ConfigAccepted is called when a node accepts a configuration. It is
	// optional.
	ConfigAccepted func(n *Node, config *fleet.Config)
}

// New returns a network without nodes.
func New(config Config) *Network {
	n := &Network{
		config:          config,
		clock:           clock{now: time.Unix(1_000_000, 0)},
		random:          rand.New(rand.NewPCG(config.Seed, 1)),
		byAddr:          make(map[netip.AddrPort]*Node),
		compressedSizes: make(map[uint64]int),
	}
	n.Platform = &Platform{
		net:            n,
		values:         make(Snapshot),
		watches:        make(map[string][]func()),
		readsPerSecond: make(map[int64]int),
	}
	return n
}

// Now returns the simulated time.
func (n *Network) Now() time.Time {
	return n.clock.now
}

// Advance runs the network for d of simulated time.
func (n *Network) Advance(d time.Duration) {
	n.clock.advance(d)
}

// Nodes returns all nodes in the order in which they were added, including
// those that are not running.
func (n *Network) Nodes() []*Node {
	return n.nodes
}

// Add adds a node for the VM and starts it after a random delay of up to
// spread.
func (n *Network) Add(vm fleet.VM, spread time.Duration) *Node {
	node := &Node{net: n, VM: vm}
	n.nodes = append(n.nodes, node)
	n.byAddr[vm.Mesh] = node
	node.Start(time.Duration(float64(spread) * n.random.Float64()))
	return node
}

func (n *Network) afterFunc(d time.Duration, run func()) {
	n.clock.afterFunc(d, run)
}

func (n *Network) latency() time.Duration {
	return time.Duration(float64(n.config.Delay) * (1 + n.random.Float64()))
}

func (n *Network) isPartitioned(from, to *Node) bool {
	return n.Partitioned != nil && n.Partitioned(from, to)
}

// Node is one simulated node of the fleet.
type Node struct {
	net *Network
	VM  fleet.VM
	// Holder and Replica belong to the process started last; both are nil
	// before the first start.
	Holder  *revision.Holder
	Replica *dissemination.Replica
	Traffic Traffic
	// Seeds are the peers that a process knows from its settings when it
	// starts.
	Seeds []fleet.VM

	// incarnation counts starts and kills of the process, so that events
	// scheduled for an earlier process are ignored.
	incarnation         int
	alive               bool
	paused              bool
	platformUnreachable bool
	inbox               []dissemination.Event
	links               map[dissemination.LinkID]*linkEnd
	nextInboundLink     dissemination.LinkID
}

// Traffic counts the messages and payload bytes that a node sent and received.
type Traffic struct {
	MessagesOut int
	BytesOut    int
	MessagesIn  int
	BytesIn     int
}

// Alive reports whether the process is running, even if paused.
func (n *Node) Alive() bool {
	return n.alive
}

// Paused reports whether the process is paused.
func (n *Node) Paused() bool {
	return n.paused
}

// SetPlatformUnreachable makes the platform unreachable or reachable for the
// node.
func (n *Node) SetPlatformUnreachable(unreachable bool) {
	n.platformUnreachable = unreachable
}

// Start starts the process after d with no state from earlier processes.
func (n *Node) Start(d time.Duration) {
	n.incarnation++
	incarnation := n.incarnation
	n.net.afterFunc(d, func() {
		if n.incarnation != incarnation {
			return
		}
		config := n.net.config.Control
		config.Self = n.VM
		config.Seeds = n.Seeds
		n.alive = true
		n.paused = false
		n.inbox = nil
		n.links = make(map[dissemination.LinkID]*linkEnd)
		n.nextInboundLink = 2
		n.Holder = &revision.Holder{}
		random := rand.New(rand.NewPCG(n.net.random.Uint64(), n.net.random.Uint64()))
		n.Replica = dissemination.New(config, n.Holder, n.net.config.Builder, random)
		n.tick(incarnation)
	})
}

// Kill terminates the process; its peers see their links close.
func (n *Node) Kill() {
	n.alive = false
	n.incarnation++
	for _, e := range n.links {
		e.close(false)
	}
}

// Pause suspends the process until Resume, like SIGSTOP.
func (n *Node) Pause() {
	n.paused = n.alive
}

// Resume continues a paused process. Events that arrived during the pause are
// handled before the next step, because a real process finds them in its
// socket and channel queues.
func (n *Node) Resume() {
	if !n.paused {
		return
	}
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, event := range inbox {
		n.handle(event)
	}
	n.step()
}

func (n *Node) tick(incarnation int) {
	if n.incarnation != incarnation {
		return
	}
	if !n.paused {
		n.step()
	}
	n.net.afterFunc(n.net.config.StepInterval, func() { n.tick(incarnation) })
}

func (n *Node) step() {
	n.Replica.Step(n.net.Now())
	n.executeActions()
}

func (n *Node) handle(event dissemination.Event) {
	if !n.alive {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, event)
		return
	}
	n.Replica.Handle(n.net.Now(), event)
	n.executeActions()
}

func (n *Node) executeActions() {
	for _, action := range n.Replica.TakeActions() {
		switch action := action.(type) {
		case dissemination.Read:
			n.net.Platform.read(n, action)
		case dissemination.Dial:
			n.dial(action)
		case dissemination.Send:
			n.send(action)
		case dissemination.Close:
			if e := n.links[action.Link]; e != nil {
				e.close(true)
			}
		case dissemination.ConfigEvaluated:
			if action.Verdict == revision.Accepted && n.net.ConfigAccepted != nil {
				n.net.ConfigAccepted(n, action.Config)
			}
		}
	}
}
