package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/internal/audit"
	"github.com/turmericrock/turmericrock/internal/node"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/platform"
	"github.com/turmericrock/turmericrock/tunnel"
)

const receiveBuffer = 4 << 20 // bytes

// Entry is a running entry.
type Entry struct {
	config   Config
	ring     *keyring.Ring
	reader   platform.Reader
	log      *logrus.Logger
	trail    *audit.Trail
	engine   *blackboard.Engine[*Board]
	control  *node.Control
	views    atomic.Pointer[View]
	counters Counters
}

// New returns an entry that is not running yet.
func New(config Config, ring *keyring.Ring, reader platform.Reader, log *logrus.Logger, trail *audit.Trail) *Entry {
	e := &Entry{config: config, ring: ring, reader: reader, log: log, trail: trail}
	board := NewBoard(config, ring)
	board.Node.Configure(config.Control, node.NewRandom())
	e.control = node.NewControl(config.Mesh, board.Node, reader, log, e.deliver)
	e.engine = blackboard.New(blackboard.DefaultConfig(), board, e, stepper, &Viewer{})
	return e
}

// Execute implements blackboard.Executor.
func (e *Entry) Execute(effect blackboard.Effect) {
	switch effect := effect.(type) {
	case ViewChanged:
		e.views.Store(effect.View)
	case audit.Record:
		e.trail.Add(effect)
	default:
		e.control.Execute(effect)
	}
}

// View returns the view in use, or nil before the first configuration.
func (e *Entry) View() *View {
	return e.views.Load()
}

// Counters returns the packet counters.
func (e *Entry) Counters() *Counters {
	return &e.counters
}

// Run serves until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	tunnelConn, err := listen(ctx, e.config.Self.Addr.String())
	if err != nil {
		return err
	}
	defer func() { _ = tunnelConn.Close() }()
	conns, workers, err := e.listenAll(ctx, tunnelConn)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	group.Go(func() { e.engine.Run(ctx) })
	group.Go(func() { e.follow(ctx) })
	group.Go(func() { e.readReports(tunnelConn) })
	for _, w := range workers {
		group.Go(w.run)
	}
	e.log.WithField("tunnel", e.config.Self.Addr).Info("entry_started")
	<-ctx.Done()
	for _, conn := range conns {
		_ = conn.Close()
	}
	_ = tunnelConn.Close()
	group.Wait()
	e.log.Info("entry_stopped")
	return nil
}

// deliver hands an update to the control goroutine.
func (e *Entry) deliver(ctx context.Context, update node.Update) {
	e.engine.Deliver(ctx, NodeUpdated{Update: update})
}

// stepper runs the replica before the controllers that act on the facts.
var stepper = node.Stepper[*Board]{Facts: func(board *Board) *node.Facts { return board.Node }}

func (e *Entry) follow(ctx context.Context) {
	if err := e.control.Run(ctx); err != nil {
		e.log.WithField("error", err).Error("mesh_failed")
	}
}

func (e *Entry) listenAll(ctx context.Context, tunnelConn net.PacketConn) ([]net.PacketConn, []*worker, error) {
	var conns []net.PacketConn
	var workers []*worker
	for _, listener := range e.config.Listen {
		for range e.config.Workers {
			conn, err := listen(ctx, listener.Addr.String())
			if err != nil {
				return nil, nil, err
			}
			conns = append(conns, conn)
			w, err := newWorker(e.config, listener, conn, tunnelConn, &e.views, &e.counters)
			if err != nil {
				return nil, nil, err
			}
			workers = append(workers, w)
		}
	}
	return conns, workers, nil
}

// readReports takes load reports until the socket is closed.
func (e *Entry) readReports(conn *net.UDPConn) {
	buf := make([]byte, tunnel.MaxDatagram)
	var codec *tunnel.Codec
	var keys *keyring.Keys
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if current := e.ring.Load(); current != keys {
			if codec, err = tunnel.NewCodec(current); err != nil {
				continue
			}
			keys = current
		}
		header, payload, err := codec.Open(buf[:n])
		if err != nil || header.Kind != tunnel.KindReport {
			continue
		}
		report, err := tunnel.DecodeReport(payload)
		if err != nil {
			continue
		}
		e.engine.Post(ReportReceived{Agent: from, Report: report})
	}
}

// listen binds a UDP socket that several workers may share.
func listen(ctx context.Context, addr string) (*net.UDPConn, error) {
	config := net.ListenConfig{Control: reusePort}
	conn, err := config.ListenPacket(ctx, "udp4", addr)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	udp := conn.(*net.UDPConn)
	_ = udp.SetReadBuffer(receiveBuffer)
	return udp, nil
}

func reusePort(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(failed)
}
