package entry

import (
	"net/netip"
	"time"

	"github.com/turmericrock/turmericrock/internal/node"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

// Board holds the facts that an entry's controllers read and write.
type Board struct {
	Config Config
	Node   *node.Facts
	Keys   *keyring.Ring
	// Reports holds the latest load report of each agent.
	Reports map[netip.AddrPort]HostReport
	// Sent holds when new flows were last sent to an agent.
	Sent map[netip.AddrPort]time.Time
}

// HostReport is a load report and the time at which it arrived.
type HostReport struct {
	Report tunnel.Report
	At     time.Time
}

// NewBoard returns the board of an entry that has just started.
func NewBoard(config Config, keys *keyring.Ring) *Board {
	return &Board{
		Config:  config,
		Node:    node.NewFacts(config.Self),
		Keys:    keys,
		Reports: make(map[netip.AddrPort]HostReport),
		Sent:    make(map[netip.AddrPort]time.Time),
	}
}

// NodeUpdated applies an update of the shared facts.
type NodeUpdated struct {
	Update node.Update
}

// Apply implements blackboard.Event.
func (e NodeUpdated) Apply(now time.Time, board *Board) {
	e.Update.ApplyTo(now, board.Node)
}

// ReportReceived brings an agent's load report.
type ReportReceived struct {
	Agent  netip.AddrPort
	Report tunnel.Report
}

// Apply implements blackboard.Event.
func (e ReportReceived) Apply(now time.Time, board *Board) {
	board.Reports[e.Agent] = HostReport{Report: e.Report, At: now}
}
