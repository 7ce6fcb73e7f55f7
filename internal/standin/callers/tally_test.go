package callers_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/caller"
	"github.com/turmericrock/turmericrock/internal/standin/backend"
	"github.com/turmericrock/turmericrock/internal/standin/callers"
	"github.com/turmericrock/turmericrock/internal/standin/world"
)

func TestBrokenFlowsAreExcusedByHostAndTime(t *testing.T) {
	at := time.Unix(1_000, 0)
	excuse := callers.Excuse{Host: "host-1", Zone: true, From: at, To: at.Add(5 * time.Second)}
	cases := []struct {
		name   string
		host   string
		began  time.Time
		ended  time.Time
		broken int
	}{
		{"in service at the event", "host-1", at.Add(-time.Second), at.Add(time.Second), 0},
		{"another host", "host-2", at.Add(-time.Second), at.Add(time.Second), 1},
		{"before the event", "host-1", at.Add(-2 * time.Second), at.Add(-time.Second), 1},
		{"long after the event", "host-1", at.Add(6 * time.Second), at.Add(7 * time.Second), 1},
		{"never answered", "", at.Add(-time.Second), at.Add(time.Second), 0},
	}
	w := &world.World{Ledger: backend.NewLedger(), Journal: world.NewJournal()}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := &callers.Outcome{Host: c.host, Began: c.began, Ended: c.ended, Err: &caller.OutcomeUnknownError{}}
			tally := callers.Count(w, []*callers.Outcome{o}, []callers.Excuse{excuse})
			must.Len(t, c.broken, tally.Broken)
			must.EqOp(t, 1-c.broken, tally.ZoneBroken)
		})
	}
}

func TestAnswersAreJudgedByContent(t *testing.T) {
	w := &world.World{Ledger: backend.NewLedger(), Journal: world.NewJournal()}
	outcomes := []*callers.Outcome{
		{Status: 200, Whole: true},
		{Status: 200},
		{Status: 200, Foreign: true},
		{Status: 500, Whole: true},
	}
	tally := callers.Count(w, outcomes, nil)
	must.EqOp(t, 4, tally.Answered)
	must.EqOp(t, 3, tally.NotWhole)
	must.EqOp(t, 1, tally.Crossed)
}
