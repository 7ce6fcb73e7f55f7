package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/caller"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/backend"
	"github.com/turmericrock/turmericrock/internal/standin/world"
)

const (
	feedPath     = "/feed"
	submitPath   = "/submit"
	feedLines    = 50
	feedInterval = 100 * time.Millisecond
	thinkTime    = 30 * time.Millisecond
	// answerTimeout is the deadline of a submission.
	answerTimeout = 10 * time.Second
	// feedTimeout is the deadline of a feed.
	feedTimeout = 30 * time.Second
)

// load runs callers against every service until it is stopped.
type load struct {
	world    *world.World
	outcomes *Outcomes
	nextID   atomic.Uint64

	// abort ends requests in service.
	abort context.Context
	stop  context.CancelFunc
	group sync.WaitGroup
}

// session is one caller's use of a service.
type session struct {
	service fleet.ServiceID
	client  *caller.Client
	// host served the last answer.
	host string
	// lastPiece is when the last piece of a feed came, over all feeds.
	lastPiece time.Time
}

// gap returns the wait for the piece of a feed that has come now. It spans a
// feed that broke and the one that followed.
func (s *session) gap() Gap {
	now := time.Now()
	gap := Gap{At: now}
	if !s.lastPiece.IsZero() {
		gap.Length = now.Sub(s.lastPiece)
	}
	s.lastPiece = now
	return gap
}

func startLoad(ctx context.Context, w *world.World, all []fleetService) *load {
	l := &load{world: w, outcomes: newOutcomes(), abort: ctx}
	ctx, l.stop = context.WithCancel(ctx)
	for _, service := range all {
		for range service.submitters {
			l.group.Go(func() { l.submit(ctx, service.id) })
		}
		for range service.feeds {
			l.group.Go(func() { l.feed(ctx, service.id) })
		}
	}
	return l
}

// end lets every caller finish what it has begun.
func (l *load) end() {
	l.stop()
	l.group.Wait()
}

// submit sends submissions on one long session.
func (l *load) submit(ctx context.Context, service fleet.ServiceID) {
	s := &session{service: service, client: l.world.Client(service)}
	defer s.client.Close()
	for ctx.Err() == nil {
		l.submitOne(s)
		pause(ctx, thinkTime)
	}
}

func (l *load) submitOne(s *session) {
	ctx, cancel := context.WithTimeout(l.abort, answerTimeout)
	defer cancel()
	request := l.request(http.MethodPost, submitPath, s.service)
	request.Body = []byte("memorial text " + request.Header.Get(backend.HeaderRequestID))
	outcome := newOutcome(s, request, false)
	response, err := s.client.Do(ctx, request)
	outcome.end(response, err)
	s.served(response)
	if err == nil {
		outcome.check(string(response.Body), submitAnswer(s.service, outcome.ID))
	}
	l.outcomes.add(outcome)
}

// served notes the host that answered.
func (s *session) served(response *caller.Response) {
	if response == nil {
		return
	}
	_, host, found := strings.Cut(response.Header.Get(backend.HeaderServed), "@")
	if found {
		s.host = host
	}
}

func submitAnswer(service fleet.ServiceID, id string) string {
	return fmt.Sprintf("%s %s %s\n", service, submitPath, id)
}

// feed watches one feed after the other on one long session.
func (l *load) feed(ctx context.Context, service fleet.ServiceID) {
	s := &session{service: service, client: l.world.Client(service)}
	defer s.client.Close()
	for ctx.Err() == nil {
		l.feedOne(s)
	}
}

func (l *load) feedOne(s *session) {
	ctx, cancel := context.WithTimeout(l.abort, feedTimeout)
	defer cancel()
	path := fmt.Sprintf("%s?n=%d&ms=%d", feedPath, feedLines, feedInterval.Milliseconds())
	request := l.request(http.MethodGet, path, s.service)
	outcome := newOutcome(s, request, true)
	var body strings.Builder
	response, err := s.client.Stream(ctx, request, func(piece []byte) {
		outcome.gap(s.gap())
		body.Write(piece)
	})
	outcome.end(response, err)
	s.served(response)
	if err == nil {
		outcome.check(body.String(), feedAnswer(s.service))
	}
	l.outcomes.add(outcome)
}

func feedAnswer(service fleet.ServiceID) string {
	var answer strings.Builder
	for i := range feedLines {
		_, _ = fmt.Fprintf(&answer, "%s %d\n", service, i)
	}
	return answer.String()
}

// request returns a request with an ID and a service of its own, by which
// backend servers count.
func (l *load) request(method, path string, service fleet.ServiceID) caller.Request {
	header := http.Header{}
	header.Set(backend.HeaderRequestID, fmt.Sprintf("r%d", l.nextID.Add(1)))
	header.Set(world.HeaderService, service.String())
	return caller.Request{Method: method, Path: path, Header: header}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func isNotRun(err error) bool {
	var notRun *caller.NotRunError
	return errors.As(err, &notRun)
}
