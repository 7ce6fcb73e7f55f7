package callers

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/turmericrock/turmericrock/caller"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/backend"
)

// Outcome is the result of one request as its caller saw it.
type Outcome struct {
	Service fleet.ServiceID
	ID      string
	Feed    bool
	// Host is the host that served the session before this request, or an
	// empty string. Count replaces it for a failed request that is known to
	// have reached a host.
	Host      string
	StartedAt time.Time
	EndedAt   time.Time
	Err       error
	// NotRun tells whether the error guarantees that no backend server started
	// the request.
	NotRun bool
	Status int
	// BodyMatches tells whether the response body equals the expected one byte
	// for byte.
	BodyMatches bool
	// WrongService tells whether the response body comes from another service.
	WrongService bool
	// Gaps are the times between consecutive chunks of a feed.
	Gaps []Gap
}

// Gap is the time between two consecutive chunks of a feed.
type Gap struct {
	At      time.Time
	Elapsed time.Duration
}

func newOutcome(s *session, request caller.Request, feed bool) *Outcome {
	return &Outcome{
		Service:   s.service,
		Host:      s.host,
		ID:        request.Header.Get(backend.HeaderRequestID),
		Feed:      feed,
		StartedAt: time.Now(),
	}
}

func (o *Outcome) finish(response *caller.Response, err error) {
	o.EndedAt = time.Now()
	o.Err = err
	o.NotRun = isNotRun(err)
	if response != nil {
		o.Status = response.Status
	}
}

func (o *Outcome) addGap(gap Gap) {
	o.Gaps = append(o.Gaps, gap)
}

// checkBody compares the response body with the expected one.
func (o *Outcome) checkBody(body, expected string) {
	o.BodyMatches = body == expected
	o.WrongService = !strings.HasPrefix(body, o.Service.String()+" ")
}

// outcomeList collects outcomes. It is safe for concurrent use.
type outcomeList struct {
	mu   sync.Mutex
	list []*Outcome
}

func (o *outcomeList) add(outcome *Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, outcome)
}

func (o *outcomeList) snapshot() []*Outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.list)
}
