package agent

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/audit"
)

func TestLimitChangesAreAudited(t *testing.T) {
	h := newLifecycleHarness(t)
	limits := &LimitAuditor{}
	step := func(limit int) []audit.Record {
		LimitSampled{Limit: limit}.Apply(h.now, h.board)
		h.board.Node.TakeEffects()
		limits.Step(h.now, h.board)
		var records []audit.Record
		for _, effect := range h.board.Node.TakeEffects() {
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

	// A gradual rise is recorded once for each limitAuditInterval, with the limit
	// at the time of the record.
	h.now = h.now.Add(time.Second)
	must.SliceEmpty(t, step(2))
	h.now = h.now.Add(limitAuditInterval)
	ramped := step(4)
	must.Len(t, 1, ramped)
	must.Eq(t, "1", ramped[0].From)
	must.Eq(t, "4", ramped[0].To)
	must.Eq(t, h.revision, ramped[0].Revision)
}
