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

func TestDisruptionCoversBrokenRequestsByHostAndTime(t *testing.T) {
	at := time.Unix(1_000, 0)
	disruption := callers.Disruption{Host: "host-1", ZoneOut: true, From: at, To: at.Add(5 * time.Second)}
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
	w := &world.World{RunCounter: backend.NewRunCounter(), RequestLog: world.NewRequestLog()}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := &callers.Outcome{Host: c.host, StartedAt: c.began, EndedAt: c.ended, Err: &caller.OutcomeUnknownError{}}
			tally := callers.Count(w, []*callers.Outcome{o}, []callers.Disruption{disruption})
			must.Len(t, c.broken, tally.Broken)
			must.EqOp(t, 1-c.broken, tally.BrokenByZoneOut)
		})
	}
}

func TestResponsesAreCheckedByBodyAndStatus(t *testing.T) {
	w := &world.World{RunCounter: backend.NewRunCounter(), RequestLog: world.NewRequestLog()}
	outcomes := []*callers.Outcome{
		{Status: 200, BodyMatches: true},
		{Status: 200},
		{Status: 200, WrongService: true},
		{Status: 500, BodyMatches: true},
	}
	tally := callers.Count(w, outcomes, nil)
	must.EqOp(t, 4, tally.Answered)
	must.EqOp(t, 3, tally.BodyMismatches)
	must.EqOp(t, 1, tally.Misrouted)
}
