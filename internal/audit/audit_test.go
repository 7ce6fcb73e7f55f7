package audit_test

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/turmericrock/turmericrock/internal/audit"
)

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func TestTrailKeepsLatestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		added := rapid.IntRange(0, 30).Draw(t, "added")
		trail := audit.NewTrail(discardLogger(), size)
		for i := range added {
			trail.Add(audit.Record{To: strconv.Itoa(i)})
		}
		records := trail.Records()
		must.Len(t, min(size, added), records)
		for i, record := range records {
			must.Eq(t, strconv.Itoa(added-len(records)+i), record.To)
		}
		must.Eq(t, uint64(added), trail.Added())
	})
}

func TestFilter(t *testing.T) {
	now := time.Date(2026, 1, 31, 9, 0, 0, 0, time.UTC)
	trail := audit.NewTrail(discardLogger(), 10)
	trail.Add(audit.Record{At: now.Add(-time.Hour), What: audit.Zone.Of("mid-1"), To: "old"})
	trail.Add(audit.Record{At: now, What: audit.Zone.Of("mid-2"), To: "zone"})
	trail.Add(audit.Record{At: now, What: string(audit.Keys), To: "keys"})
	cases := []struct {
		what, since string
		want        []string
	}{
		{"", "", []string{"old", "zone", "keys"}},
		{"zone", "", []string{"old", "zone"}},
		{"zone/mid-2", "", []string{"zone"}},
		{"zon", "", nil},
		{"", "15m", []string{"zone", "keys"}},
		{"zone", "2026-01-31T08:30:00Z", []string{"zone"}},
	}
	for _, c := range cases {
		filter, err := audit.ParseFilter(c.what, c.since, now)
		must.NoError(t, err)
		var out bytes.Buffer
		must.NoError(t, trail.WriteLines(&out, filter))
		must.Eq(t, c.want, decodeTo(t, &out))
	}
	_, err := audit.ParseFilter("", "yesterday", now)
	var invalid *audit.FilterError
	must.True(t, errors.As(err, &invalid))
}

// decodeTo returns the To fields of the JSON lines.
func decodeTo(t *testing.T, lines io.Reader) []string {
	var all []string
	decoder := json.NewDecoder(lines)
	for decoder.More() {
		var record audit.Record
		must.NoError(t, decoder.Decode(&record))
		all = append(all, record.To)
	}
	return all
}
