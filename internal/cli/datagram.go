package cli

import (
	"context"
	"flag"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/datagram"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/internal/explain"
	"github.com/turmericrock/turmericrock/internal/logging"
	"github.com/turmericrock/turmericrock/internal/metrics"
	"github.com/turmericrock/turmericrock/internal/ops"
	"github.com/turmericrock/turmericrock/internal/signals"
	"github.com/turmericrock/turmericrock/platform"
)

const datagramEntryHelp = `Runs an entry for opaque datagram flows on the platform: it receives requesters'
packets from the routers and forwards each to the agent that owns its flow. Settings
are read from the platform's file, given by -settings or by TURMERICROCK_CONFIG. On
SIGTERM it reports not ready, keeps serving until the routers have removed it from
rotation, and ends.

Example:
  turmericrock datagram-entry -settings /etc/turmericrock/local.json`

const datagramAgentHelp = `Runs the agent for opaque datagram flows beside a backend server on the platform: it
owns the flows of the server, decides whether to accept each new one, and sends the
server's packets to the requesters. Settings are read from the platform's file, given
by -settings or by TURMERICROCK_CONFIG.

Example:
  turmericrock datagram-agent -settings /etc/turmericrock/local.json`

type datagramCommand struct {
	settings string
	// metricsPort is the TCP port that serves metrics, or 0 for none.
	metricsPort uint
	out         io.Writer
	build       func(*datagramNode) *datagram.Node
	// shutdownDelay is how long the process keeps serving after SIGTERM.
	shutdownDelay time.Duration
}

// entryShutdownDelay covers the time until routers remove an entry that is not
// ready: they check twice a second and need two failed checks. The rest is margin.
const entryShutdownDelay = 1800 * time.Millisecond

func newDatagramEntryCommand(out, err io.Writer) *command {
	c := &datagramCommand{out: out, build: buildDatagramEntry, shutdownDelay: entryShutdownDelay}
	return c.command("datagram-entry", "forward packets of opaque flows to agents", datagramEntryHelp, err)
}

func newDatagramAgentCommand(out, err io.Writer) *command {
	c := &datagramCommand{out: out, build: buildDatagramAgent}
	return c.command("datagram-agent", "own the opaque flows of a backend server", datagramAgentHelp, err)
}

func (c *datagramCommand) command(name, synopsis, help string, err io.Writer) *command {
	return &command{
		name: name, synopsis: synopsis, usage: "[-settings FILE] [-metrics-port PORT]", help: help, err: err,
		flags: func(f *flag.FlagSet) {
			f.UintVar(&c.metricsPort, "metrics-port", 0, "TCP `port` of /metrics at the machine's address; 0 for none")
			f.StringVar(&c.settings, "settings", os.Getenv(platform.SettingsEnv), "`file` with the platform's settings")
		},
		run: c.run,
	}
}

const (
	// exitMargin is the part of the grace period that is left for the exit of the process,
	// for a machine that is busy.
	exitMargin = 500 * time.Millisecond
	// minStopTimeout is the shortest time in which a node waits for its goroutines.
	minStopTimeout = 100 * time.Millisecond
)

// hostDialTimeout bounds the connection attempt to the backend server on the same
// machine.
const hostDialTimeout = 100 * time.Millisecond

// unlistedHostCheckInterval is the time between two connection attempts to a backend
// server that is not listed.
const unlistedHostCheckInterval = 100 * time.Millisecond

// datagramNode holds what datagram entries and agents have in common.
type datagramNode struct {
	settings *platform.Settings
	tracker  *catalog.Tracker
	events   *datagram.Events
	log      *logrus.Entry
	now      func() time.Duration
	started  time.Time
	stopping atomic.Bool
	// syncer keeps the tracker up to date.
	syncer *catalog.Syncer
	// confirmer finds out whether the list of hosts is complete, and does so for peers.
	confirmer *catalog.Confirmer
	// metricSources are the sources of the metrics served at metricsPort.
	metricSources []metrics.Source
	// explain says where a new flow would go. It is served with the metrics.
	explain explain.Func
	// onCatalogChange is called with the previous catalog, which is nil at first,
	// and the new one. It may be nil.
	onCatalogChange func(old, c *catalog.Catalog)
	// onListConfirmed is called when the list of hosts was found out to be complete, or where
	// it is not. It may be nil.
	onListConfirmed func()
	// onStop is called when the process is told to stop. It may be nil.
	onStop func()
	// background runs until the process stops serving, in a goroutine of the node. It may be
	// nil.
	background func(context.Context)
	// hostRunning reports whether the backend server accepted the last connection
	// of watchUnlistedHost.
	hostRunning atomic.Bool
	// hostWasDown reports whether the backend server refused one and accepted a later
	// one. A refusal alone does not show that it was down: it may not listen at all.
	hostWasDown atomic.Bool
}

func (c *datagramCommand) run(ctx context.Context, args []string) error {
	signals.Catch()
	if err := rejectArguments(args); err != nil {
		return err
	}
	if err := requireFlag("settings", c.settings); err != nil {
		return err
	}
	loaded, err := platform.LoadSettings(c.settings)
	if err != nil {
		return err
	}
	logQueue := logging.NewQueue(c.out)
	defer logQueue.Close()
	logger, err := logging.New(logQueue, logrus.InfoLevel.String())
	if err != nil {
		return err
	}
	log := logger.WithFields(logrus.Fields{"node": loaded.Node, "zone": loaded.Zone})
	started := time.Now()
	n := &datagramNode{
		settings: loaded,
		tracker:  catalog.NewTracker(),
		events:   datagram.NewEvents(log),
		log:      log,
		now:      func() time.Duration { return time.Since(started) },
		started:  started,
	}
	n.tracker.SettleTime = catalog.SettleTime(loaded.HeartbeatInterval)
	log.WithField("version", Version()).Info("started")
	n.syncer = n.newSyncer()
	n.confirmer = catalog.NewConfirmer(n.syncer, n.listConfirmed)
	n.metricSources = append(n.metricSources, n.syncer, n.confirmer)
	node := c.build(n)
	if c.metricsPort != 0 {
		address := netip.AddrPortFrom(loaded.IP, uint16(c.metricsPort)).String()
		node.Servers = append(node.Servers, datagram.Server{
			Name: "metrics", Address: address, Handler: n.metricsHandler(), Optional: true,
		})
	}
	return n.run(ctx, node, c.shutdownDelay)
}

// metricsHandler serves explanations, and the metrics at all other paths.
func (n *datagramNode) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(explain.Path, explain.Handler(n.now, n.explain))
	mux.Handle("/", ops.MetricsHandler(n.metricSources))
	return mux
}

func (n *datagramNode) run(ctx context.Context, node *datagram.Node, shutdownDelay time.Duration) error {
	signalCtx, stop := signals.Context(ctx)
	defer stop()
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	if err := node.Listen(); err != nil {
		return err
	}
	shutdownDelay = limitShutdownDelay(n.settings.ShutdownGrace, shutdownDelay)
	node.StopTimeout = stopTimeout(n.settings.ShutdownGrace, shutdownDelay)
	node.Background = append(node.Background, n.watchReload, n.syncer.Run, n.confirmer.Run, func(ctx context.Context) {
		defer stopServing()
		n.awaitStop(ctx, signalCtx, shutdownDelay)
	})
	if n.background != nil {
		node.Background = append(node.Background, n.background)
	}
	err := node.Run(serving)
	n.log.WithField("totals", n.events.Totals()).Info("stopped")
	return errors.WithStack(err)
}

// stopReserve is the part of the grace period that neither the shutdown delay nor the node's
// goroutines may use.
const stopReserve = hostDialTimeout + logging.FlushTimeout + exitMargin

// limitShutdownDelay shortens the shutdown delay so that the process ends within the platform's
// grace period. It returns the delay unchanged if the settings name no grace period.
func limitShutdownDelay(grace, shutdownDelay time.Duration) time.Duration {
	if grace <= 0 {
		return shutdownDelay
	}
	return max(0, min(shutdownDelay, grace-stopReserve-minStopTimeout))
}

// stopTimeout returns how long the node may wait for its goroutines after the shutdown
// delay, so that the process ends within the platform's grace period. It returns 0, the
// node's default, if the settings name no grace period.
func stopTimeout(grace, shutdownDelay time.Duration) time.Duration {
	if grace <= 0 {
		return 0
	}
	return max(minStopTimeout, grace-shutdownDelay-stopReserve)
}

// awaitStop waits for a signal to stop, makes the process report not ready, and returns
// after the shutdown delay, or if ctx is done.
func (n *datagramNode) awaitStop(ctx, signalCtx context.Context, shutdownDelay time.Duration) {
	select {
	case <-ctx.Done():
		return
	case <-signalCtx.Done():
	}
	n.stopping.Store(true)
	n.log.WithField("linger_ms", shutdownDelay.Milliseconds()).Info("stopping")
	if n.onStop != nil {
		n.onStop()
	}
	delay := time.NewTimer(shutdownDelay)
	defer delay.Stop()
	select {
	case <-ctx.Done():
	case <-delay.C:
	}
}

// newSyncer returns the syncer that keeps the tracker up to date.
func (n *datagramNode) newSyncer() *catalog.Syncer {
	rejected := catalog.NewRejectedValues(n.log)
	store := platform.NewStoreClient(n.settings.StoreAddr)
	n.metricSources = append(n.metricSources, rejected, store)
	var previous *catalog.Catalog
	return &catalog.Syncer{
		Store:   platform.NewSource(store, n.now, rejected.Record),
		Peers:   catalog.NewPeerClient(platform.Decode, n.now, rejected.Record),
		Tracker: n.tracker, Self: n.settings.IP.As4(), Zone: n.settings.Zone, PeerPort: n.settings.PeerPort,
		Seeds: n.settings.Seeds, FirstStart: n.settings.FirstStart,
		// No flow is older than the system.
		ReadHistory: n.settings.Service != "" && !n.settings.FirstStart, Log: n.log, Now: n.now,
		OnChange: func(c *catalog.Catalog) {
			if n.onCatalogChange != nil {
				n.onCatalogChange(previous, c)
			}
			previous = c
		},
	}
}

func (n *datagramNode) listConfirmed() {
	if n.onListConfirmed != nil {
		n.onListConfirmed()
	}
}

// watchReload logs SIGHUP and otherwise ignores it. No setting of a running process
// can change, since the settings are its socket addresses and the service of its
// host.
func (n *datagramNode) watchReload(ctx context.Context) {
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighups:
			n.log.Info("reload_requested")
		}
	}
}

func (n *datagramNode) isReady() bool {
	return !n.stopping.Load() && n.tracker.Current() != nil
}

func (n *datagramNode) peerAddr() netip.AddrPort {
	return netip.AddrPortFrom(n.settings.IP, n.settings.PeerPort)
}

func (n *datagramNode) newNode() *datagram.Node {
	return &datagram.Node{
		Sockets: datagram.Sockets{
			Peers: n.peerAddr(), FromHost: n.settings.HostOutboundAddr, Host: n.settings.HostAddr,
		},
		RequesterPort: n.settings.PacketAddr.Port(),
		Servers:       n.servers(),
		Now:           n.now, Log: n.log, Events: n.events,
	}
}

func (n *datagramNode) servers() []datagram.Server {
	peers := http.NewServeMux()
	peers.Handle("/", catalog.PeerHandler(n.tracker, n.now))
	peers.Handle(catalog.ConfirmPath, n.confirmer.Handler())
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return []datagram.Server{
		{Name: "ready", Address: n.settings.ReadyAddr, Handler: ready},
		{Name: "peers", Address: n.peerAddr().String(), Handler: peers},
		{Name: "control", Address: n.settings.ControlAddr, Handler: peers},
	}
}

func buildDatagramEntry(n *datagramNode) *datagram.Node {
	e := datagram.NewEntry(datagram.EntryConfig{
		Zone: n.settings.Zone, Self: flow.EndpointOf(n.peerAddr()), PeerPort: n.settings.PeerPort,
		Codec: platform.Codec{}, Catalog: n.tracker.Current, Events: n.events,
		NewerConfig: n.syncer.NotifyConfig,
	})
	n.metricSources, n.explain = append(n.metricSources, n.events, e), e.Explain
	node := n.newNode()
	node.Sockets.Requesters = n.settings.PacketAddr
	node.OnRequester = e.HandlePacket
	node.OnPeer = func(now time.Duration, from [4]byte, data []byte, _ datagram.Output) { e.HandleFrame(now, from, data) }
	node.Expire = e.Expire
	return node
}

// isHostStopped reports whether the backend server refuses connections, so nothing
// listens at its address. The platform stops an agent after its backend server, but
// also to replace only the agent; the connection attempt tells these cases apart.
func isHostStopped(host netip.AddrPort) bool {
	conn, err := net.DialTimeout("tcp4", host.String(), hostDialTimeout)
	if err == nil {
		_ = conn.Close() // Nothing was sent.
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// watchUnlistedHost connects to the backend server at regular intervals while it is
// not listed, to find out whether it runs. It begins before the first catalog, because
// a server that starts with this process may run by then.
func (n *datagramNode) watchUnlistedHost(ctx context.Context) {
	ticker := time.NewTicker(unlistedHostCheckInterval)
	defer ticker.Stop()
	refused := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c := n.tracker.Current()
		if c != nil && c.Hosts[n.settings.IP.As4()] != nil {
			continue
		}
		conn, err := net.DialTimeout("tcp4", n.settings.HostAddr.String(), hostDialTimeout)
		if err == nil {
			_ = conn.Close() // Nothing was sent.
		}
		refused = refused || errors.Is(err, syscall.ECONNREFUSED)
		if refused && err == nil {
			n.hostWasDown.Store(true)
		}
		if running := err == nil; n.hostRunning.Swap(running) != running {
			n.log.WithField("running", running).Info("unlisted_host")
		}
	}
}

func buildDatagramAgent(n *datagramNode) *datagram.Node {
	alarm := datagram.NewAlarm()
	a := datagram.NewAgent(datagram.AgentConfig{
		WakeAt: alarm.WakeAt,
		Self:   flow.EndpointOf(n.peerAddr()), Service: n.settings.Service, FlowLifetime: n.settings.FlowLifetime,
		StrayWindow: n.settings.StrayWindow, RecoveryTime: n.settings.RecoveryTime,
		ColdOverage: n.settings.ColdOverage, ColdSlack: n.settings.ColdSlack,
		Restarted: !n.settings.FirstStart, StartedAt: n.started,
		HostRunning: n.hostRunning.Load, HostWasDown: n.hostWasDown.Load,
		ListConfirmer: n.confirmer,
		Codec:         platform.Codec{}, Catalog: n.tracker.Current, Events: n.events,
		NewerConfig: n.syncer.NotifyConfig,
	})
	n.metricSources, n.explain = append(n.metricSources, n.events, a), a.Explain
	n.background = n.watchUnlistedHost
	node := n.newNode()
	n.onCatalogChange = func(old, c *catalog.Catalog) {
		if old == nil {
			a.Start(c, node.NewOutput())
			return
		}
		if !slices.Equal(old.Agents, c.Agents) {
			out := node.NewOutput()
			a.KeepersChanged(node.Now(), old, c, out)
			a.AgentsListed(node.Now(), old, c, out)
			a.HostsRemoved(node.Now(), old, c, out)
		}
	}
	n.onStop = func() {
		a.ReleaseAll(node.Now(), node.NewOutput())
		stopped := isHostStopped(n.settings.HostAddr)
		n.log.WithField("host_ended", stopped).Info("leaving")
		if stopped {
			a.HostEnded(node.NewOutput())
		}
	}
	n.onListConfirmed = func() { a.ListConfirmed(node.Now(), node.NewOutput()) }
	node.Flush, node.Alarm = a.Flush, alarm
	node.OnPeer = a.HandleFrame
	node.OnHost = a.HandleHost
	node.Expire = a.Expire
	node.Tick = a.Tick
	return node
}
