package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// noticePatience is how long a newer configuration may take to arrive from a reader after a
// notice of it. Most arrive within it, so that the process named in the notice need not be asked.
const noticePatience = 30 * time.Millisecond

// noticeInterval is the shortest time between two requests that follow notices.
const noticeInterval = 100 * time.Millisecond

// configNotices holds the latest notice of a newer configuration. It is safe for concurrent use.
type configNotices struct {
	mu      sync.Mutex
	process [4]byte
	version uint64
	// takenAt is when the last notice was taken, valid if taken is set.
	takenAt time.Duration
	taken   bool
	// due reports that the configuration has not arrived within noticePatience.
	due bool
	// interrupt ends the request that is waiting for a reader, or is nil.
	interrupt func()
}

// add records a notice, and reports whether it is newer than the one that waits, if any.
func (n *configNotices) add(process [4]byte, version uint64, now time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version <= n.version || n.taken && now-n.takenAt < noticeInterval {
		return false
	}
	n.process, n.version, n.due = process, version, false
	return true
}

// expire makes the notice of a version due, unless there is a newer one, or forgets it if the
// configuration has arrived.
func (n *configNotices) expire(version uint64, arrived bool) {
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
func (n *configNotices) take(now time.Duration) (process [4]byte, version uint64, due bool) {
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
func (n *configNotices) onDue(interrupt func()) (release func()) {
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

// ConfigNoticeError reports that a request to a reader was ended, since another process has a
// newer configuration.
type ConfigNoticeError struct{}

// Error implements error.
func (e *ConfigNoticeError) Error() string {
	return "another process has a newer configuration"
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
	if c == nil || version <= c.Config.Version || !s.notices.add(process, version, s.Now()) {
		return
	}
	time.AfterFunc(noticePatience, func() {
		s.notices.expire(version, s.Tracker.Current().Config.Version >= version)
	})
}

// requestUntilNotice is like PeerClient.request, but returns a *ConfigNoticeError as soon as a
// notice is due.
func (s *Syncer) requestUntilNotice(ctx context.Context, address string, after Position, wait time.Duration, options peerOptions) (ReadResult, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	release := s.notices.onDue(func() { cancel(errors.WithStack(&ConfigNoticeError{})) })
	defer release()
	result, err := s.Peers.request(ctx, address, after, wait, options)
	var noticed *ConfigNoticeError
	if err != nil && errors.As(context.Cause(ctx), &noticed) {
		return result, errors.WithStack(noticed)
	}
	return result, err
}

// syncFromNotified reads the changes from the process that is known to have a newer
// configuration, if a notice is due.
func (s *Syncer) syncFromNotified(ctx context.Context) {
	process, version, due := s.notices.take(s.Now())
	if !due {
		return
	}
	address := s.peerAddress(process)
	err := s.syncFromPeer(ctx, address, 0)
	log := s.Log.WithFields(logrus.Fields{"peer": address, "config": version, "applied": s.appliedState().version})
	if err != nil {
		log = log.WithError(err)
	}
	log.Info("config_noticed")
}
