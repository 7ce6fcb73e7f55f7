package catalog

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
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

// Source reads what is declared.
type Source interface {
	// Snapshot returns everything, and a revision that it includes.
	Snapshot(ctx context.Context) ([]Change, int64, error)
	// Changes returns what has changed after a revision, and the revision up
	// to which it is complete. It fails with a HistoryLostError.
	Changes(ctx context.Context, after int64, wait time.Duration) ([]Change, int64, error)
}

const (
	// PollInterval is the time between readings. It leaves room for several
	// failed readings inside the bound of a change of configuration.
	PollInterval = 700 * time.Millisecond
	// retryInterval is the time before a failed reading is repeated.
	retryInterval = 250 * time.Millisecond
)

// Syncer keeps a tracker up with a source.
type Syncer struct {
	Source  Source
	Tracker *Tracker
	Log     *logrus.Entry
	// Now is the process's own clock.
	Now func() time.Duration
	// Changed is called after a snapshot with changes was published.
	Changed func(*Catalog)

	synced  bool
	failing bool
}

// Run reads until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if err := s.read(ctx); err != nil {
			s.fail(err)
			timer.Reset(retryInterval)
			continue
		}
		s.recovered()
		timer.Reset(PollInterval)
	}
}

func (s *Syncer) read(ctx context.Context) error {
	if s.synced {
		changes, revision, err := s.Source.Changes(ctx, s.Tracker.Revision(), 0)
		var lost *HistoryLostError
		if !errors.As(err, &lost) {
			if err == nil && s.Tracker.Apply(revision, changes, s.Now()) {
				s.publish("changes")
			}
			return err
		}
		s.Log.WithField("after", lost.After).Warn("store_history_lost")
	}
	changes, revision, err := s.Source.Snapshot(ctx)
	if err != nil {
		return err
	}
	s.Tracker.Replace(revision, changes, s.Now())
	s.synced = true
	s.publish("snapshot")
	return nil
}

func (s *Syncer) publish(from string) {
	c := s.Tracker.Current()
	if c == nil {
		return
	}
	draining := 0
	for _, h := range c.Hosts {
		if h.Draining {
			draining++
		}
	}
	s.Log.WithFields(logrus.Fields{
		"from": from, "revision": c.Revision, "config": c.Config.Version, "routes": len(c.Config.Routes),
		"hosts": len(c.Hosts), "draining": draining, "zones_out": len(c.Evacuated),
	}).Info("catalog_changed")
	s.Changed(c)
}

func (s *Syncer) fail(err error) {
	s.Tracker.Failed()
	if !s.failing {
		s.Log.WithError(err).WithField("revision", s.Tracker.Revision()).Warn("store_lost")
	}
	s.failing = true
}

func (s *Syncer) recovered() {
	if s.failing {
		s.Log.WithField("revision", s.Tracker.Revision()).Info("store_regained")
	}
	s.failing = false
}
