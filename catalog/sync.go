package catalog

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/steering/pacing"
)

// noEra is no era of the store.
const noEra = -1

// Where a read came from, in log lines.
const (
	fromSnapshot = "snapshot"
	fromChanges  = "changes"
	fromPeer     = "peer"
	fromSeed     = "seed"
)

// Syncer keeps a tracker up to date. A few agents, the readers, read the store.
// The other processes ask the readers; if no reader answers or the readers' data is too
// old, they ask substitutes, and at last read the store themselves. A process that starts
// asks the seeds, and reads the store if none of them has recent data.
type Syncer struct {
	Store   Source
	Peers   *PeerClient
	Tracker *Tracker
	// Self is the address of this process, and Zone its availability zone.
	Self [4]byte
	Zone string
	// PeerPort is the port at which readers serve their peers.
	PeerPort uint16
	// Seeds are addresses (host:port) of processes that may have a
	// configuration.
	Seeds []string
	// ReadHistory makes the process read the store's history at startup. It is
	// required if the process treats a host that is not listed as stopped, for
	// instance to reset its flows.
	ReadHistory bool
	// FirstStart reports whether the whole system is starting for the first time.
	FirstStart bool
	Log        *logrus.Entry
	// Now returns the time on the local monotonic clock, as the duration since
	// a fixed point. All local times in this package are on this clock.
	Now func() time.Duration
	// OnChange is called after a snapshot with changes was published.
	OnChange func(*Catalog)

	// historyPending is set until the process knows which hosts left before its start.
	historyPending bool
	// historyDeadline is the time until which readers may tell it.
	historyDeadline time.Duration
	// asked is set once the process has asked peers for the first state.
	asked   bool
	failing bool
	backoff startupBackoff
	// readableSince is when the process started or the last outage of the store ended, and
	// watchStartedAt when the last watch of the store began.
	readableSince, watchStartedAt time.Duration
	ownReads                      pacing.OwnReads
	// pauseEnd ends the pause before the next watch. It is nil while there is none.
	pauseEnd atomic.Pointer[context.CancelFunc]
	readers  readerStates
	// peerStateEra is the era of the last read from a peer that was not behind this
	// process, or noEra. A peer that is behind may lack removals.
	peerStateEra int64
	// ignoring reports whether the last read was ignored, so that a series of such
	// reads is logged once.
	ignoring bool
	// configNotices and listNotices hold what other processes are known to have: a later
	// configuration, and later changes of the store.
	configNotices, listNotices notices
	reads                      readCounters
	changes                    changeLog
}

// Run keeps the tracker up to date until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	s.readers = newReaderStates()
	s.changes.log = s.Log
	s.peerStateEra = noEra
	s.Tracker.FirstStart = s.FirstStart
	s.historyPending = s.ReadHistory
	s.readableSince = s.Now()
	s.watchStartedAt = s.readableSince - pacing.MinWatchInterval
	for ctx.Err() == nil {
		if delay := s.syncOnce(ctx); delay > 0 {
			pause(ctx, delay)
		}
		s.changes.flush(s.Now())
	}
}

// pause waits for a while or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// pauseWatch waits for a while, until endPause is called or until the context ends.
func (s *Syncer) pauseWatch(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.pauseEnd.Store(&cancel)
	defer s.pauseEnd.Store(nil)
	pause(ctx, d)
}

// endPause makes the syncer watch the store at once, since there are changes that others wait for.
// It is safe for concurrent use.
func (s *Syncer) endPause() {
	if end := s.pauseEnd.Load(); end != nil {
		(*end)()
	}
}

// syncOnce reads once and returns the delay until the next read.
func (s *Syncer) syncOnce(ctx context.Context) time.Duration {
	c := s.Tracker.Current()
	if c == nil && s.startFromPeers(ctx) {
		s.recordSuccess()
		return 0
	}
	isReader := false
	if c != nil {
		s.syncFromNotified(ctx)
		var err error
		var noticed *NewerStateError
		isReader, err = s.syncFromReaders(ctx, c)
		if errors.As(err, &noticed) {
			return 0
		}
		if !isReader && err == nil {
			s.recordSuccess()
			if s.historyPending && !s.awaitsHistory() {
				s.loadHistory(ctx)
			}
			return 0
		}
		if s.awaitsHistory() {
			return pacing.StartRetryInterval
		}
		if !isReader && !s.ownReads.Due(s.Now()) {
			s.recordFailure(err)
			return pacing.RetryInterval
		}
	}
	s.askOtherReader(ctx)
	if err := s.syncFromStore(ctx); err != nil {
		s.recordFailure(err)
		if c == nil {
			s.syncFromSeeds(ctx)
			return s.backoff.delay()
		}
		if !isReader {
			s.ownReads.Failed(s.Now())
		}
		return pacing.RetryInterval
	}
	s.readers.delayStale(s.Now())
	s.recordSuccess()
	return 0
}

// nextWatch returns how the store is watched next. It is asked to answer at once if the
// last read failed or the tracker's data is old.
func (s *Syncer) nextWatch() pacing.Watch {
	now := s.Now()
	if s.failing || now-s.Tracker.ConfirmedAt() > pacing.WatchWait {
		return pacing.Watch{}
	}
	return pacing.NextWatch(s.watchStartedAt, now, now-s.readableSince)
}

// OutdatedReadError reports that the store or a peer answered with values from before
// those that are applied. Such an answer is ignored; asking again at once would give the
// same.
type OutdatedReadError struct {
	Read, Applied Position
}

// Error implements error.
func (e *OutdatedReadError) Error() string {
	return "the answer is as of " + e.Read.String() + ", before the applied " + e.Applied.String()
}

// checkOrder returns an *OutdatedReadError if a read cannot be applied, because it is from
// before the applied position or holds only the changes of another era.
func (s *Syncer) checkOrder(from string, r *ReadResult) error {
	applied := s.Tracker.Position()
	if !r.Before(applied) && (r.Full || r.Era == applied.Era) {
		return nil
	}
	s.recordOutOfOrder(from, r, applied)
	return errors.WithStack(&OutdatedReadError{Read: r.Position, Applied: applied})
}

// syncFromStore reads the changes since the last read from the store, or a
// snapshot if nothing was read yet or the store no longer has those changes.
func (s *Syncer) syncFromStore(ctx context.Context) error {
	if !s.failing {
		s.loadHistory(ctx)
	}
	if s.Tracker.Position() != (Position{}) && !s.Tracker.NeedsFullRead(s.Now()) {
		watch := s.nextWatch()
		s.pauseWatch(ctx, watch.Pause)
		s.watchStartedAt = s.Now()
		result, err := s.Store.Changes(ctx, s.Tracker.Position(), watch.Wait)
		var historyLost *HistoryLostError
		if !errors.As(err, &historyLost) {
			if err == nil {
				s.apply(fromChanges, &result)
			}
			return err
		}
		s.Log.WithField("after", historyLost.After.Revision).Warn("store_history_lost")
	}
	result, err := s.Store.Snapshot(ctx)
	if err != nil {
		return err
	}
	if err := s.checkOrder(fromSnapshot, &result); err != nil {
		return err
	}
	first, before := s.Tracker.Current() == nil, s.appliedState()
	s.applySnapshot(ctx, &result)
	if s.hasNewConfig(before) {
		// The store may have held others since the last read.
		s.Tracker.setConfigsKnownSince(s.Tracker.ConfirmedAt())
	}
	if c := s.Tracker.Current(); first && c != nil && !slices.Contains(Readers(c), s.Self) {
		s.historyDeadline = s.Now() + pacing.HistoryPatience
		return nil
	}
	s.loadHistory(ctx)
	return nil
}

// apply applies the result of a read. Where it came from is only logged.
func (s *Syncer) apply(from string, r *ReadResult) {
	confirmedAt := s.Now() - r.Age
	before, deviated := s.Tracker.Position(), s.Tracker.Deviates()
	changed := false
	switch {
	case !r.Full:
		changed = s.Tracker.Apply(r.Position, r.Changes, confirmedAt)
		changed = s.Tracker.ApplyLate(r.Position, r.late, confirmedAt) || changed
		if r.SettlingFor > settleRetryInterval && r.Era == s.Tracker.Position().Era {
			// The peer may have noticed an outage that this process has not.
			s.Tracker.SettleLater(s.Now() + r.SettlingFor)
		}
	case s.isSettled(from, r):
		changed = s.Tracker.Settle(r.Position, r.Changes, confirmedAt)
	case from == fromSnapshot:
		changed = s.Tracker.Replace(r.Position, r.Changes, confirmedAt)
	default:
		changed = s.Tracker.Merge(r.Position, r.Changes, confirmedAt, r.Deviates, s.Now()+max(r.SettlingFor, settleRetryInterval))
	}
	s.logSettling(from, before, deviated)
	s.ignoring = false
	if changed {
		s.reads.add(readChanged)
	} else {
		s.reads.add(readUnchanged)
	}
	if from == fromChanges {
		s.changes.hosts(r.Changes)
	}
	if c := s.Tracker.Current(); changed && c != nil {
		s.changes.record(s.Now(), from, c)
		s.OnChange(c)
	}
}

// isSettled reports whether a full read is known to be up to date: a peer that has settled
// sent it, or the store at the end of the settling.
func (s *Syncer) isSettled(from string, r *ReadResult) bool {
	if from != fromSnapshot {
		return r.SettlingFor == 0
	}
	return r.Era == s.Tracker.Position().Era && s.Tracker.NeedsFullRead(s.Now())
}

// recordOutOfOrder counts a read that cannot be applied, and logs the first of a series.
func (s *Syncer) recordOutOfOrder(from string, r *ReadResult, applied Position) {
	outcome := readOutdated
	if r.Era != applied.Era {
		outcome = readOtherEra
	}
	s.reads.add(outcome)
	if !s.ignoring {
		s.Log.WithFields(logrus.Fields{
			"from": from, "era": r.Era, "revision": r.Revision, "applied_era": applied.Era, "applied_revision": applied.Revision,
			"reason": readOutcomeNames[outcome], "full": r.Full, "changes": len(r.Changes), "age_ms": r.Age.Milliseconds(),
		}).Warn("read_out_of_order")
	}
	s.ignoring = true
}

// logSettling logs that a new era of the store has begun, or that the state no longer
// differs from what the store says. before is the position before the last read, and
// deviated whether the state differed then.
func (s *Syncer) logSettling(from string, before Position, deviated bool) {
	after := s.Tracker.Position()
	fields := logrus.Fields{"from": from, "era": after.Era, "revision": after.Revision, "deviates": s.Tracker.Deviates()}
	switch {
	case before != Position{} && before.Era != after.Era:
		fields["applied_era"], fields["applied_revision"] = before.Era, before.Revision
		s.Log.WithFields(fields).Warn("store_restored")
	case deviated && !s.Tracker.Deviates():
		s.Log.WithFields(fields).Info("store_settled")
	}
}

func (s *Syncer) recordFailure(err error) {
	s.reads.add(readFailed)
	s.Tracker.RecordFailure(s.Now())
	if !s.failing {
		s.Log.WithError(err).WithField("revision", s.Tracker.Position().Revision).Warn("store_lost")
	}
	s.failing = true
}

func (s *Syncer) recordSuccess() {
	s.ownReads.Succeeded()
	if s.failing {
		s.Log.WithField("revision", s.Tracker.Position().Revision).Info("store_regained")
		s.readableSince = s.Now()
	}
	s.failing = false
}
