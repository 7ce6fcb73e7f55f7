// Package callers generates the load of customers' callers in tests. Its
// callers keep sessions and feeds open against a world and record the outcome
// of every request.
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
	// FeedPath is the path at which backend servers stream feeds.
	FeedPath   = "/feed"
	submitPath = "/submit"
	// submitTimeout is the deadline of a submission.
	submitTimeout = 10 * time.Second
	// feedTimeoutMargin is added to the expected duration of a feed to get its
	// deadline.
	feedTimeoutMargin = 15 * time.Second
)

// Config holds the settings of a LoadGenerator.
type Config struct {
	// ThinkTime is the pause between a response and the next submission.
	ThinkTime time.Duration
	// FeedLines is the number of lines of a feed and FeedInterval the time
	// between two lines.
	FeedLines    int
	FeedInterval time.Duration
}

// DefaultConfig returns settings for a high request rate.
func DefaultConfig() Config {
	return Config{
		ThinkTime:    30 * time.Millisecond,
		FeedLines:    50,
		FeedInterval: 100 * time.Millisecond,
	}
}

// nextID is the last request ID that was assigned in this process.
var nextID atomic.Uint64

// LoadGenerator runs a group of callers until it is stopped.
type LoadGenerator struct {
	config   Config
	world    *world.World
	outcomes outcomeList

	// requestCtx cancels requests in progress; sendCtx ends when no new
	// requests may be sent.
	requestCtx  context.Context
	sendCtx     context.Context
	stopSending context.CancelFunc
	group       sync.WaitGroup
}

// session is the state of one caller of a service.
type session struct {
	service fleet.ServiceID
	client  *caller.Client
	// host is the host that sent the last response.
	host string
	// lastChunkAt is when the last chunk of a feed arrived, on any feed of the
	// session.
	lastChunkAt time.Time
}

// New returns a load generator without callers. Cancelling ctx cancels its
// requests.
func New(ctx context.Context, w *world.World, config Config) *LoadGenerator {
	l := &LoadGenerator{config: config, world: w, requestCtx: ctx}
	l.sendCtx, l.stopSending = context.WithCancel(ctx)
	return l
}

// StartSubmitters starts callers that send submissions, each in its own
// session.
func (l *LoadGenerator) StartSubmitters(service fleet.ServiceID, count int) {
	l.startSessions(service, count, func(s *session) {
		l.sendSubmission(s)
		world.Sleep(l.sendCtx, l.config.ThinkTime)
	})
}

// StartFeedReaders starts callers that read one feed after the other, each in
// its own session.
func (l *LoadGenerator) StartFeedReaders(service fleet.ServiceID, count int) {
	l.startSessions(service, count, l.readFeed)
}

// Stop stops sending new requests and waits for those in progress.
func (l *LoadGenerator) Stop() {
	l.stopSending()
	l.group.Wait()
}

// Outcomes returns the outcomes of all requests that have finished.
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

// recordGap returns the time between the previous chunk and the one that has
// just arrived. The gap also covers the time between a feed that broke and the
// next feed.
func (s *session) recordGap() Gap {
	now := time.Now()
	gap := Gap{At: now}
	if !s.lastChunkAt.IsZero() {
		gap.Elapsed = now.Sub(s.lastChunkAt)
	}
	s.lastChunkAt = now
	return gap
}

// recordHost records the host that sent the response.
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

// newRequest returns a request with a unique ID and the intended service in
// its headers, by which backend servers detect repeated and misrouted
// requests.
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
