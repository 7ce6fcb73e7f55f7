// Package soak tests the processes that forward opaque flows under random
// faults. It runs the real programs on loopback, between simulated requesters,
// routers, hosts and store, injects faults that a seed selects, and checks the
// documented guarantees against what requesters and hosts observe.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/internal/standin/store"
)

// Config configures a run.
type Config struct {
	// Binary is the path of the program under test, and Dir the folder for its
	// settings and logs.
	Binary, Dir string
	Seed        uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Entries, Hosts and Requesters are the number of each.
	Entries, Hosts, Requesters int
	// Restores is the number of times that the store returns from a copy after the last
	// of the other faults, each followed by a change of the configuration.
	Restores int
	// Loads replaces the other faults and the restores by loads above what the hosts serve, during which
	// agents fail.
	Loads bool
	// NetworkOctet is the second octet of the loopback addresses. Runs at the
	// same time need different values.
	NetworkOctet byte
	// Log is called for each fault and at the end of each phase.
	Log func(format string, args ...any)
}

// Report is the result of a run.
type Report struct {
	Served, Failed, Resets int
	// Refusals is the number of attempts that were refused under load.
	Refusals int
	// Probes is the number of checks that the latest configuration is in force.
	Probes     int
	Violations []Violation
}

// The commands under test.
const (
	entryCommand = "datagram-entry"
	agentCommand = "datagram-agent"
)

// Ports that are the same on all machines.
const (
	portPackets  = 17172
	portReady    = 17167
	portControl  = 17166
	portPeers    = 17170
	portOutbound = 17162
	portHost     = 17165
)

// The services of the run, with the ports of their routes.
var services = []struct {
	name string
	port uint16
}{{"desk", normalPort}, {"gallery", 8443}}

// The first service has a second route, of priority 1; the others have priority 2.
const (
	normalPort = 8080
	urgentPort = 8081
)

var virtualIP = [4]byte{198, 18, 0, 1}

// run is the state of a run.
type run struct {
	Config
	ctx     context.Context
	random  *rand.Rand
	checker *checker
	store   *store.Store
	clients *store.Clients
	written writtenVersions
	// probes counts the checks of the configuration in force.
	probes     atomic.Int64
	router     *router
	entries    []*process
	agents     []*process
	hosts      []*host
	requesters []*requester
	version    int
	// pressed holds the ports of the routes that are pressed, or nil.
	pressed atomic.Pointer[[]uint16]
	// hostWrites counts the writes of each host to its record.
	hostWritesMu sync.Mutex
	hostWrites   map[int]int
	startedAtMs  int64
}

func (r *run) nodeIP(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, r.NetworkOctet, byte(kind), byte(n + 1)})
}

// Kinds of machines; the kind is the third octet of their addresses.
const (
	kindEntry = iota + 1
	kindHost
	kindRequester
)

func zoneName(n int) string { return string(rune('a' + n%2)) }

// newRun returns a run and the address of its store, which is served until ctx is done.
func newRun(ctx context.Context, config Config) (*run, string, error) {
	metadata := store.New()
	r := &run{
		Config: config, ctx: ctx, checker: newChecker(), store: metadata, clients: store.NewClients(metadata),
		hostWrites: make(map[int]int), startedAtMs: time.Now().UnixMilli(),
		random: rand.New(rand.NewPCG(config.Seed, 1)),
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", errors.WithStack(err)
	}
	server := &http.Server{Handler: r.store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }() // Serve returns when the server is closed.
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return r, listener.Addr().String(), nil
}

// Run starts the system, injects faults and returns what the checks found. It
// returns an error if the system cannot be started.
func Run(ctx context.Context, config Config) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, storeAddress, err := newRun(ctx, config)
	if err != nil {
		return Report{}, err
	}
	defer r.stop()
	if err := r.start(storeAddress, r.startSupervised); err != nil {
		return Report{}, err
	}
	r.awaitResponses("first responses", recoveryBound)
	if config.Loads {
		err = r.injectLoads()
	} else {
		go r.writeOddEntries()
		r.injectFaults()
		r.endFaults()
		r.awaitResponses("responses after the last fault", recoveryBound)
		for range r.Restores {
			r.changeAfterRestore()
		}
	}
	if err != nil {
		return Report{}, err
	}
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	return Report{Served: r.checker.served, Failed: r.checker.failed, Resets: r.checker.resets, Refusals: r.checker.refusals, Probes: int(r.probes.Load()), Violations: r.checker.violations}, nil
}

// startSupervised starts a process that is restarted whenever it ends.
func (r *run) startSupervised(command, name string, settings []byte) error {
	p, err := startProcess(r.Binary, command, r.Dir, name, settings, r.checker.processExited)
	if err != nil {
		return err
	}
	if command == entryCommand {
		r.entries = append(r.entries, p)
	} else {
		r.agents = append(r.agents, p)
	}
	return nil
}

// start starts the hosts, the processes, by the given function, the router and the
// requesters.
func (r *run) start(storeAddress string, startProcess func(command, name string, settings []byte) error) error {
	for _, s := range services {
		r.checker.routes[flow.Endpoint{Addr: virtualIP, Port: s.port}] = s.name
	}
	r.checker.routes[flow.Endpoint{Addr: virtualIP, Port: urgentPort}] = services[0].name
	r.writeConfiguration()
	var addresses []netip.Addr
	for n := range r.Entries {
		addresses = append(addresses, r.nodeIP(kindEntry, n))
		if err := startProcess(entryCommand, fmt.Sprintf("entry-%d", n), r.settings(kindEntry, n, storeAddress)); err != nil {
			return err
		}
	}
	for n := range r.Hosts {
		ip := r.nodeIP(kindHost, n)
		h, err := startHost(services[n%2].name, uint32(n+1), netip.AddrPortFrom(ip, portHost), netip.AddrPortFrom(ip, portOutbound), r.checker)
		if err != nil {
			return errors.WithStack(err)
		}
		r.hosts = append(r.hosts, h)
		r.writeHostRecord(n, "ready")
		if err := startProcess(agentCommand, fmt.Sprintf("agent-%d", n), r.settings(kindHost, n, storeAddress)); err != nil {
			return err
		}
	}
	var err error
	if r.router, err = newRouter(addresses, portPackets, portReady, r.checker); err != nil {
		return errors.WithStack(err)
	}
	go r.router.checkReadiness(r.ctx)
	r.checker.hosts = r.hosts
	return r.startRequesters()
}

func (r *run) startRequesters() error {
	for n := range r.Requesters {
		q, err := r.newRequester(n)
		if err != nil {
			return err
		}
		r.requesters = append(r.requesters, q)
		go q.run(r.ctx)
	}
	if r.Loads {
		return nil // Overloaded services refuse the prober's flows, too.
	}
	prober, err := r.newRequester(r.Requesters)
	if err != nil {
		return err
	}
	go r.probeConfig(prober)
	return nil
}

func (r *run) newRequester(n int) (*requester, error) {
	ip := r.nodeIP(kindRequester, n)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, portPackets)))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s := services[n%2]
	port := s.port
	if n%4 == 2 {
		port = urgentPort
	}
	return &requester{
		addr: ip, port: portPackets, router: r.router, checker: r.checker, conn: conn, inbox: make(chan []byte, 64),
		random: rand.New(rand.NewPCG(r.Seed, uint64(n)+2)), service: flow.Endpoint{Addr: virtualIP, Port: port}, wantService: s.name,
	}, nil
}

// stop kills all processes and closes the hosts' sockets.
func (r *run) stop() {
	var group sync.WaitGroup
	for _, p := range append(r.entries, r.agents...) {
		group.Go(p.stop)
	}
	group.Wait()
	for _, h := range r.hosts {
		_ = h.conn.Close() // No more packets are read.
		h.crash()
	}
}

// awaitResponses waits until each requester has received a response, and
// records a violation if that takes longer than the bound.
func (r *run) awaitResponses(phase string, bound time.Duration) {
	begin := time.Now()
	waiting := append([]*requester(nil), r.requesters...)
	for len(waiting) > 0 && time.Since(begin) < bound && r.ctx.Err() == nil {
		var unanswered []*requester
		for _, q := range waiting {
			if q.lastServed.Load() < begin.UnixNano() {
				unanswered = append(unanswered, q)
			}
		}
		waiting = unanswered
		sleep(r.ctx, 20*time.Millisecond)
	}
	r.Log("%s: %v", phase, time.Since(begin).Round(time.Millisecond))
	if len(waiting) > 0 {
		r.checker.mu.Lock()
		defer r.checker.mu.Unlock()
		r.checker.addViolation("RECOVER", "%s: %d of %d requesters received no response within %v", phase, len(waiting), len(r.requesters), bound)
	}
}

// writeConfiguration writes the next version of the configuration to the
// store.
func (r *run) writeConfiguration() {
	r.version += 1 + int(r.version)%3
	var routes, declared []map[string]any
	addRoute := func(name string, port uint16, priority, timeout int, service string) {
		routes = append(routes, map[string]any{
			"name": name, "vhost": netip.AddrFrom4(virtualIP).String(), "prefix": fmt.Sprintf("/%d/", port),
			"route_type": "idempotent", "timeout_ms": timeout, "target_latency_ms": 200, "priority": priority, "backend": service, "max_attempts": 2,
		})
	}
	for _, s := range services {
		addRoute("r-"+s.name, s.port, 2, 2000+r.version, s.name)
		declared = append(declared, map[string]any{"name": s.name, "health_path": "/health", "max_conns": 2000, "warmup_s": 2.0, "warmup_per_s": 0})
	}
	addRoute("urgent", urgentPort, 1, 2000, services[0].name)
	addRoute("marker", markerOf(r.version).Port, 2, 2000, services[0].name)
	defer r.written.add(r.version)
	r.putJSON("op/config", map[string]any{
		"version": r.version, "routes": routes, "services": declared, "limits": map[string]any{"idle_timeout_ms": 15000},
	})
}

// writeHostRecord writes the record of a host to the store.
func (r *run) writeHostRecord(n int, state string) {
	r.hostWritesMu.Lock()
	r.hostWrites[n]++
	sequence := r.hostWrites[n]
	r.hostWritesMu.Unlock()
	r.putJSON(fmt.Sprintf("servers/h%d", n), map[string]any{
		"backend": services[n%2].name, "address": netip.AddrPortFrom(r.nodeIP(kindHost, n), portHost).String(), "zone": zoneName(n / 2),
		"version": "v1", "concurrency": hostSlots, "state": state, "warmup_left_ms": 0, "sequence": sequence, "born": r.startedAtMs,
	})
}

func (r *run) putJSON(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // Marshalling these types cannot fail.
	}
	r.clients.Put(key, data)
}

func (r *run) settings(kind, n int, storeAddress string) []byte {
	ip := r.nodeIP(kind, n)
	addrOn := func(port uint16) string { return netip.AddrPortFrom(ip, port).String() }
	settings := map[string]any{
		"node_name": fmt.Sprintf("node-%d-%d", kind, n), "ip": ip.String(), "zone": zoneName(n / 2), "internal_ports": []int{portPeers, portPeers + 9},
		"seeds":    []string{netip.AddrPortFrom(r.nodeIP(kindEntry, 0), portControl).String()},
		"bounds":   map[string]any{"flow_lifetime_s": 60, "cold_overage": 1.5, "cold_slack": 5, "grace_s": 6, "contact_ms": 4000, "flow_stray_ms": 2000},
		"platform": map[string]any{"address": storeAddress},
	}
	listen := map[string]string{"datagram_listen": addrOn(portPackets), "ready": addrOn(portReady)}
	if kind == kindEntry {
		listen["control"] = addrOn(portControl)
	} else {
		listen["outbound"] = addrOn(portOutbound)
		settings["app"], settings["backend"] = addrOn(portHost), services[n%2].name
	}
	settings["listen_addrs"] = listen
	data, err := json.Marshal(settings)
	if err != nil {
		panic(err) // Marshalling these types cannot fail.
	}
	return data
}
