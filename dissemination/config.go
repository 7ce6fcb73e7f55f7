package dissemination

import (
	"time"

	"github.com/turmericrock/turmericrock/fleet"
)

// Config holds the settings of a Replica.
type Config struct {
	// Self describes this node's VM.
	Self fleet.VM
	// Seeds are the mesh addresses to poll while no VM list is known.
	Seeds []fleet.VM
	// FleetLimit is the maximum number of nodes in the fleet. On average, a node
	// sends at most OwnReads/FleetLimit own reads per second.
	FleetLimit int
	// Watchers is the number of nodes in each zone that watch the platform.
	Watchers int
	// StandbyWatchers is the number of nodes, next in order after the watchers,
	// that may replace watchers that do not answer.
	StandbyWatchers int
	// Parents is the number of parents that a node polls.
	Parents int
	// Fanout is the number of nodes that have a given node as their first parent.
	Fanout int
	// MaxInbound is the maximum number of links that other nodes may open to this
	// one.
	MaxInbound int
	// HeartbeatInterval is the time between two polls of a peer in the same zone.
	HeartbeatInterval time.Duration
	// PollTimeout is how long a polled peer may leave polls unanswered, and how
	// long a polling peer may send none, until it counts as silent.
	PollTimeout time.Duration
	// WatchTimeout is how long the platform holds a watch request open while
	// nothing changes.
	WatchTimeout time.Duration
	// OwnReadAfter is the age of the latest confirmation after which a node that
	// is not a watcher reads the platform itself. Such a read is called an own
	// read.
	OwnReadAfter time.Duration
	// OwnReads is the maximum rate of own reads over the whole fleet, in reads
	// per second.
	OwnReads int
	// WatcherReads is the maximum rate of reads by all watchers and standby
	// watchers, in reads per second.
	WatcherReads int
	// MinZones is the minimum number of zones among which WatcherReads is
	// divided.
	MinZones int
	// MaxConfirmationAge is the age up to which a confirmation proves that the
	// known state of the zones is current.
	MaxConfirmationAge time.Duration
	// PauseThreshold is the time between two calls of Step beyond which the
	// process counts as having been paused.
	PauseThreshold time.Duration
	// ResumeTimeout is how long after a pause a node waits for a confirmation
	// before it acts without one.
	ResumeTimeout time.Duration
	// StartupTimeout is how long a node that has just started waits for a peer to
	// answer that it has no newer configuration.
	StartupTimeout time.Duration
}

// DefaultConfig returns the defaults of all settings that operators need not
// set.
func DefaultConfig() Config {
	return Config{
		FleetLimit:         8000,
		Watchers:           3,
		StandbyWatchers:    3,
		Parents:            2,
		Fanout:             8,
		MaxInbound:         48,
		HeartbeatInterval:  time.Second,
		PollTimeout:        3 * time.Second,
		WatchTimeout:       time.Second,
		OwnReadAfter:       6 * time.Second,
		OwnReads:           1000,
		WatcherReads:       840,
		MinZones:           7,
		MaxConfirmationAge: 6 * time.Second,
		PauseThreshold:     time.Second,
		ResumeTimeout:      10 * time.Second,
		StartupTimeout:     2 * time.Second,
	}
}
