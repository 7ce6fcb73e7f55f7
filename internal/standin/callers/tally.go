package callers

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/internal/standin/world"
)

// Disruption is a host whose flows may break in a time, since its zone was taken
// out or its backend server ended unannounced.
type Disruption struct {
	Host string
	// ZoneOut tells that operators have taken the host's zone out.
	ZoneOut  bool
	From, To time.Time
}

// covers reports whether a request that ended at the host is excused. A
// session that was never answered may have ended at any host of a zone.
func (d Disruption) covers(host string, o *Outcome) bool {
	hostMatches := d.Host == host || d.ZoneOut && host == ""
	return hostMatches && !o.EndedAt.Before(d.From) && o.StartedAt.Before(d.To)
}

// Tally sums up what callers and stand-ins counted.
type Tally struct {
	Requests int
	Answered int
	// Broken are the requests whose flow ended under them, without excuse.
	Broken []*Outcome
	// BrokenByZoneOut and KillBroken count those that were given up.
	BrokenByZoneOut int
	BrokenByKill    int
	// TimedOut counts requests of any kind that met their deadline.
	TimedOut int
	// Stalls counts waits of more than StallTime between pieces of feeds.
	Stalls int
	// BodyMismatches counts answers that differ from the one expected.
	BodyMismatches int
	Refused        int
	// FalseRefusals counts refusals as not run of requests that ran.
	FalseRefusals int
	// DuplicateRuns counts request IDs that ran twice, Crossed requests at a
	// foreign backend server and foreign answers.
	DuplicateRuns int
	Misrouted     int
}

// Count sums up the outcomes.
func Count(w *world.World, outcomes []*Outcome, disruptions []Disruption) Tally {
	t := Tally{DuplicateRuns: w.RunCounter.Duplicates(), Misrouted: w.RequestLog.Misrouted()}
	for _, o := range outcomes {
		t.Requests++
		t.Stalls += countStalls(o)
		if errors.Is(o.Err, context.DeadlineExceeded) {
			t.TimedOut++
		}
		switch {
		case o.Err == nil:
			t.addResponse(o)
		case o.NotRun:
			t.addRefusal(wasRun(w, o))
		default:
			t.addBroken(w, o, disruptions)
		}
	}
	return t
}

// StallThreshold is the wait from which a feed counts as stalled.
const StallThreshold = 2 * time.Second

func countStalls(o *Outcome) int {
	count := 0
	for _, gap := range o.Gaps {
		if gap.Duration > StallThreshold {
			count++
		}
	}
	return count
}

func (t *Tally) addResponse(o *Outcome) {
	t.Answered++
	if o.WrongService {
		t.Misrouted++
	}
	if !o.BodyMatches || o.Status != http.StatusOK {
		t.BodyMismatches++
	}
}

func (t *Tally) addRefusal(wasRun bool) {
	t.Refused++
	if wasRun {
		t.FalseRefusals++
	}
}

// wasRun reports whether a backend server began the request. Feeds are never
// shed, so that one which arrived has run.
func wasRun(w *world.World, o *Outcome) bool {
	if o.Feed {
		return len(w.RequestLog.Hosts(o.ID)) > 0
	}
	return w.RunCounter.Runs(o.ID) > 0
}

func (t *Tally) addBroken(w *world.World, o *Outcome, disruptions []Disruption) {
	if hosts := w.RequestLog.Hosts(o.ID); len(hosts) > 0 {
		o.Host = hosts[len(hosts)-1]
	}
	for _, disruption := range disruptions {
		if !disruption.covers(o.Host, o) {
			continue
		}
		if disruption.ZoneOut {
			t.BrokenByZoneOut++
		} else {
			t.BrokenByKill++
		}
		return
	}
	t.Broken = append(t.Broken, o)
}
