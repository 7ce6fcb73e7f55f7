// Package reload brings changes of files into a running process: keys and
// certificates.
package reload

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/internal/audit"
	"github.com/turmericrock/turmericrock/internal/metrics"
)

// Interval is the time between two looks at the files.
const Interval = time.Second

// Watcher looks at a file once.
type Watcher interface {
	Check()
}

// Loop looks at files until its context ends.
type Loop struct {
	log      *logrus.Logger
	trail    *audit.Trail
	outcomes outcomes
	watchers []Watcher
}

// New returns a loop without files.
func New(log *logrus.Logger, trail *audit.Trail) *Loop {
	return &Loop{log: log, trail: trail}
}

// Watch adds a watcher. It is called before Run.
func (l *Loop) Watch(w Watcher) {
	l.watchers = append(l.watchers, w)
}

// Run looks at the files once in each interval, and on SIGHUP.
func (l *Loop) Run(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		l.Check()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-hangup:
		}
	}
}

// Check looks at all files once.
func (l *Loop) Check() {
	for _, w := range l.watchers {
		w.Check()
	}
}

// Changed returns the function that records a change of the subject.
func (l *Loop) Changed(subject audit.Subject, path string) func(from, to string) {
	return func(from, to string) {
		l.outcomes.changed.Add(1)
		l.trail.Add(audit.Record{
			At:        time.Now(),
			What:      string(subject),
			From:      from,
			To:        to,
			Cause:     "file_changed",
			Confirmed: path,
		})
	}
}

// Failed returns the function that records a refused change of the subject.
func (l *Loop) Failed(subject audit.Subject, path string) func(error) {
	return func(err error) {
		l.outcomes.refused.Add(1)
		l.log.WithFields(logrus.Fields{"what": subject, "file": path, "error": err}).Error("reload_refused")
	}
}

// Collect implements metrics.Source.
func (l *Loop) Collect(emit func(metrics.Sample)) {
	emit(metrics.Sample{Name: "reloads", Cause: "changed", Value: l.outcomes.changed.Load()})
	emit(metrics.Sample{Name: "reloads", Cause: "refused", Value: l.outcomes.refused.Load()})
}
