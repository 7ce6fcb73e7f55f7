// Package reload applies changes of key and certificate files to a running process
// without a restart.
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

// PollInterval is the time between two checks of the files.
const PollInterval = time.Second

// Watcher checks a file for changes and applies them.
type Watcher interface {
	Check()
}

// Poller checks files periodically.
type Poller struct {
	log      *logrus.Logger
	trail    *audit.Trail
	counters counters
	watchers []Watcher
}

// New returns a poller without watchers.
func New(log *logrus.Logger, trail *audit.Trail) *Poller {
	return &Poller{log: log, trail: trail}
}

// Watch adds a watcher. It must be called before Run.
func (p *Poller) Watch(w Watcher) {
	p.watchers = append(p.watchers, w)
}

// Run checks all files immediately, then at each PollInterval and on SIGHUP, until ctx is
// done.
func (p *Poller) Run(ctx context.Context) {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		p.Check()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-sighup:
		}
	}
}

// Check checks all files once.
func (p *Poller) Check() {
	for _, w := range p.watchers {
		w.Check()
	}
}

// ChangeRecorder returns a function that counts a change of the file at path and
// adds it to the audit trail under the subject.
func (p *Poller) ChangeRecorder(subject audit.Subject, path string) func(from, to string) {
	return func(from, to string) {
		p.counters.changed.Add(1)
		p.trail.Add(audit.Record{
			At:        time.Now(),
			What:      string(subject),
			From:      from,
			To:        to,
			Cause:     "file_changed",
			Confirmed: path,
		})
	}
}

// FailureRecorder returns a function that counts and logs a change of the file at
// path that could not be applied.
func (p *Poller) FailureRecorder(subject audit.Subject, path string) func(error) {
	return func(err error) {
		p.counters.refused.Add(1)
		p.log.WithFields(logrus.Fields{"what": subject, "file": path, "error": err}).Error("reload_refused")
	}
}

// Collect implements metrics.Source.
func (p *Poller) Collect(emit func(metrics.Sample)) {
	emit(metrics.Sample{Name: "reloads", Cause: "changed", Value: p.counters.changed.Load()})
	emit(metrics.Sample{Name: "reloads", Cause: "refused", Value: p.counters.refused.Load()})
}
