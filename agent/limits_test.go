package agent

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/audit"
)

func TestLimitChangesAreAudited(t *testing.T) {
	b := newLifecycleBench(t)
	limits := &Limits{}
	step := func(limit int) []audit.Record {
		LimitSeen{Limit: limit}.Apply(b.now, b.board)
		b.board.Node.TakeEffects()
		limits.Step(b.now, b.board)
		var records []audit.Record
		for _, effect := range b.board.Node.TakeEffects() {
			records = append(records, effect.(audit.Record))
		}
		return records
	}
	first := step(1)
	must.Len(t, 3, first)
	must.Eq(t, "limit/slots", first[0].What)
	must.Eq(t, "limit/connections", first[1].What)
	must.Eq(t, "limit/requests", first[2].What)
	must.Eq(t, "1", first[2].To)
	must.SliceEmpty(t, step(1))

	// A ramp is one record for each gap, with the limit of then.
	b.now = b.now.Add(time.Second)
	must.SliceEmpty(t, step(2))
	b.now = b.now.Add(limitRecordGap)
	ramped := step(4)
	must.Len(t, 1, ramped)
	must.Eq(t, "1", ramped[0].From)
	must.Eq(t, "4", ramped[0].To)
	must.Eq(t, b.revision, ramped[0].Revision)
}
