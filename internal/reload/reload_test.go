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

// step is a watcher that calls a function.
type step func()

func (s step) Check() { s() }

func TestChangesAreAuditedAndRefusalsCounted(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	trail := audit.NewTrail(log, 10)
	loop := reload.New(log, trail)
	changed := loop.Changed(audit.Keys, "keys.ini")
	failed := loop.Failed(audit.Keys, "keys.ini")
	loop.Watch(step(func() { changed("active=1", "active=2") }))
	loop.Watch(step(func() { failed(errors.New("bad")) }))
	loop.Check()
	loop.Check()
	records := trail.Records()
	must.Len(t, 2, records)
	must.Eq(t, "keys", records[0].What)
	must.Eq(t, "active=1", records[0].From)
	must.Eq(t, "active=2", records[0].To)
	must.Eq(t, "keys.ini", records[0].Confirmed)
	counts := make(map[string]int64)
	loop.Collect(func(s metrics.Sample) { counts[s.Name+" "+s.Cause] = s.Value })
	must.Eq(t, map[string]int64{"reloads changed": 2, "reloads refused": 2}, counts)
}
