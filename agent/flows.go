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
	// idleGrace is how long a draining flow stays open after GOAWAY and after its
	// last request. In this time requests in flight can still be rejected
	// explicitly, and the end of the last response can still be delivered.
	idleGrace = 2 * time.Second
	// idlePollInterval is the time between two checks whether a draining flow is
	// idle.
	idlePollInterval = 50 * time.Millisecond
)

// flow is one established QUIC connection. It has an HTTP/3 server of its own,
// so that GOAWAY can be sent on each flow separately.
type flow struct {
	conn   *quic.Conn
	server *http3.Server
	// activeRequests is the number of requests being handled.
	activeRequests atomic.Int64
	// requested is set by the first request, served by the first complete
	// response, and goAway once GOAWAY is sent.
	requested atomic.Bool
	served    atomic.Bool
	goAway    atomic.Bool
	// lastActiveAt is the Unix time in nanoseconds at which the last request ended
	// or GOAWAY was sent.
	lastActiveAt atomic.Int64
	done         chan struct{}
}

type flowContextKey struct{}

func flowFromContext(ctx context.Context) *flow {
	return ctx.Value(flowContextKey{}).(*flow)
}

func (f *flow) beginRequest() {
	f.requested.Store(true)
	f.activeRequests.Add(1)
}

func (f *flow) endRequest() {
	f.lastActiveAt.Store(time.Now().UnixNano())
	f.activeRequests.Add(-1)
}

// idle reports whether the flow has no request, and its last activity is at
// least idleGrace ago.
func (f *flow) idle(now time.Time) bool {
	return f.activeRequests.Load() == 0 && now.UnixNano()-f.lastActiveAt.Load() >= int64(idleGrace)
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

// close closes the connection without waiting for requests. The reason is sent
// to the caller.
func (f *flow) close(reason string) {
	_ = f.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), reason)
}

// drain sends GOAWAY and closes the flow once it is idle or ctx is done. It
// returns when the flow has ended.
func (f *flow) drain(ctx context.Context) {
	f.lastActiveAt.Store(time.Now().UnixNano())
	f.goAway.Store(true)
	go func() { _ = f.server.Shutdown(ctx) }()
	f.closeWhenIdle(ctx)
	<-f.done
}

func (f *flow) closeWhenIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			if f.idle(now) {
				f.close("drained")
				return
			}
		case <-f.done:
			return
		case <-ctx.Done():
			f.close("drain wish is over")
			return
		}
	}
}

// flowTable holds the established flows, which are drained or closed together.
type flowTable struct {
	handler  http.Handler
	counters *Counters
	// firstRequestTimeout bounds the time from the start of a flow to its first
	// request.
	firstRequestTimeout time.Duration

	mu    sync.Mutex
	flows map[*flow]struct{}
	// drainCtx is the context of the drain that was started last, or nil when new
	// flows are allowed.
	drainCtx context.Context
	// zoneOut is set while the zone is out of service.
	zoneOut bool
}

func newFlowTable(handler http.Handler, counters *Counters, firstRequestTimeout time.Duration) *flowTable {
	return &flowTable{
		handler:             handler,
		counters:            counters,
		firstRequestTimeout: firstRequestTimeout,
		flows:               make(map[*flow]struct{}),
	}
}

// serve serves the HTTP/3 requests of a connection until it ends.
func (t *flowTable) serve(conn *quic.Conn) {
	f := &flow{conn: conn, done: make(chan struct{})}
	f.server = &http3.Server{
		Handler:        t.handler,
		MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, _ *quic.Conn) context.Context {
			return context.WithValue(ctx, flowContextKey{}, f)
		},
	}
	firstRequestTimer := time.AfterFunc(t.firstRequestTimeout, func() { t.closeIfNoRequest(f) })
	defer firstRequestTimer.Stop()
	t.add(f)
	_ = f.server.ServeQUICConn(conn)
	f.close("")
	close(f.done)
	t.mu.Lock()
	delete(t.flows, f)
	t.mu.Unlock()
}

// add adds the flow to the table. It drains a flow that is established while the
// host drains, and closes one that is established while the zone is out of
// service.
func (t *flowTable) add(f *flow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flows[f] = struct{}{}
	if t.zoneOut {
		f.close(reasonZoneOut)
	}
	if t.drainCtx != nil {
		go f.drain(t.drainCtx)
	}
}

// closeIfNoRequest closes a flow on which no request has begun.
func (t *flowTable) closeIfNoRequest(f *flow) {
	if f.requested.Load() {
		return
	}
	t.counters.add(CauseFlowSilent)
	f.close("no request")
}

// drain drains all flows and waits until they have ended. Those that are left
// after the timeout are closed.
func (t *flowTable) drain(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	t.mu.Lock()
	t.drainCtx = ctx
	flows := t.list()
	t.mu.Unlock()
	var group sync.WaitGroup
	for _, f := range flows {
		group.Go(func() { f.drain(ctx) })
	}
	group.Wait()
	t.mu.Lock()
	remaining := t.list()
	t.mu.Unlock()
	for _, f := range remaining {
		if f.draining() {
			<-f.done
		}
	}
}

// allowNewFlows ends the draining or closing of newly established flows.
func (t *flowTable) allowNewFlows() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drainCtx = nil
	t.zoneOut = false
}

// closeAll closes all flows, and those established until allowNewFlows is
// called, so that callers reconnect elsewhere.
func (t *flowTable) closeAll() {
	t.mu.Lock()
	t.zoneOut = true
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
