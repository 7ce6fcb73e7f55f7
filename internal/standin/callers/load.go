// Package callers is a stand-in for customers' callers. It keeps sessions and
// feeds open against a world and counts what became of every request.
package callers

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
	// FeedPath is the path of feeds.
	FeedPath   = "/feed"
	submitPath = "/submit"
	// submitTimeout is the deadline of a submission.
	submitTimeout = 10 * time.Second
	// feedTimeoutMargin is added to a feed's length for its deadline.
	feedTimeoutMargin = 15 * time.Second
)

// Config holds the habits of callers.
type Config struct {
	// ThinkTime is the time between an answer and the next submission.
	ThinkTime time.Duration
	// FeedLines is the number of lines of one feed, FeedInterval the time
	// between them.
	FeedLines    int
	FeedInterval time.Duration
}

// DefaultConfig returns the habits of callers in a hurry.
func DefaultConfig() Config {
	return Config{
		ThinkTime:    30 * time.Millisecond,
		FeedLines:    50,
		FeedInterval: 100 * time.Millisecond,
	}
}

// nextID numbers the requests of this process.
var nextID atomic.Uint64

// LoadGenerator is a group of callers that run until they are stopped.
type LoadGenerator struct {
	config   Config
	world    *world.World
	outcomes outcomeList

	// requestCtx ends requests in service, sending ends once no more are begun.
	requestCtx  context.Context
	sendCtx     context.Context
	stopSending context.CancelFunc
	group       sync.WaitGroup
}

// session is one caller's use of a service.
type session struct {
	service fleet.ServiceID
	client  *caller.Client
	// host served the last answer.
	host string
	// lastChunkAt is when the last piece of a feed came, over all feeds.
	lastChunkAt time.Time
}

// New returns a load without callers. The end of ctx ends its requests.
func New(ctx context.Context, w *world.World, config Config) *LoadGenerator {
	l := &LoadGenerator{config: config, world: w, requestCtx: ctx}
	l.sendCtx, l.stopSending = context.WithCancel(ctx)
	return l
}

// StartSubmitters starts callers that send submissions, each on a session of its own.
func (l *LoadGenerator) StartSubmitters(service fleet.ServiceID, count int) {
	l.startSessions(service, count, func(s *session) {
		l.sendSubmission(s)
		world.Sleep(l.sendCtx, l.config.ThinkTime)
	})
}

// StartFeedReaders starts callers that watch one feed after the other, each on a session
// of its own.
func (l *LoadGenerator) StartFeedReaders(service fleet.ServiceID, count int) {
	l.startSessions(service, count, l.readFeed)
}

// Stop lets every caller finish what it has begun.
func (l *LoadGenerator) Stop() {
	l.stopSending()
	l.group.Wait()
}

// Outcomes returns what became of the requests so far.
func (l *LoadGenerator) Outcomes() []*Outcome {
	return l.outcomes.snapshot()
}

func (l *LoadGenerator) startSessions(service fleet.ServiceID, count int, runOnce func(*session)) {
	for range count {
		l.group.Go(func() {
			s := &session{service: service, client: l.world.Client(service)}
			defer s.client.Close()
			for l.sendCtx.Err() == nil {
				runOnce(s)
			}
		})
	}
}

func (l *LoadGenerator) sendSubmission(s *session) {
	ctx, cancel := context.WithTimeout(l.requestCtx, submitTimeout)
	defer cancel()
	request := newRequest(http.MethodPost, submitPath, s.service)
	request.Body = []byte("memorial text " + request.Header.Get(backend.HeaderRequestID))
	outcome := newOutcome(s, request, false)
	response, err := s.client.Do(ctx, request)
	outcome.finish(response, err)
	s.recordHost(response)
	if err == nil {
		outcome.checkBody(string(response.Body), expectedSubmitBody(s.service, outcome.ID))
	}
	l.outcomes.add(outcome)
}

func (l *LoadGenerator) readFeed(s *session) {
	duration := time.Duration(l.config.FeedLines) * l.config.FeedInterval
	ctx, cancel := context.WithTimeout(l.requestCtx, duration+feedTimeoutMargin)
	defer cancel()
	path := fmt.Sprintf("%s?n=%d&ms=%d", FeedPath, l.config.FeedLines, l.config.FeedInterval.Milliseconds())
	request := newRequest(http.MethodGet, path, s.service)
	outcome := newOutcome(s, request, true)
	var body strings.Builder
	response, err := s.client.Stream(ctx, request, func(chunk []byte) {
		outcome.addGap(s.recordGap())
		body.Write(chunk)
	})
	outcome.finish(response, err)
	s.recordHost(response)
	if err == nil {
		outcome.checkBody(body.String(), expectedFeedBody(s.service, l.config.FeedLines))
	}
	l.outcomes.add(outcome)
}

// recordGap returns the wait for the piece of a feed that has come now. It spans a
// feed that broke and the one that followed.
func (s *session) recordGap() Gap {
	now := time.Now()
	gap := Gap{At: now}
	if !s.lastChunkAt.IsZero() {
		gap.Duration = now.Sub(s.lastChunkAt)
	}
	s.lastChunkAt = now
	return gap
}

// recordHost notes the host that answered.
func (s *session) recordHost(response *caller.Response) {
	if response == nil {
		return
	}
	_, host, found := strings.Cut(response.Header.Get(backend.HeaderServedBy), "@")
	if found {
		s.host = host
	}
}

func expectedSubmitBody(service fleet.ServiceID, id string) string {
	return fmt.Sprintf("%s %s %s\n", service, submitPath, id)
}

func expectedFeedBody(service fleet.ServiceID, lines int) string {
	var body strings.Builder
	for i := range lines {
		_, _ = fmt.Fprintf(&body, "%s %d\n", service, i)
	}
	return body.String()
}

// newRequest returns a request with an ID and a service of its own, by which
// backend servers count.
func newRequest(method, path string, service fleet.ServiceID) caller.Request {
	header := http.Header{}
	header.Set(backend.HeaderRequestID, fmt.Sprintf("r%d", nextID.Add(1)))
	header.Set(world.HeaderService, service.String())
	return caller.Request{Method: method, Path: path, Header: header}
}

func isNotRun(err error) bool {
	var notRun *caller.NotRunError
	return errors.As(err, &notRun)
}
