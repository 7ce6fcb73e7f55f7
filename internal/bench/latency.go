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

// A reduced version of the deployment that serves the press and packing service
// today.
const (
	latencyEntries    = 4
	latencyHosts      = 7
	latencyCallers    = 14
	requestsPerCaller = 300
	latencyTimeout    = time.Minute
	memoryFlows       = 500
	concurrentOpens   = 16
	directServerName  = "direct.test"
)

var latencyBackend = backend.Config{Slots: 50, ServiceTime: time.Millisecond}

// measureLatency compares the latency of requests over the whole path with that
// of direct HTTP/3 requests to the same handler, and measures the agents' memory
// per flow. The path includes the simulated network fabric.
func measureLatency(binary string, show func(Figure)) error {
	ctx, cancel := context.WithTimeout(context.Background(), latencyTimeout)
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
	directConfig, server, err := startDirectServer()
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	directTimes, err := measureRequests(ctx, func() *caller.Client { return caller.New(directConfig) })
	if err != nil {
		return err
	}
	pathTimes, err := measureRequests(ctx, func() *caller.Client { return w.Client(benchService.ID) })
	if err != nil {
		return err
	}
	for _, quantile := range []float64{50, 99} {
		directLatency, pathLatency := directTimes.ValueAtQuantile(quantile), pathTimes.ValueAtQuantile(quantile)
		show(Figure{Name: fmt.Sprintf("latency_direct_p%.0f", quantile), Value: float64(directLatency), Unit: "us"})
		show(Figure{Name: fmt.Sprintf("latency_path_p%.0f", quantile), Value: float64(pathLatency), Unit: "us"})
		show(Figure{Name: fmt.Sprintf("latency_added_p%.0f", quantile), Value: float64(pathLatency - directLatency), Unit: "us"})
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

// startDirectServer serves the backend server's handler directly over HTTP/3. It
// returns the configuration of a caller of that server.
func startDirectServer() (caller.Config, *http3.Server, error) {
	config := caller.DefaultConfig()
	authority, err := pki.NewAuthority()
	if err != nil {
		return config, nil, err
	}
	certificate, err := authority.TLSCertificate(directServerName)
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
	config.ServerName = directServerName
	config.TLS = &tls.Config{RootCAs: authority.RootCAs(), MinVersion: tls.VersionTLS13}
	return config, server, nil
}

// measureRequests runs latencyCallers callers concurrently, each on its own
// flow, and returns the latencies of their requests in microseconds.
func measureRequests(ctx context.Context, newClient func() *caller.Client) (*hdr.Histogram, error) {
	histograms := make([]*hdr.Histogram, latencyCallers)
	group, ctx := errgroup.WithContext(ctx)
	for i := range histograms {
		histograms[i] = hdr.New(1, time.Minute.Microseconds(), 3)
		group.Go(func() error {
			client := newClient()
			defer client.Close()
			return measureCaller(ctx, client, histograms[i])
		})
	}
	err := group.Wait()
	for _, histogram := range histograms[1:] {
		histograms[0].Merge(histogram)
	}
	return histograms[0], err
}

func measureCaller(ctx context.Context, client *caller.Client, histogram *hdr.Histogram) error {
	if err := sendRequest(ctx, client); err != nil {
		return err
	}
	for range requestsPerCaller {
		start := time.Now()
		if err := sendRequest(ctx, client); err != nil {
			return err
		}
		if err := histogram.RecordValue(time.Since(start).Microseconds()); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

func sendRequest(ctx context.Context, client *caller.Client) error {
	_, err := client.Do(ctx, caller.Request{Method: http.MethodGet, Path: "/lookup"})
	return err
}

// measureFlowMemory opens memoryFlows flows, sends one request on each and
// measures the growth of the resident memory of all agents, per flow.
func measureFlowMemory(ctx context.Context, w *world.World, agents []*world.Node, show func(Figure)) error {
	before, err := residentBytes(agents)
	if err != nil {
		return err
	}
	clients := make([]*caller.Client, memoryFlows)
	for i := range clients {
		clients[i] = w.Client(benchService.ID)
		defer clients[i].Close()
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(concurrentOpens)
	for _, client := range clients {
		group.Go(func() error { return sendRequest(groupCtx, client) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	after, err := residentBytes(agents)
	if err != nil {
		return err
	}
	show(Figure{Name: "agent_memory_per_flow", Value: (after - before) / memoryFlows / 1024, Unit: "KiB"})
	return nil
}

func residentBytes(nodes []*world.Node) (float64, error) {
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
