package bench

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go/http3"
	"golang.org/x/sync/errgroup"

	"github.com/turmericrock/turmericrock/caller"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/backend"
	"github.com/turmericrock/turmericrock/internal/standin/pki"
	"github.com/turmericrock/turmericrock/internal/standin/world"
)

// Today's press and packing service in small.
const (
	latencyEntries = 4
	latencyHosts   = 7
	latencyCallers = 14
	latencyAsks    = 300
	latencyLimit   = time.Minute
	memoryFlows    = 500
	openAtOnce     = 16
	directName     = "direct.test"
)

var latencyBackend = backend.Config{Slots: 50, ServiceTime: time.Millisecond}

// measureLatency compares requests over the whole path with requests to the
// same handler over HTTP/3, and takes the agent's memory for a flow. The
// fabric's stand-in is part of the path.
func measureLatency(binary string, show func(Figure)) error {
	ctx, cancel := context.WithTimeout(context.Background(), latencyLimit)
	defer cancel()
	folder, err := os.MkdirTemp("", "bench")
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	w, agents, err := startFleet(ctx, binary, folder)
	if w != nil {
		defer w.Close()
	}
	if err != nil {
		return err
	}
	direct, server, err := startDirect()
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	near, err := askAll(ctx, func() *caller.Client { return caller.New(direct) })
	if err != nil {
		return err
	}
	far, err := askAll(ctx, func() *caller.Client { return w.Client(benchService.ID) })
	if err != nil {
		return err
	}
	for _, quantile := range []float64{50, 99} {
		d, f := near.ValueAtQuantile(quantile), far.ValueAtQuantile(quantile)
		show(Figure{Name: fmt.Sprintf("latency_direct_p%.0f", quantile), Value: float64(d), Unit: "us"})
		show(Figure{Name: fmt.Sprintf("latency_path_p%.0f", quantile), Value: float64(f), Unit: "us"})
		show(Figure{Name: fmt.Sprintf("latency_added_p%.0f", quantile), Value: float64(f - d), Unit: "us"})
	}
	return measureFlowMemory(ctx, w, agents, show)
}

func startFleet(ctx context.Context, binary, folder string) (*world.World, []*world.Node, error) {
	w, err := world.New(world.Config{
		Binary:   binary,
		Folder:   folder,
		Zones:    []fleet.Zone{benchZone},
		Services: []fleet.Service{benchService},
	})
	if err != nil {
		return nil, nil, err
	}
	for i := range latencyEntries {
		if _, err := w.StartEntry(fmt.Sprintf("entry-%d", i), benchZone.Name); err != nil {
			return w, nil, err
		}
	}
	var agents []*world.Node
	for i := range latencyHosts {
		agent, err := w.StartAgent(fmt.Sprintf("agent-%d", i), benchZone.Name, benchService.ID, latencyBackend)
		if err != nil {
			return w, nil, err
		}
		agents = append(agents, agent)
	}
	return w, agents, w.WaitReady(ctx, benchService.ID)
}

// startDirect serves the backend server's handler over HTTP/3.
func startDirect() (caller.Config, *http3.Server, error) {
	config := caller.DefaultConfig()
	authority, err := pki.NewAuthority()
	if err != nil {
		return config, nil, err
	}
	certificate, err := authority.TLSCertificate(directName)
	if err != nil {
		return config, nil, err
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return config, nil, errors.WithStack(err)
	}
	server := &http3.Server{
		Handler:   backend.New(latencyBackend, backend.NewRunCounter()),
		TLSConfig: http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{certificate}}),
	}
	go func() { _ = server.Serve(conn) }()
	config.Addr = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	config.ServerName = directName
	config.TLS = &tls.Config{RootCAs: authority.RootCAs(), MinVersion: tls.VersionTLS13}
	return config, server, nil
}

// askAll lets callers ask at once, each on a flow of its own, and returns the
// times in microseconds.
func askAll(ctx context.Context, open func() *caller.Client) (*hdr.Histogram, error) {
	histograms := make([]*hdr.Histogram, latencyCallers)
	group, ctx := errgroup.WithContext(ctx)
	for i := range histograms {
		histograms[i] = hdr.New(1, time.Minute.Microseconds(), 3)
		group.Go(func() error {
			client := open()
			defer client.Close()
			return askMany(ctx, client, histograms[i])
		})
	}
	err := group.Wait()
	for _, histogram := range histograms[1:] {
		histograms[0].Merge(histogram)
	}
	return histograms[0], err
}

func askMany(ctx context.Context, client *caller.Client, histogram *hdr.Histogram) error {
	if err := ask(ctx, client); err != nil {
		return err
	}
	for range latencyAsks {
		start := time.Now()
		if err := ask(ctx, client); err != nil {
			return err
		}
		if err := histogram.RecordValue(time.Since(start).Microseconds()); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

func ask(ctx context.Context, client *caller.Client) error {
	_, err := client.Do(ctx, caller.Request{Method: http.MethodGet, Path: "/lookup"})
	return err
}

// measureFlowMemory opens flows, one request on each, and takes the growth of
// all agents.
func measureFlowMemory(ctx context.Context, w *world.World, agents []*world.Node, show func(Figure)) error {
	before, err := resident(agents)
	if err != nil {
		return err
	}
	clients := make([]*caller.Client, memoryFlows)
	for i := range clients {
		clients[i] = w.Client(benchService.ID)
		defer clients[i].Close()
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(openAtOnce)
	for _, client := range clients {
		group.Go(func() error { return ask(groupCtx, client) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	after, err := resident(agents)
	if err != nil {
		return err
	}
	show(Figure{Name: "agent_memory_per_flow", Value: (after - before) / memoryFlows / 1024, Unit: "KiB"})
	return nil
}

func resident(nodes []*world.Node) (float64, error) {
	total := 0.0
	for _, n := range nodes {
		usage, err := n.Usage()
		if err != nil {
			return 0, err
		}
		total += float64(usage.ResidentBytes)
	}
	return total, nil
}
