package catalog

import (
	"context"
	"strconv"
	"time"
)

// HistoryLostError reports that a source cannot say what has changed since a
// revision, so that everything must be read anew.
type HistoryLostError struct {
	After int64
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return "changes after revision " + strconv.FormatInt(e.After, 10) + " are no longer known"
}

// ReadResult is what a source has answered.
type ReadResult struct {
	// Revision is the store's revision up to which the reading is complete.
	Revision int64
	Changes  []Change
	// Full tells that what the reading lacks does not exist.
	Full bool
	// Age is how long ago the store was read.
	Age time.Duration
}

// Source reads what is declared.
type Source interface {
	// Snapshot returns everything.
	Snapshot(ctx context.Context) (ReadResult, error)
	// Changes returns what has changed after a revision. It waits up to wait for
	// a change. It fails with a HistoryLostError.
	Changes(ctx context.Context, after int64, wait time.Duration) (ReadResult, error)
	// HostChanges returns what has changed of hosts after a revision. It fails
	// with a HistoryLostError.
	HostChanges(ctx context.Context, after int64) (ReadResult, error)
}

// Decoder turns a value into a change. A host's value that cannot be used
// gives a change that removes the host, and an error that says why.
type Decoder func(v Value) (Change, error)

// Value is a value as its writer wrote it.
type Value struct {
	Key      string
	Data     []byte
	Revision int64
	// Removed tells that the value no longer exists.
	Removed bool
	// Read is when the value was read from the store, on the process's own clock.
	Read time.Duration
}
