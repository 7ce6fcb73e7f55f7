package catalog

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	// storeWatchWait is how long the store is asked to wait for a change. A watch
	// that went silent is noticed well inside the bound of a configuration.
	storeWatchWait = 900 * time.Millisecond
	// retryInterval is the time before a failed reading is repeated.
	retryInterval = 250 * time.Millisecond
	// peerWatchWait is how long a reader is asked to wait for a change.
	peerWatchWait = 600 * time.Millisecond
	// maxPeerAge is how old the store's word may be at a reader.
	maxPeerAge = 1600 * time.Millisecond
	// maxHistoryCalls is how often the store is asked for its history.
	maxHistoryCalls = 8
	// historyMargin is how many changes other than those of hosts are looked back
	// on, as many as come in the seconds in which hosts describe themselves anew.
	historyMargin = 64
	// historySearchDivisor divides what is looked back on where the store has forgotten it.
	historySearchDivisor = 4
	// failedReaderBackoff is how long a reader that failed is left alone.
	failedReaderBackoff = 2 * time.Second
)

// Syncer keeps a tracker up with what is declared. A few agents read the
// store; the others ask them, and read the store themselves when no reader
// answers or the readers' word is old. A process that cannot reach the store
// at its start asks the seeds.
type Syncer struct {
	Store   Source
	Peers   *PeerClient
	Tracker *Tracker
	// Self is the address of this process, and Zone its zone.
	Self [4]byte
	Zone string
	// PeerPort is the port that readers answer at.
	PeerPort uint16
	// Seeds are addresses of processes that may know a configuration.
	Seeds []string
	// ReadHistory tells that the process decides by the absence of hosts, so that it
	// reads what came before its start.
	ReadHistory bool
	Log         *logrus.Entry
	// Now is the process's own clock.
	Now func() time.Duration
	// OnChange is called after a snapshot with changes was published.
	OnChange func(*Catalog)

	snapshotLoaded bool
	failing        bool
	backoff        startupBackoff
	// readerRetryAt holds until when a reader is left alone.
	readerRetryAt map[string]time.Duration
}

// Run reads until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	s.readerRetryAt = make(map[string]time.Duration)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(s.syncOnce(ctx))
	}
}

// syncOnce reads once and returns the time until the next reading.
func (s *Syncer) syncOnce(ctx context.Context) time.Duration {
	if c := s.Tracker.Current(); c != nil && s.syncFromReaders(ctx, c) {
		s.recordSuccess()
		return 0
	}
	if err := s.syncFromStore(ctx); err != nil {
		s.recordFailure(err)
		if !s.snapshotLoaded {
			s.syncFromSeeds(ctx)
			return s.backoff.delay()
		}
		return retryInterval
	}
	s.recordSuccess()
	return 0
}

// watchWait returns how long the store is asked to wait: not at all while
// readings fail, since the process's word is old then.
func (s *Syncer) watchWait() time.Duration {
	if s.failing || s.Now()-s.Tracker.ConfirmedAt() > storeWatchWait {
		return 0
	}
	return storeWatchWait
}

// syncFromReaders asks the readers in turn. It reports whether one had the store's
// recent word.
func (s *Syncer) syncFromReaders(ctx context.Context, c *Catalog) bool {
	readers := ReadersFor(c, s.Self, s.Zone)
	for _, reader := range readers {
		if reader == s.Self {
			return false
		}
	}
	wait := peerWatchWait
	for _, reader := range readers {
		address := netip.AddrPortFrom(netip.AddrFrom4(reader), s.PeerPort).String()
		if s.Now() < s.readerRetryAt[address] {
			continue
		}
		err := s.syncFromPeer(ctx, address, wait, maxPeerAge)
		if err == nil {
			return true
		}
		s.Log.WithError(err).WithField("reader", address).Warn("reader_lost")
		s.readerRetryAt[address] = s.Now() + failedReaderBackoff
		// The time that was spent on a lost reader is not waited for once more.
		wait = 0
	}
	return false
}

// StalePeerError reports a peer whose word is too old to rely on.
type StalePeerError struct {
	Age time.Duration
}

// Error implements error.
func (e *StalePeerError) Error() string {
	return "the peer last read the store " + strconv.FormatInt(e.Age.Milliseconds(), 10) + " ms ago"
}

func (s *Syncer) syncFromPeer(ctx context.Context, address string, wait, maxAge time.Duration) error {
	result, err := s.Peers.Changes(ctx, address, s.Tracker.Revision(), wait)
	if err != nil {
		return err
	}
	s.apply("peer", &result)
	if result.Age > maxAge {
		return &StalePeerError{Age: result.Age}
	}
	return nil
}

func (s *Syncer) syncFromStore(ctx context.Context) error {
	if s.snapshotLoaded {
		result, err := s.Store.Changes(ctx, s.Tracker.Revision(), s.watchWait())
		var historyLost *HistoryLostError
		if !errors.As(err, &historyLost) {
			if err == nil {
				s.apply("changes", &result)
			}
			return err
		}
		s.Log.WithField("after", historyLost.After).Warn("store_history_lost")
	}
	result, err := s.Store.Snapshot(ctx)
	if err != nil {
		return err
	}
	first := !s.snapshotLoaded
	s.snapshotLoaded = true
	s.apply("snapshot", &result)
	if first {
		s.loadHistory(ctx, result.Revision)
	}
	return nil
}

// loadHistory reads what came before the first reading, as far back as the store
// remembers. Without it, the list of hosts may lack some that live.
func (s *Syncer) loadHistory(ctx context.Context, revision int64) {
	if !s.ReadHistory || s.Tracker.Current() == nil {
		return
	}
	changes, after := s.findHistory(ctx, revision)
	if after == revision {
		s.Log.WithField("revision", revision).Info("history_unknown")
		return
	}
	complete := s.Tracker.ApplyHistory(changes, s.Now())
	s.Log.WithFields(logrus.Fields{
		"revision": revision, "after": after, "changes": len(changes), "complete": complete,
	}).Info("history_read")
}

// findHistory returns what the store remembers of hosts up to a revision, and the
// revision after which it begins. It looks back on a lapse and a return of each
// host, or as far as it can: the store tells only whether it remembers what came
// after one revision, so that the reach is searched for.
func (s *Syncer) findHistory(ctx context.Context, revision int64) (changes []Change, after int64) {
	window := int64(2*len(s.Tracker.Current().Hosts) + historyMargin)
	lostRevision, after := int64(-1), revision
	for range maxHistoryCalls {
		next := nextHistoryStart(lostRevision, after, revision, window)
		if next <= lostRevision || next >= after {
			break
		}
		result, err := s.Store.HostChanges(ctx, next)
		var historyLost *HistoryLostError
		switch {
		case errors.As(err, &historyLost):
			lostRevision = next
			continue
		case err != nil:
			s.Log.WithError(err).Info("history_failed")
			return changes, after
		}
		changes, after = result.Changes, next
		if lostRevision < 0 {
			break
		}
	}
	return changes, after
}

// nextHistoryStart returns the revision to ask for next: ever nearer ones until the
// store remembers one, then those between it and the nearest that is forgotten.
func nextHistoryStart(lostRevision, after, revision, window int64) int64 {
	switch {
	case after < revision:
		return (lostRevision + after) / 2
	case lostRevision < 0:
		return max(0, revision-window)
	default:
		return revision - max(1, (revision-lostRevision)/historySearchDivisor)
	}
}

// syncFromSeeds asks the seeds for what they know, however old it is: it is better
// than nothing while the store is away.
func (s *Syncer) syncFromSeeds(ctx context.Context) {
	for _, seed := range s.Seeds {
		result, err := s.Peers.Changes(ctx, seed, s.Tracker.Revision(), 0)
		if err != nil {
			s.Log.WithError(err).WithField("seed", seed).Debug("seed_failed")
			continue
		}
		s.apply("seed", &result)
		return
	}
}

func (s *Syncer) apply(from string, r *ReadResult) {
	confirmedAt := s.Now() - r.Age
	changed := false
	if r.Full {
		changed = s.Tracker.Replace(r.Revision, r.Changes, confirmedAt)
	} else {
		changed = s.Tracker.Apply(r.Revision, r.Changes, confirmedAt)
	}
	if c := s.Tracker.Current(); changed && c != nil {
		s.logChange(from, c)
		s.OnChange(c)
	}
}

func (s *Syncer) logChange(from string, c *Catalog) {
	draining := 0
	for _, h := range c.Hosts {
		if h.Draining {
			draining++
		}
	}
	s.Log.WithFields(logrus.Fields{
		"from": from, "revision": c.Revision, "config": c.Config.Version, "routes": len(c.Config.Routes),
		"hosts": len(c.Hosts), "draining": draining, "zones_out": len(c.Evacuated),
		"age_ms": (s.Now() - c.ConfirmedAt).Milliseconds(),
	}).Info("catalog_changed")
}

func (s *Syncer) recordFailure(err error) {
	s.Tracker.RecordFailure()
	if !s.failing {
		s.Log.WithError(err).WithField("revision", s.Tracker.Revision()).Warn("store_lost")
	}
	s.failing = true
}

func (s *Syncer) recordSuccess() {
	if s.failing {
		s.Log.WithField("revision", s.Tracker.Revision()).Info("store_regained")
	}
	s.failing = false
}
