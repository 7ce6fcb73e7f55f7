package catalog

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	// maxHistoryCalls limits the number of requests for the store's history.
	maxHistoryCalls = 8
	// historyMargin is the number of changes other than those of hosts to look
	// back on. It covers those that occur in the seconds in which all hosts
	// renew their entries.
	historyMargin = 64
	// historySearchDivisor is the factor by which the range of revisions to
	// look back on shrinks when the store no longer has the changes in it.
	historySearchDivisor = 4
)

// loadHistory reads the changes before the first read of the store, as far back as it
// keeps them, unless a seed has told what they would. Without them, the list of hosts may
// lack some that are still running.
func (s *Syncer) loadHistory(ctx context.Context) {
	if !s.historyPending || s.Tracker.Current() == nil {
		return
	}
	s.historyPending = false
	position := s.Tracker.Position()
	changes, after := s.findHistory(ctx, position)
	if after == position.Revision {
		s.Log.WithField("revision", position.Revision).Info("history_unknown")
		return
	}
	complete := s.Tracker.ApplyHistory(changes, s.Now())
	s.Log.WithFields(logrus.Fields{
		"revision": position.Revision, "after": after, "changes": len(changes), "complete": complete,
	}).Info("history_read")
}

// findHistory returns the host changes up to a position, and the revision after
// which they begin. It looks back far enough to cover one expiry and one return
// of each host, or as far as the store allows. The store only tells whether it
// still has the changes after a given revision, so the earliest such revision
// is found by search.
func (s *Syncer) findHistory(ctx context.Context, position Position) (changes []Change, after int64) {
	window := int64(2*len(s.Tracker.Current().Hosts) + historyMargin)
	revision := position.Revision
	lostRevision, after := int64(-1), revision
	for range maxHistoryCalls {
		next := nextHistoryStart(lostRevision, after, revision, window)
		if next <= lostRevision || next >= after {
			break
		}
		result, err := s.Store.HostChanges(ctx, Position{Era: position.Era, Revision: next})
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

// nextHistoryStart returns the revision to ask for next. It moves towards the
// current revision until the store has the changes after it, and then bisects
// between that revision and the latest one whose changes are lost.
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
