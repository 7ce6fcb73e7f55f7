package callers

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/internal/standin/world"
)

// Disruption is a time window in which flows to a host are expected to break,
// because its availability zone was taken out of service or its backend server
// was killed.
type Disruption struct {
	Host string
	// ZoneOut tells whether operators took the host's availability zone out of
	// service.
	ZoneOut  bool
	From, To time.Time
}

// covers reports whether the disruption explains the failure of a request to
// the host. If the session has never received a response, its host is unknown,
// and any host of an availability zone that was taken out may have been the
// one.
func (d Disruption) covers(host string, o *Outcome) bool {
	hostMatches := d.Host == host || d.ZoneOut && host == ""
	return hostMatches && !o.EndedAt.Before(d.From) && o.StartedAt.Before(d.To)
}

// Tally holds the counts of a run, from the callers' outcomes and from the
// stand-ins.
type Tally struct {
	Requests int
	Answered int
	// Broken are the requests that failed with an unknown outcome and that no
	// disruption explains.
	Broken []*Outcome
	// BrokenByZoneOut and BrokenByKill count the failed requests that a
	// disruption explains, by its kind.
	BrokenByZoneOut int
	BrokenByKill    int
	// TimedOut counts requests of any kind that exceeded their deadline.
	TimedOut int
	// Stalls counts gaps in feeds that are longer than StallThreshold.
	Stalls int
	// BodyMismatches counts responses with an unexpected body or a status
	// other than 200.
	BodyMismatches int
	Refused        int
	// FalseRefusals counts requests that were reported as not run although a
	// backend server started them.
	FalseRefusals int
	// DuplicateRuns counts request IDs that were run more than once. Misrouted
	// counts requests that reached a backend server of another service and
	// responses that came from another service.
	DuplicateRuns int
	Misrouted     int
}

// Count computes the tally of the outcomes.
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

// StallThreshold is the gap above which a feed counts as stalled.
const StallThreshold = 2 * time.Second

func countStalls(o *Outcome) int {
	count := 0
	for _, gap := range o.Gaps {
		if gap.Elapsed > StallThreshold {
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

// wasRun reports whether a backend server started the request. Backend servers
// never shed feeds, so a feed that arrived was also started.
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
