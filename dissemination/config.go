package dissemination

import (
	"time"

	"github.com/turmericrock/turmericrock/fleet"
)

// Config holds the settings of a Replica.
type Config struct {
	// Self describes the node's VM.
	Self fleet.VM
	// Seeds are mesh addresses to ask while no VM list is known.
	Seeds []fleet.VM
	// FleetLimit is the greatest number of nodes in the fleet. The rate of a
	// node's own reads follows from it.
	FleetLimit int
	// Watchers is the number of nodes in each zone that follow the platform.
	Watchers int
	// StandbyWatchers is the number of nodes after the watchers that may take the
	// place of silent ones.
	StandbyWatchers int
	// Parents is the number of peers that a node polls.
	Parents int
	// Fanout is the number of nodes for which a node is the first parent.
	Fanout int
	// MaxInbound bounds the links that other nodes open to this one.
	MaxInbound int
	// HeartbeatInterval is the time between two polls of a peer.
	HeartbeatInterval time.Duration
	// PollTimeout is how long a polled peer may leave polls unanswered.
	PollTimeout time.Duration
	// WatchTimeout is how long a watch waits at the platform.
	WatchTimeout time.Duration
	// OwnReadAfter is the age of the last confirmation from which a node
	// reads for itself.
	OwnReadAfter time.Duration
	// OwnReads is the greatest rate of own reads over the fleet, in reads a
	// second.
	OwnReads int
	// WatcherReads is the greatest rate of reads over all watchers and
	// spares, in reads a second.
	WatcherReads int
	// MinZones is the least number of zones among which WatcherReads is divided.
	MinZones int
	// MaxConfirmationAge is the age up to which a confirmation vouches for the
	// state of the zones.
	MaxConfirmationAge time.Duration
	// PauseThreshold is the gap between two steps that counts as a pause.
	PauseThreshold time.Duration
	// ResumeTimeout is how long after a pause a node that reaches nobody
	// waits for a confirmation.
	ResumeTimeout time.Duration
	// StartupTimeout is how long a node that has just started waits for a peer to
	// say that it has no newer configuration.
	StartupTimeout time.Duration
}

// DefaultConfig returns the settings that need no value from operators.
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
