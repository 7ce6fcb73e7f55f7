package agent

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/internal/audit"
	"github.com/turmericrock/turmericrock/internal/node"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/platform"
)

// Agent serves the callers of one backend server. Create one with New and
// start it with Run.
type Agent struct {
	config      Config
	ring        *keyring.Ring
	reader      platform.Reader
	log         *logrus.Logger
	trail       *audit.Trail
	incarnation uint16
	engine      *blackboard.Engine[*Board]
	control     *node.ControlPlane
	currentView atomic.Pointer[View]
	ready       chan struct{}
	admitter    *admitter
	counters    Counters
	flows       *flowTable
	reporter    atomic.Pointer[reporter]
	stopped     chan struct{}
	stopOnce    sync.Once
}

// New returns an agent that serves once Run is called. It fails when the
// backend server's URL is invalid or no random bytes are available.
func New(config Config, ring *keyring.Ring, reader platform.Reader, log *logrus.Logger, trail *audit.Trail) (*Agent, error) {
	var incarnationBytes [2]byte
	if _, err := rand.Read(incarnationBytes[:]); err != nil {
		return nil, errors.WithStack(err)
	}
	backend, err := newBackendClient(config.Backend)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		config:      config,
		ring:        ring,
		reader:      reader,
		log:         log,
		trail:       trail,
		incarnation: binary.BigEndian.Uint16(incarnationBytes[:]) | 1,
		ready:       make(chan struct{}),
		stopped:     make(chan struct{}),
	}
	a.admitter = newAdmitter(&a.currentView, time.Now(), func() { a.engine.Post(RestartDetected{}) })
	handler := &requestHandler{
		config:        config,
		currentView:   &a.currentView,
		admitter:      a.admitter,
		backendClient: backend,
		duplicates:    newDuplicateFilter(maxRememberedRequests),
		prefetch:      newPrefetcher(),
		counters:      &a.counters,
		log:           log,
	}
	a.flows = newFlowTable(handler, &a.counters, config.FirstRequestTimeout)
	board := NewBoard(config, ring)
	board.Node.Configure(config.Control, node.NewRandom())
	a.control = node.NewControlPlane(config.Mesh, board.Node, reader, log, a.deliver)
	a.engine = blackboard.New(blackboard.DefaultConfig(), board, a, replicaController, &LimitAuditor{}, &Lifecycle{})
	return a, nil
}

// Execute implements blackboard.Executor.
func (a *Agent) Execute(effect blackboard.Effect) {
	switch effect := effect.(type) {
	case ViewChanged:
		if a.currentView.Swap(effect.View) == nil {
			close(a.ready)
		}
	case BackendRestarted:
		a.admitter.handleRestart(time.Now())
	case FlowsClosed:
		go a.flows.closeAll()
	case DrainStarted:
		go a.drain(effect)
	case NewFlowsAllowed:
		a.flows.allowNewFlows()
	case StateChanged:
		go a.announce()
	case ProcessEnded:
		a.stopOnce.Do(func() { close(a.stopped) })
	case audit.Record:
		a.trail.Add(effect)
	default:
		a.control.Execute(effect)
	}
}

// Counters returns the datagram counters.
func (a *Agent) Counters() *Counters {
	return &a.counters
}

// Stop requests a graceful shutdown. Run returns once the requests in service
// have ended or the service's drain timeout has expired.
func (a *Agent) Stop() {
	a.engine.Post(StopRequested{})
}

// Run serves until ctx is done or a graceful shutdown has completed. It
// returns an error when the sockets or the QUIC listener cannot be set up.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { a.engine.Run(ctx) })
	group.Go(func() { a.runControl(ctx) })
	group.Go(func() { a.pollHealth(ctx) })
	select {
	case <-ctx.Done():
		return nil
	case <-a.stopped:
		a.log.Info("agent_stopped")
		return nil
	case <-a.ready:
	}
	transport, listener, err := a.listen()
	if err != nil {
		return err
	}
	group.Go(func() { a.accept(ctx, listener) })
	a.log.WithFields(logrus.Fields{
		"tunnel":      a.config.Self.Addr,
		"service":     a.config.Self.Service,
		"incarnation": a.incarnation,
	}).Info("agent_started")
	select {
	case <-ctx.Done():
	case <-a.stopped:
	}
	cancel()
	_ = listener.Close()
	_ = transport.Close()
	a.log.Info("agent_stopped")
	return nil
}

// deliver passes an update of the replicated fleet state to the control goroutine.
func (a *Agent) deliver(ctx context.Context, update node.Update) {
	a.engine.Deliver(ctx, NodeUpdated{Update: update})
}

// replicaController updates the replicated fleet state. It runs before the
// controllers that depend on that state.
var replicaController = node.ReplicaController[*Board]{State: func(board *Board) *node.FleetState { return board.Node }}

func (a *Agent) runControl(ctx context.Context) {
	if err := a.control.Run(ctx); err != nil {
		a.log.WithField("error", err).Error("mesh_failed")
	}
}

func (a *Agent) accept(ctx context.Context, listener *quic.Listener) {
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return
		}
		go a.flows.serve(conn)
	}
}

// drain drains all flows and reports the completed drain to the engine.
func (a *Agent) drain(effect DrainStarted) {
	a.flows.drain(effect.Timeout)
	a.engine.Post(DrainCompleted{Drain: effect.Drain})
}

// announce sends the host's state to the known entries without waiting for the
// report interval.
func (a *Agent) announce() {
	if reporter := a.reporter.Load(); reporter != nil {
		reporter.announce(time.Now())
	}
}
