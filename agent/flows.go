package agent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/turmericrock/turmericrock/admission"
)

const (
	// idleGrace is how long a flow without requests is kept after GOAWAY and
	// after its last request, so that requests on their way are still refused
	// by a word and the end of an answer is still delivered.
	idleGrace = 2 * time.Second
	// idlePoll is the time between two looks for flows without requests.
	idlePoll = 50 * time.Millisecond
)

// flow is one established QUIC connection. It has an HTTP/3 server of its
// own, so that GOAWAY is sent on each flow by itself.
type flow struct {
	conn   *quic.Conn
	server *http3.Server
	// active is the number of requests being handled.
	active atomic.Int64
	// begun is set by the first request, served by the first whole answer.
	begun  atomic.Bool
	served atomic.Bool
	goAway atomic.Bool
	// busyAt is when the last request ended, or GOAWAY was sent, as a Unix
	// time in nanoseconds.
	busyAt   atomic.Int64
	finished chan struct{}
}

type flowKey struct{}

func flowOf(ctx context.Context) *flow {
	return ctx.Value(flowKey{}).(*flow)
}

func (f *flow) begin() {
	f.begun.Store(true)
	f.active.Add(1)
}

func (f *flow) end() {
	f.busyAt.Store(time.Now().UnixNano())
	f.active.Add(-1)
}

// idle reports whether the flow has had no request for idleGrace.
func (f *flow) idle(now time.Time) bool {
	return f.active.Load() == 0 && now.UnixNano()-f.busyAt.Load() >= int64(idleGrace)
}

func (f *flow) draining() bool {
	return f.goAway.Load()
}

func (f *flow) priority() admission.Priority {
	if f.served.Load() {
		return admission.ExistingFlow
	}
	return admission.NewFlow
}

// close ends the flow at once.
func (f *flow) close(reason string) {
	_ = f.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), reason)
}

// drain sends GOAWAY, lets the requests in service end, and closes the flow
// once it has none or ctx ends.
func (f *flow) drain(ctx context.Context) {
	f.busyAt.Store(time.Now().UnixNano())
	f.goAway.Store(true)
	go func() { _ = f.server.Shutdown(ctx) }()
	f.closeWhenIdle(ctx)
	<-f.finished
}

func (f *flow) closeWhenIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if f.idle(now) {
				f.close("drained")
				return
			}
		case <-f.finished:
			return
		case <-ctx.Done():
			f.close("drain wish is over")
			return
		}
	}
}

// flowTable holds the established flows, so that they can be drained or
// closed together.
type flowTable struct {
	handler  http.Handler
	counters *Counters
	// firstRequest bounds how long a flow may be without its first request.
	firstRequest time.Duration

	mu       sync.Mutex
	flows    map[*flow]struct{}
	draining context.Context
	// shut is set while the zone is out of service.
	shut bool
}

func newFlowTable(handler http.Handler, counters *Counters, firstRequest time.Duration) *flowTable {
	return &flowTable{
		handler:      handler,
		counters:     counters,
		firstRequest: firstRequest,
		flows:        make(map[*flow]struct{}),
	}
}

// serve serves the flow until it ends.
func (t *flowTable) serve(conn *quic.Conn) {
	f := &flow{conn: conn, finished: make(chan struct{})}
	f.server = &http3.Server{
		Handler:        t.handler,
		MaxHeaderBytes: headerReadLimit,
		ConnContext: func(ctx context.Context, _ *quic.Conn) context.Context {
			return context.WithValue(ctx, flowKey{}, f)
		},
	}
	silent := time.AfterFunc(t.firstRequest, func() { t.endSilent(f) })
	defer silent.Stop()
	t.add(f)
	_ = f.server.ServeQUICConn(conn)
	f.close("")
	close(f.finished)
	t.mu.Lock()
	delete(t.flows, f)
	t.mu.Unlock()
}

// add takes the flow in. One that was established while the host drains is
// drained as well.
func (t *flowTable) add(f *flow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flows[f] = struct{}{}
	if t.shut {
		f.close(reasonZoneOut)
	}
	if t.draining != nil {
		go f.drain(t.draining)
	}
}

func (t *flowTable) endSilent(f *flow) {
	if f.begun.Load() {
		return
	}
	t.counters.add(CauseFlowSilent)
	f.close("no request")
}

// drain sends GOAWAY on all flows and waits until they have ended or the
// time is over.
func (t *flowTable) drain(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	t.mu.Lock()
	t.draining = ctx
	flows := t.list()
	t.mu.Unlock()
	var group sync.WaitGroup
	for _, f := range flows {
		group.Go(func() { f.drain(ctx) })
	}
	group.Wait()
	t.mu.Lock()
	late := t.list()
	t.mu.Unlock()
	for _, f := range late {
		if f.draining() {
			<-f.finished
		}
	}
}

// resume lets flows that come from now on live.
func (t *flowTable) resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = nil
	t.shut = false
}

// closeAll ends all flows at once, so that callers move elsewhere.
func (t *flowTable) closeAll() {
	t.mu.Lock()
	t.shut = true
	flows := t.list()
	t.mu.Unlock()
	for _, f := range flows {
		f.close(reasonZoneOut)
	}
}

const reasonZoneOut = "zone out of service"

func (t *flowTable) list() []*flow {
	flows := make([]*flow, 0, len(t.flows))
	for f := range t.flows {
		flows = append(flows, f)
	}
	return flows
}
