package reload_test

import (
	"io"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/internal/audit"
	"github.com/turmericrock/turmericrock/internal/metrics"
	"github.com/turmericrock/turmericrock/internal/reload"
)

// watcherFunc adapts a function to a Watcher.
type watcherFunc func()

func (s watcherFunc) Check() { s() }

func TestChangesAreAuditedAndFailuresCounted(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	trail := audit.NewTrail(log, 10)
	poller := reload.New(log, trail)
	changed := poller.ChangeRecorder(audit.Keys, "keys.ini")
	failed := poller.FailureRecorder(audit.Keys, "keys.ini")
	poller.Watch(watcherFunc(func() { changed("active=1", "active=2") }))
	poller.Watch(watcherFunc(func() { failed(errors.New("bad")) }))
	poller.Check()
	poller.Check()
	records := trail.Records()
	must.Len(t, 2, records)
	must.Eq(t, "keys", records[0].What)
	must.Eq(t, "active=1", records[0].From)
	must.Eq(t, "active=2", records[0].To)
	must.Eq(t, "keys.ini", records[0].Confirmed)
	counts := make(map[string]int64)
	poller.Collect(func(s metrics.Sample) { counts[s.Name+" "+s.Cause] = s.Value })
	must.Eq(t, map[string]int64{"reloads changed": 2, "reloads refused": 2}, counts)
}
