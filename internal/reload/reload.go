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

// PollInterval is the time between two looks at the files.
const PollInterval = time.Second

// Watcher looks at a file once.
type Watcher interface {
	Check()
}

// Poller looks at files until its context ends.
type Poller struct {
	log      *logrus.Logger
	trail    *audit.Trail
	counters counters
	watchers []Watcher
}

// New returns a loop without files.
func New(log *logrus.Logger, trail *audit.Trail) *Poller {
	return &Poller{log: log, trail: trail}
}

// Watch adds a watcher. It is called before Run.
func (p *Poller) Watch(w Watcher) {
	p.watchers = append(p.watchers, w)
}

// Run looks at the files once in each interval, and on SIGHUP.
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

// Check looks at all files once.
func (p *Poller) Check() {
	for _, w := range p.watchers {
		w.Check()
	}
}

// ChangeRecorder returns the function that records a change of the subject.
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

// FailureRecorder returns the function that records a refused change of the subject.
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
