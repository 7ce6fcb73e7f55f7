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
	"github.com/turmericrock/turmericrock/internal/logging"
	"github.com/turmericrock/turmericrock/internal/metrics"
	"github.com/turmericrock/turmericrock/internal/ops"
	"github.com/turmericrock/turmericrock/platform"
)

const datagramEntryHelp = `Runs an entry for opaque datagram flows on the platform: it receives requesters'
packets from the routers and forwards each to the agent that owns its flow. Settings
come from the platform's file, named by -settings or by TURMERICROCK_CONFIG. On
SIGTERM it leaves the routers' rotation, serves on until they have noticed, and ends.

Example:
  turmericrock datagram-entry -settings /etc/turmericrock/local.json`

const datagramAgentHelp = `Runs the agent for opaque datagram flows beside a backend server on the platform: it
owns the flows of the server, has the last word on each new one, and carries the
server's packets to the requesters. Settings come from the platform's file, named by
-settings or by TURMERICROCK_CONFIG.

Example:
  turmericrock datagram-agent -settings /etc/turmericrock/local.json`

type datagramCommand struct {
	settings string
	// metricsPort is where metrics are served, or 0.
	metricsPort uint
	out         io.Writer
	start       func(*datagramNode) *datagram.Node
	// linger is how long the process serves on after SIGTERM.
	linger time.Duration
}

// entryLinger covers the time that routers take to notice an entry that is not
// ready, at two misses of a check made twice a second, with some to spare.
const entryLinger = 1800 * time.Millisecond

func newDatagramEntryCommand(out, err io.Writer) *command {
	c := &datagramCommand{out: out, start: startDatagramEntry, linger: entryLinger}
	return c.command("datagram-entry", "forward packets of opaque flows to agents", datagramEntryHelp, err)
}

func newDatagramAgentCommand(out, err io.Writer) *command {
	c := &datagramCommand{out: out, start: startDatagramAgent}
	return c.command("datagram-agent", "own the opaque flows of a backend server", datagramAgentHelp, err)
}

func (c *datagramCommand) command(name, synopsis, help string, err io.Writer) *command {
	return &command{
		name: name, synopsis: synopsis, usage: "[-settings FILE] [-metrics-port PORT]", help: help, err: err,
		flags: func(f *flag.FlagSet) {
			f.UintVar(&c.metricsPort, "metrics-port", 0, "TCP `port` of /metrics at the machine's address; 0 serves none")
			f.StringVar(&c.settings, "settings", os.Getenv(platform.SettingsEnv), "`file` with the platform's settings")
		},
		run: c.run,
	}
}

// hostDialTimeout bounds the attempt to reach the host on the same machine.
const hostDialTimeout = 100 * time.Millisecond

// datagramNode is what both roles start from.
type datagramNode struct {
	settings *platform.Settings
	tracker  *catalog.Tracker
	events   *datagram.Events
	log      *logrus.Entry
	now      func() time.Duration
	started  time.Time
	stopping atomic.Bool
	// sources count what happens.
	sources []metrics.Source
	// changed is called with the snapshot before, which may be nil, and the
	// new one.
	changed func(old, c *catalog.Catalog)
	// leaving is called when the process is told to stop, and may be nil.
	leaving func()
}

func (c *datagramCommand) run(ctx context.Context, args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if err := required("settings", c.settings); err != nil {
		return err
	}
	loaded, err := platform.LoadSettings(c.settings)
	if err != nil {
		return err
	}
	lines := logging.NewQueue(c.out)
	defer lines.Close()
	logger, err := logging.New(lines, logrus.InfoLevel.String())
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
	log.WithField("version", Version()).Info("started")
	node := c.start(n)
	if c.metricsPort != 0 {
		address := netip.AddrPortFrom(loaded.IP, uint16(c.metricsPort)).String()
		node.Servers = append(node.Servers, datagram.Server{
			Name: "metrics", Address: address, Handler: ops.MetricsHandler(n.sources), Optional: true,
		})
	}
	return n.run(ctx, node, c.linger)
}

func (n *datagramNode) run(ctx context.Context, node *datagram.Node, linger time.Duration) error {
	signalled, stop := untilSignal(ctx)
	defer stop()
	serving, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	if err := node.Listen(); err != nil {
		return err
	}
	go n.watchReload(serving)
	context.AfterFunc(signalled, func() {
		n.stopping.Store(true)
		n.log.WithField("linger_ms", linger.Milliseconds()).Info("stopping")
		if n.leaving != nil {
			n.leaving()
		}
		time.AfterFunc(linger, end)
	})
	var last *catalog.Catalog
	rejected := func(v catalog.Value, err error) {
		n.log.WithError(err).WithFields(logrus.Fields{"key": v.Key, "revision": v.Revision}).Warn("value_rejected")
	}
	syncer := &catalog.Syncer{
		Store:   platform.NewSource(platform.NewStoreClient(n.settings.StoreAddr), n.now, rejected),
		Peers:   catalog.NewPeerClient(platform.Decode, n.now, rejected),
		Tracker: n.tracker, Self: n.settings.IP.As4(), Zone: n.settings.Zone, PeerPort: n.settings.PeerPort,
		Seeds: n.settings.Seeds, ReadHistory: n.settings.Service != "", Log: n.log, Now: n.now,
		OnChange: func(c *catalog.Catalog) {
			if n.changed != nil {
				n.changed(last, c)
			}
			last = c
		},
	}
	go syncer.Run(serving)
	err := node.Run(serving)
	n.log.WithField("totals", n.events.Totals()).Info("stopped")
	return errors.WithStack(err)
}

// watchReload logs requests to read the settings anew. No setting that a
// running process uses can change in place: addresses and service are those
// of its sockets and its host.
func (n *datagramNode) watchReload(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			n.log.Info("reload_requested")
		}
	}
}

func (n *datagramNode) ready() bool {
	return !n.stopping.Load() && n.tracker.Current() != nil
}

func (n *datagramNode) self() netip.AddrPort {
	return netip.AddrPortFrom(n.settings.IP, n.settings.PeerPort)
}

func (n *datagramNode) node() *datagram.Node {
	return &datagram.Node{
		Sockets: datagram.Sockets{
			Peers: n.self(), FromHost: n.settings.HostOutboundAddr, Host: n.settings.HostAddr,
		},
		RequesterPort: n.settings.PacketAddr.Port(),
		Servers:       n.servers(),
		Now:           n.now, Log: n.log, Events: n.events,
	}
}

func (n *datagramNode) servers() []datagram.Server {
	peers := catalog.PeerHandler(n.tracker, n.now)
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return []datagram.Server{
		{Name: "ready", Address: n.settings.ReadyAddr, Handler: ready},
		{Name: "peers", Address: n.self().String(), Handler: peers},
		{Name: "control", Address: n.settings.ControlAddr, Handler: peers},
	}
}

func startDatagramEntry(n *datagramNode) *datagram.Node {
	e := datagram.NewEntry(datagram.EntryConfig{
		Zone: n.settings.Zone, Self: flow.EndpointOf(n.self()), PeerPort: n.settings.PeerPort,
		Codec: platform.Codec{}, Catalog: n.tracker.Current, Events: n.events,
	})
	n.sources = []metrics.Source{n.events, e}
	node := n.node()
	node.Sockets.Requesters = n.settings.PacketAddr
	node.OnRequester = e.HandlePacket
	node.OnPeer = func(now time.Duration, from [4]byte, data []byte, _ datagram.Output) { e.HandleFrame(now, from, data) }
	node.Expire = e.Expire
	return node
}

// hostEnded reports whether nothing listens any more at the host's address. The
// platform stops an agent after its host, but also to replace the agent alone.
func hostEnded(host netip.AddrPort) bool {
	conn, err := net.DialTimeout("tcp4", host.String(), hostDialTimeout)
	if err == nil {
		_ = conn.Close() // Nothing was sent.
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func startDatagramAgent(n *datagramNode) *datagram.Node {
	a := datagram.NewAgent(datagram.AgentConfig{
		Self: flow.EndpointOf(n.self()), Service: n.settings.Service, FlowLifetime: n.settings.FlowLifetime,
		ColdOverage: n.settings.ColdOverage, ColdSlack: n.settings.ColdSlack,
		Restarted: !n.settings.FirstStart, StartedAt: n.started,
		Codec: platform.Codec{}, Catalog: n.tracker.Current, Events: n.events,
	})
	n.sources = []metrics.Source{n.events, a}
	node := n.node()
	n.changed = func(old, c *catalog.Catalog) {
		if old == nil {
			a.Start(c, node.NewOutput())
			return
		}
		if !slices.Equal(old.Agents, c.Agents) {
			out := node.NewOutput()
			a.KeepersChanged(old, c, out)
			a.HostsRemoved(node.Now(), old, c, out)
		}
	}
	n.leaving = func() {
		ended := hostEnded(n.settings.HostAddr)
		n.log.WithField("host_ended", ended).Info("leaving")
		if ended {
			a.HostEnded(node.NewOutput())
		}
	}
	node.OnPeer = a.HandleFrame
	node.OnHost = a.HandleHost
	node.Expire = a.Expire
	return node
}
