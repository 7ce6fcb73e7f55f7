package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// noticePatience is how long a newer state may take to arrive from a reader after a notice of
// it. Most arrive within it, so that the process named in the notice need not be asked.
const noticePatience = 30 * time.Millisecond

// noticeInterval is the shortest time between two requests that follow notices.
const noticeInterval = 100 * time.Millisecond

// notices holds the latest notice that another process has a newer state: a later version of the
// configuration, or a later revision of the store. It is safe for concurrent use.
type notices struct {
	mu      sync.Mutex
	process [4]byte
	version uint64
	// takenAt is when the last notice was taken, valid if taken is set.
	takenAt time.Duration
	taken   bool
	// due reports that the version has not arrived within noticePatience.
	due bool
	// interrupt ends the request that is waiting for a reader, or is nil.
	interrupt func()
}

// add records a notice, and reports whether it is newer than the one that waits, if any.
func (n *notices) add(process [4]byte, version uint64, now time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version <= n.version || n.taken && now-n.takenAt < noticeInterval {
		return false
	}
	n.process, n.version, n.due = process, version, false
	return true
}

// expire makes the notice of a version due, unless there is a newer one, or forgets it if the
// version has arrived.
func (n *notices) expire(version uint64, arrived bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.version != version:
		return
	case arrived:
		n.version = 0
		return
	}
	n.due = true
	if n.interrupt != nil {
		n.interrupt()
	}
}

// take returns the process of the notice that is due, and false if none is.
func (n *notices) take(now time.Duration) (process [4]byte, version uint64, due bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.due {
		return process, 0, false
	}
	process, version = n.process, n.version
	n.version, n.due, n.takenAt, n.taken = 0, false, now, true
	return process, version, true
}

// onDue makes a function be called when a notice is due, at once if one is, until release is
// called.
func (n *notices) onDue(interrupt func()) (release func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.interrupt = interrupt
	if n.due {
		interrupt()
	}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.interrupt = nil
	}
}

// NewerStateError reports that a request to a reader was ended, since another process has a
// newer state.
type NewerStateError struct{}

// Error implements error.
func (e *NewerStateError) Error() string {
	return "another process has a newer state"
}

// NotifyConfig tells the syncer that another process acts on a version of the configuration. If
// it is newer than the applied one and no reader sends it soon, the process is asked for it.
// NotifyConfig does not block and is safe for concurrent use.
//
// Load pattern: readers learn of a change at different times, so that processes of two zones act
// on different configurations. An opening that an entry of one zone sends to a host of the other
// is handled by the new configuration, and the next one, to a host of its own zone, by the old.
func (s *Syncer) NotifyConfig(process [4]byte, version uint64) {
	c := s.Tracker.Current()
	if c == nil || version <= c.Config.Version || !s.configNotices.add(process, version, s.Now()) {
		return
	}
	time.AfterFunc(noticePatience, func() {
		s.configNotices.expire(version, s.Tracker.Current().Config.Version >= version)
	})
}

// notifyPosition tells the syncer that another process knows the store up to a position. If the
// applied state is older and no reader sends the changes soon, the process is asked for them. It
// does not block and is safe for concurrent use.
//
// Load pattern: the reader of a zone is cut off from the store while hosts are replaced. The
// processes that ask it would learn of the new hosts only once its data is too old to rely on.
func (s *Syncer) notifyPosition(process [4]byte, position Position) {
	c, revision := s.Tracker.Current(), uint64(position.Revision)
	if process == s.Self || c == nil || !c.Position.Before(position) || !s.listNotices.add(process, revision, s.Now()) {
		return
	}
	time.AfterFunc(noticePatience, func() {
		s.listNotices.expire(revision, !s.Tracker.Current().Position.Before(position))
	})
}

// requestUntilNotice is like PeerClient.request, but returns a *NewerStateError as soon as a
// notice is due.
func (s *Syncer) requestUntilNotice(ctx context.Context, address string, after Position, wait time.Duration, options peerOptions) (ReadResult, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	interrupt := func() { cancel(errors.WithStack(&NewerStateError{})) }
	defer s.configNotices.onDue(interrupt)()
	defer s.listNotices.onDue(interrupt)()
	result, err := s.Peers.request(ctx, address, after, wait, options)
	var noticed *NewerStateError
	if err != nil && errors.As(context.Cause(ctx), &noticed) {
		return result, errors.WithStack(noticed)
	}
	return result, err
}

// syncFromNotified reads the changes from the processes that are known to have a newer
// configuration or to know later changes of the store, if notices are due.
func (s *Syncer) syncFromNotified(ctx context.Context) {
	if process, version, due := s.configNotices.take(s.Now()); due {
		err := s.syncFromPeer(ctx, s.peerAddress(process), 0)
		s.logNotice("config_noticed", process, err, logrus.Fields{"config": version, "applied": s.appliedState().version})
	}
	if process, revision, due := s.listNotices.take(s.Now()); due {
		err := s.syncFromPeer(ctx, s.peerAddress(process), 0)
		s.logNotice("list_noticed", process, err, logrus.Fields{"revision": revision, "applied_revision": s.Tracker.Position().Revision})
	}
}

// logNotice logs that a process was asked for its newer state, and the error, which may be nil.
func (s *Syncer) logNotice(event string, process [4]byte, err error, fields logrus.Fields) {
	log := s.Log.WithFields(fields).WithField("peer", s.peerAddress(process))
	if err != nil {
		log = log.WithError(err)
	}
	log.Info(event)
}
