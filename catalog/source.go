package catalog

import (
	"context"
	"time"
)

// HistoryLostError reports that a source no longer has all changes after a
// revision, so that everything must be read again.
type HistoryLostError struct {
	After Position
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return "changes after " + e.After.String() + " are no longer known"
}

// ReadResult is the result of a read from a source or a peer.
type ReadResult struct {
	// Position is the store's position up to which the result is complete.
	Position
	Changes []Change
	// Full reports whether the result holds all values, so that a key that it
	// lacks does not exist.
	Full bool
	// Age is the time since the store was read.
	Age time.Duration
	// SettlingFor is the time until the peer that answered settles in the present era of
	// the store, or 0 if it has settled.
	SettlingFor time.Duration
	// Deviates reports whether the peer's state differs from what the store says.
	Deviates bool
	// late holds the late changes of the peer that answered.
	late []Change
	// gone holds what the peer remembers of removals, if it was asked.
	gone map[goneKey]time.Duration
	// history holds what the peer knows of hosts that left, if it was asked, and configs what
	// it knows of earlier configurations.
	history *peerHistory
	configs *configHistory
}

// Source reads the declared values.
type Source interface {
	// Snapshot returns all values.
	Snapshot(ctx context.Context) (ReadResult, error)
	// Hosts returns the values of all hosts, and nothing else.
	Hosts(ctx context.Context) (ReadResult, error)
	// Changes returns the changes after a position. It waits up to wait for the
	// first one. It returns a *HistoryLostError if some of the changes are no
	// longer known.
	Changes(ctx context.Context, after Position, wait time.Duration) (ReadResult, error)
	// HostChanges returns the changes of hosts after a position, without
	// waiting. It returns a *HistoryLostError if some of them are no longer
	// known.
	HostChanges(ctx context.Context, after Position) (ReadResult, error)
}

// Decoder decodes a value into a change. For an invalid host value it returns a
// change that removes the host, and an error that gives the cause.
type Decoder func(v Value) (Change, error)

// Value is an encoded value of the store.
type Value struct {
	Key  string
	Data []byte
	// Position is that of the last change of the value.
	Position
	// Created is the revision at which the key was created, in the era of Position, or 0 if
	// it is not known.
	Created int64
	// Removed reports whether the value was removed.
	Removed bool
	// ReadAt is when the value was read from the store, on the local clock.
	ReadAt time.Duration
}
