package entry

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/internal/audit"
	"github.com/turmericrock/turmericrock/internal/node"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/platform"
)

const receiveBufferSize = 4 << 20 // bytes

// Entry is an entry process. It forwards packets while Run executes.
type Entry struct {
	config       Config
	ring         *keyring.Ring
	reader       platform.Reader
	log          *logrus.Logger
	trail        *audit.Trail
	engine       *blackboard.Engine[*Board]
	control      *node.ControlPlane
	views        atomic.Pointer[View]
	status       atomic.Pointer[Status]
	viewDeadline *viewDeadline
	counters     *Counters
	probeSender  *probeSender
	stop         chan struct{}
	stopOnce     sync.Once
}

// New returns an entry that starts serving when Run is called.
func New(config Config, ring *keyring.Ring, reader platform.Reader, log *logrus.Logger, trail *audit.Trail) *Entry {
	board := NewBoard(config, ring)
	e := &Entry{
		config:       config,
		ring:         ring,
		reader:       reader,
		log:          log,
		trail:        trail,
		viewDeadline: newViewDeadline(time.Now()),
		counters:     board.Counters,
		probeSender:  newProbeSender(config.Self.Addr, ring),
		stop:         make(chan struct{}),
	}
	board.Node.Configure(config.Control, node.NewRandom())
	e.control = node.NewControlPlane(config.Mesh, board.Node, reader, log, e.deliver)
	e.engine = NewEngine(board, e)
	return e
}

// NewEngine returns a control engine that runs an entry's controllers on the
// board and passes their effects to executor.
func NewEngine(board *Board, executor blackboard.Executor) *blackboard.Engine[*Board] {
	return blackboard.New(blackboard.DefaultConfig(), board, executor,
		replicaController, NewMembership(), &ViewBuilder{}, &ViewLeaseRenewer{}, &StatusPublisher{}, &effectCollector{})
}

// effectCollector is the controller that returns the effects that the other
// controllers have queued on the fleet state. It runs last.
type effectCollector struct{}

// Step implements blackboard.Controller.
func (*effectCollector) Step(_ time.Time, board *Board) []blackboard.Effect {
	return board.Node.TakeEffects()
}

// Execute implements blackboard.Executor.
func (e *Entry) Execute(effect blackboard.Effect) {
	switch effect := effect.(type) {
	case ViewChanged:
		e.views.Store(effect.View)
	case ViewLeaseRenewed:
		e.viewDeadline.extend(effect.Until)
	case StatusPublished:
		e.status.Store(effect.Status)
	case Probe:
		if e.probeSender.send(effect) {
			e.counters.probes.Add(1)
		}
	case audit.Record:
		e.trail.Add(effect)
	default:
		e.control.Execute(effect)
	}
}

// View returns the view in use, or nil before the first configuration is
// applied.
func (e *Entry) View() *View {
	return e.views.Load()
}

// Counters returns the packet and report counters.
func (e *Entry) Counters() *Counters {
	return e.counters
}

// Stop requests a graceful shutdown. Ready fails at once, and Run continues to
// forward packets for Config.StopGrace before it returns, so that the network
// fabric has time to stop routing to this entry. Stop may be called
// repeatedly.
func (e *Entry) Stop() {
	e.stopOnce.Do(func() { close(e.stop) })
}

func (e *Entry) stopping() bool {
	select {
	case <-e.stop:
		return true
	default:
		return false
	}
}

// Run serves until ctx is done or a graceful shutdown completes. It returns an
// error if a socket cannot be bound.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tunnelConn, err := listen(ctx, e.config.Self.Addr.String())
	if err != nil {
		return err
	}
	e.probeSender.conn = tunnelConn
	conns, workers, err := e.listenAll(ctx)
	conns = append(conns, tunnelConn)
	defer closeAll(conns)
	if err != nil {
		return err
	}
	var goroutines sync.WaitGroup
	goroutines.Go(func() { e.engine.Run(ctx) })
	goroutines.Go(func() { e.runControl(ctx) })
	goroutines.Go(func() { e.readReports(tunnelConn) })
	for _, w := range workers {
		goroutines.Go(w.run)
	}
	e.log.WithField("tunnel", e.config.Self.Addr).Info("entry_started")
	e.waitForStop(ctx)
	cancel()
	closeAll(conns)
	goroutines.Wait()
	e.log.Info("entry_stopped")
	return nil
}

// deliver passes an update of the replicated fleet state to the control
// goroutine.
func (e *Entry) deliver(ctx context.Context, update node.Update) {
	e.engine.Deliver(ctx, NodeUpdated{Update: update})
}

// replicaController updates the replicated fleet state. It runs before the
// controllers that depend on that state.
var replicaController = node.ReplicaController[*Board]{State: func(board *Board) *node.FleetState { return board.Node }}

// waitForStop returns when ctx is done or the grace period of a stop has
// elapsed.
func (e *Entry) waitForStop(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-e.stop:
	}
	e.log.WithField("grace", e.config.StopGrace).Info("entry_stopping")
	select {
	case <-ctx.Done():
	case <-time.After(e.config.StopGrace):
	}
}

func (e *Entry) runControl(ctx context.Context) {
	if err := e.control.Run(ctx); err != nil {
		e.log.WithField("error", err).Error("mesh_failed")
	}
}

// listenAll binds the sockets that receive callers' packets and, for each
// worker, one from which it sends to agents. On error it returns the sockets
// bound so far, which the caller must close.
func (e *Entry) listenAll(ctx context.Context) ([]net.PacketConn, []*worker, error) {
	var conns []net.PacketConn
	var workers []*worker
	sendAddr := netip.AddrPortFrom(e.config.Self.Addr.Addr(), 0).String()
	for _, listener := range e.config.Listen {
		for range e.config.Workers {
			conn, err := listen(ctx, listener.Addr.String())
			if err != nil {
				return conns, nil, err
			}
			conns = append(conns, conn)
			sendConn, err := listen(ctx, sendAddr)
			if err != nil {
				return conns, nil, err
			}
			conns = append(conns, sendConn)
			w, err := newWorker(e, listener, conn, sendConn)
			if err != nil {
				return conns, nil, err
			}
			workers = append(workers, w)
		}
	}
	return conns, workers, nil
}

func closeAll(conns []net.PacketConn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// listen binds a UDP socket with SO_REUSEPORT, so that several workers can
// bind the same address.
func listen(ctx context.Context, addr string) (*net.UDPConn, error) {
	config := net.ListenConfig{Control: reusePort}
	conn, err := config.ListenPacket(ctx, "udp4", addr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	udp := conn.(*net.UDPConn)
	_ = udp.SetReadBuffer(receiveBufferSize)
	return udp, nil
}

func reusePort(_, _ string, rawConn syscall.RawConn) error {
	var optionErr error
	err := rawConn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(optionErr)
}
