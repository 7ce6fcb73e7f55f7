// Package pacing decides when a process reads what is declared, and whom it asks. Every
// call to the platform's store is billed and counts towards a rate that all processes
// share, so that a fleet of hundreds cannot have each of them read it at will. The
// package does no I/O and reads no clock; times are durations since an arbitrary fixed
// point.
package pacing

import "time"

const (
	// WatchWait is how long the store is asked to wait for a change. A watch that gets no
	// response is detected well within the time limit for bringing a configuration into
	// force.
	WatchWait = 900 * time.Millisecond
	// MinWatchInterval is the shortest time between the starts of two watches. It bounds
	// both the calls of a reader and what it adds to the age of a change.
	MinWatchInterval = 600 * time.Millisecond
	// startPeriod is how long a reader watches at shorter intervals after its start or an
	// outage of the store, and startWatchInterval the shortest such interval.
	startPeriod        = 2 * time.Second
	startWatchInterval = 100 * time.Millisecond
	// HistoryPatience is how long an agent that starts waits for a reader to tell it which
	// hosts left before, until it reads that from the store. HistoryWait is how long a
	// reader is asked to wait meanwhile, and StartRetryInterval the delay after all failed.
	HistoryPatience    = 500 * time.Millisecond
	HistoryWait        = 100 * time.Millisecond
	StartRetryInterval = 40 * time.Millisecond
	// MaxPeerAge is the maximum time since a peer's own data was known to match the
	// store. If it is exceeded, a process does not rely on that peer.
	MaxPeerAge = 1600 * time.Millisecond
	// PeerWait is how long a reader is asked to wait for a change.
	PeerWait = 600 * time.Millisecond
	// minPeerWait is the shortest such time. It covers the way to the peer and back.
	minPeerWait = 50 * time.Millisecond
	// SubstituteWait is how long a process waits for the substitutes of the readers to
	// have read the store before it reads the store itself.
	SubstituteWait = 350 * time.Millisecond
	// SeedTimeout is how long a process that starts waits for the seeds before it reads
	// the store. It covers a connection and an answer between zones.
	SeedTimeout = 40 * time.Millisecond
	// FirstStartPatience is how long a process waits for a seed when the whole system
	// starts for the first time, and FirstStartRetryInterval the time between two attempts.
	FirstStartPatience      = 2 * time.Second
	FirstStartRetryInterval = 100 * time.Millisecond
	// EraPatience is how long a process that finds the store restored waits for its peers'
	// knowledge of the time before. It covers a connection and an answer of a busy peer.
	EraPatience = 100 * time.Millisecond
	// StartPatience is how long a process that starts waits for a reader to have read the
	// store, until it reads the store itself.
	StartPatience = 400 * time.Millisecond
	// MinAgentsToShareStart is the number of agents from which on processes that start
	// leave it to the readers to read everything from the store.
	MinAgentsToShareStart = 50
	// StoreSettleTime is how long reads of the store must have succeeded for the list of
	// hosts to count as complete by itself. Hosts whose entries lapsed during an outage
	// are listed again within 2 s.
	StoreSettleTime = 2500 * time.Millisecond
	// ConfirmReadInterval is the shortest time between two reads of the store by a reader that
	// confirms the list of hosts to others, and ConfirmRequestInterval that between two
	// requests of a process. ConfirmPatience is how long a reader may take until the next one
	// is asked as well, and ConfirmTimeout how long all of them may take. A slow store takes
	// 0.3 s.
	ConfirmReadInterval    = 10 * time.Millisecond
	ConfirmRequestInterval = 10 * time.Millisecond
	ConfirmPatience        = 200 * time.Millisecond
	ConfirmTimeout         = 700 * time.Millisecond
	// RetryInterval is the delay before a reader repeats a failed read of the store.
	RetryInterval = 250 * time.Millisecond
	// minOwnReadInterval and maxOwnReadInterval are the delays after the first and after
	// later failed reads of the store by a process that is no reader.
	minOwnReadInterval = time.Second
	maxOwnReadInterval = 4 * time.Second
)

// Watch is how a reader waits for the next changes of the store.
type Watch struct {
	// Pause is the time before the watch, and Wait how long the store is then asked to
	// wait for a change.
	Pause, Wait time.Duration
}

// NextWatch returns the watch that follows one which began at startedAt, by a reader that
// could read the store for the given time.
//
// Load pattern: hosts are replaced or return one after the other, so that several of them
// write each second. A watch returns at the first change, and a reader that watches on at
// once calls the store as often as hosts write. With a pause, one call returns them all.
// Pause and Wait together do not exceed WatchWait, so that the reader's data stays as
// recent as without. After a loss of all power or an outage of the store, all hosts return
// and all agents wait for the readers, so that pauses are shorter then.
func NextWatch(startedAt, now, readableFor time.Duration) Watch {
	interval := MinWatchInterval
	if readableFor < startPeriod {
		interval = startWatchInterval
	}
	pause := min(interval, max(0, startedAt+interval-now))
	return Watch{Pause: pause, Wait: WatchWait - pause}
}

// PeerWatchWait returns how long a reader is asked to wait for a change by a process whose
// own data is of the given age. It ends in time to find out that the reader no longer
// reads the store.
func PeerWatchWait(age time.Duration) time.Duration {
	return min(PeerWait, max(minPeerWait, MaxPeerAge+minPeerWait-age))
}

// OwnReads decides when a process that is no reader reads the store itself, because no
// reader and no substitute has recent data.
//
// Load pattern: the store is away, for all. Each process of the fleet then finds its
// readers' data too old at the same moment. One failed read shows a process that it can
// not do better than they; it learns of the store's return from them, who go on trying.
type OwnReads struct {
	interval time.Duration
	nextAt   time.Duration
}

// Due reports whether the process may read the store.
func (o *OwnReads) Due(now time.Duration) bool {
	return now >= o.nextAt
}

// Failed records that a read failed.
func (o *OwnReads) Failed(now time.Duration) {
	o.interval = min(maxOwnReadInterval, max(minOwnReadInterval, 2*o.interval))
	o.nextAt = now + o.interval
}

// Succeeded records that a read succeeded, of the store or of a peer with recent data.
func (o *OwnReads) Succeeded() {
	*o = OwnReads{}
}
