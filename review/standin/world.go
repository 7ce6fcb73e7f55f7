//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Kinds of machines; the kind is the third octet of their addresses.
const (
	kindEntry = iota + 1
	kindHost
	kindRequester
	kindRouter
)

// Ports that are the same on all machines.
const (
	portPackets  = 18172
	portReady    = 18167
	portControl  = 18166
	portPeers    = 17720
	portOutbound = 18162
	portApp      = 18080
)

// The bounds of the settings.
const (
	contact     = 4 * time.Second
	drainBound  = 3 * time.Second
	applyBound  = 3 * time.Second
	strayPeriod = 2 * time.Second
	strayLimit  = 3
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 300 * time.Millisecond
)

// run is the execution of a request by a host.
type run struct {
	host            *host
	begun, answered time.Time
}

// flowLog is what requesters and hosts saw of a flow.
type flowLog struct {
	host             *host
	opened, ended    time.Time
	synSent          time.Time
	sends            []time.Time
	atOwn, elsewhere []time.Time
	resets           []time.Time
}

// world holds the stand-ins of a case and the processes of the system.
type world struct {
	octet        byte
	dir, binary  string
	store        *store
	storeAddress string
	router       *router
	hosts        []*host
	begin        time.Time
	file         *os.File
	unasked      atomic.Int64
	mixed        atomic.Int64

	mu        sync.Mutex
	flows     map[flowKey]*flowLog
	runs      map[string]*run
	askedIn   map[string]flowKey
	outcomes  map[string]int
	processes []*process
}

// errCannotRun ends a case that could not be played.
type errCannotRun struct{ error }

func (w *world) must(err error) {
	if err != nil {
		panic(errCannotRun{err})
	}
}

func newWorld(recordPath, binary string) *world {
	w := &world{
		binary: binary, store: newStore(), begin: time.Now(),
		flows: make(map[flowKey]*flowLog), runs: make(map[string]*run), askedIn: make(map[string]flowKey), outcomes: make(map[string]int),
	}
	var err error
	w.file, err = os.Create(recordPath)
	w.must(err)
	w.dir, err = os.MkdirTemp("", "review-")
	w.must(err)
	w.octet = freeOctet()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	w.must(err)
	w.storeAddress = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}).Serve(listener) }()
	return w
}

// freeOctet returns the second octet of a range of loopback addresses that nothing
// listens on.
func freeOctet() byte {
	for {
		octet := byte(100 + rand.IntN(100))
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.1:%d", octet, kindEntry, portReady))
		if err == nil {
			_ = listener.Close()
			return octet
		}
	}
}

func (w *world) random() uint32 { return rand.Uint32() }

func (w *world) ip(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.octet, byte(kind), byte(n + 1)})
}

func number(ip netip.Addr) uint32 {
	b := ip.As4()
	return binary.BigEndian.Uint32(b[:])
}

// record writes a line with the time since the start.
func (w *world) record(format string, args ...any) {
	_, _ = fmt.Fprintf(w.file, "%8.3f %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) flow(key flowKey) *flowLog {
	f := w.flows[key]
	if f == nil {
		f = &flowLog{}
		w.flows[key] = f
	}
	return f
}

func (w *world) sent(key flowKey, p *packet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.flow(key)
	if p.flags&flagSyn != 0 {
		f.synSent = time.Now()
	}
	f.sends = append(f.sends, time.Now())
	w.record("sent %v flags=%d seq=%d len=%d", key, p.flags, p.seq, len(p.data))
}

// arrived records a packet of a requester that reached a host.
func (w *world) arrived(h *host, key flowKey, p *packet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.flow(key)
	switch {
	case p.flags&flagSyn != 0:
	case f.host == h:
		f.atOwn = append(f.atOwn, time.Now())
	default:
		f.elsewhere = append(f.elsewhere, time.Now())
	}
	w.record("arrived %v at %s flags=%d seq=%d len=%d", key, h.id, p.flags, p.seq, len(p.data))
}

func (w *world) flowOpened(h *host, key flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.flow(key)
	f.host, f.opened, f.elsewhere = h, time.Now(), nil
	w.record("opened %v at %s", key, h.id)
}

func (w *world) flowEnded(key flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flow(key).ended = time.Now()
}

func (w *world) resetOpen(key flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.flow(key)
	f.resets = append(f.resets, time.Now())
	w.record("reset %v", key)
}

func (w *world) asked(id string, key flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.askedIn[id] = key
	w.record("asked %s on %v", id, key)
}

func (w *world) runBegun(h *host, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[id] != nil {
		w.record("TWICE %s at %s", id, h.id)
	}
	w.runs[id] = &run{host: h, begun: time.Now()}
	w.record("runs %s at %s", id, h.id)
}

func (w *world) runEnded(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id].answered = time.Now()
	w.record("answered %s", id)
}

func (w *world) outcome(id, what string, begin time.Time) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[what]++
	w.record("outcome %s: %s after %v", id, what, time.Since(begin).Round(time.Millisecond))
	return what
}

// process is a process of the system.
type process struct {
	w             *world
	name, command string
	settings      string
	ip            netip.Addr

	mu      sync.Mutex
	current *exec.Cmd
	ended   chan struct{}
	// status is how the last process ended.
	status string
}

// start starts a process with a command of the deploy file.
func (w *world) start(name, command string, ip netip.Addr, settings map[string]any) *process {
	p := &process{w: w, name: name, command: command, ip: ip, settings: filepath.Join(w.dir, name+".json")}
	data, err := json.MarshalIndent(settings, "", " ")
	w.must(err)
	w.must(os.WriteFile(p.settings, data, 0o600))
	p.spawn()
	w.processes = append(w.processes, p)
	return p
}

func (p *process) spawn() {
	log, err := os.OpenFile(filepath.Join(p.w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	p.w.must(err)
	cmd := exec.Command(p.w.binary, strings.Fields(p.command)...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TURMERICROCK_CONFIG=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.w.must(cmd.Start())
	ended := make(chan struct{})
	p.mu.Lock()
	p.current, p.ended = cmd, ended
	p.mu.Unlock()
	p.w.record("started %s pid %d", p.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.status = "exit status 0"
		if err != nil {
			p.status = err.Error()
		}
		p.mu.Unlock()
		p.w.record("ended %s pid %d: %v", p.name, cmd.Process.Pid, err)
		close(ended)
	}()
}

// signal sends a signal and returns a channel that is closed when the process has ended.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.w.record("signal %s: %v", p.name, s)
	_ = p.current.Process.Signal(s)
	return p.ended
}

// restart stops the process by a signal and starts it again.
func (p *process) restart(s syscall.Signal) {
	<-p.signal(s)
	time.Sleep(restartDelay)
	p.spawn()
}

// settings returns the settings of a process as the platform writes them.
func (w *world) settings(kind, n int, zone string, zones []string, service string, bootstrap bool) map[string]any {
	ip := w.ip(kind, n)
	on := func(port uint16) string { return netip.AddrPortFrom(ip, port).String() }
	regions := make(map[string]string)
	for _, z := range zones {
		regions[z] = "midlands"
	}
	s := map[string]any{
		"node_name": fmt.Sprintf("node-%d-%d", kind, n), "ip": ip.String(), "zone": zone, "region": "midlands", "zones": regions,
		"internal_ports": []int{portPeers, portPeers + 15}, "seeds": []string{netip.AddrPortFrom(w.ip(kindEntry, 0), portControl).String()},
		"bootstrap": bootstrap, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.24, "cpu_cores": 1, "memory_mb": 152, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry_mode": "announce", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "recover", "flows", "places", "platform"},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": contact.Milliseconds(), "ack_ms": 5000, "catch_up_s": 4, "drain_ms": drainBound.Milliseconds(),
			"grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": applyBound.Milliseconds(), "downgrade_slack_ms": 250, "max_skew_ms": 12000,
			"cold_overage": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "flow_stray_ms": strayPeriod.Milliseconds(), "flow_lifetime_s": 60,
		},
		"flow_hash": "mod", "forwarding_mode": "agent",
		"platform": map[string]any{
			"address": w.storeAddress, "forwarding_mode": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	}
	listen := map[string]string{"datagram_listen": on(portPackets), "ready": on(portReady)}
	if kind == kindEntry {
		listen["control"] = on(portControl)
		s["role"], s["machine_class"], s["serves"] = "entry", "edge", []string{"edge", "control_plane"}
	} else {
		listen["outbound"] = on(portOutbound)
		s["role"], s["machine_class"], s["serves"] = "agent", "side", []string{"side"}
		s["app"], s["backend"] = on(portApp), service
	}
	s["listen_addrs"] = listen
	return s
}

// The commands of the deploy file.
const (
	entryCommand = "datagram-entry -metrics-port 9464"
	agentCommand = "datagram-agent -metrics-port 9464"
)

// startSystem starts entries and an agent beside each host.
func (w *world) startSystem(zones []string, entries int) (agents []*process) {
	var addresses []netip.Addr
	for n := range entries {
		zone := zones[n%len(zones)]
		w.start(fmt.Sprintf("entry-%d", n), entryCommand, w.ip(kindEntry, n), w.settings(kindEntry, n, zone, zones, "", true))
		addresses = append(addresses, w.ip(kindEntry, n))
	}
	for n, h := range w.hosts {
		agents = append(agents, w.start("agent-"+h.id, agentCommand, h.ip, w.settings(kindHost, n, h.zone, zones, h.service, true)))
	}
	w.router = newRouter(w, addresses)
	deadline := time.Now().Add(15 * time.Second)
	for _, p := range w.processes {
		for !isReady(p.ip) {
			if time.Now().After(deadline) {
				panic(errCannotRun{errors.New(p.name + " is not ready")})
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The platform's settings say that the system starts for the first time only then.
	for _, p := range w.processes {
		data, err := os.ReadFile(p.settings)
		w.must(err)
		w.must(os.WriteFile(p.settings, []byte(strings.Replace(string(data), `"bootstrap": true`, `"bootstrap": false`, 1)), 0o600))
	}
	w.record("all processes are ready")
	return agents
}

func isReady(ip netip.Addr) bool {
	client := &http.Client{Timeout: readyTimeout}
	response, err := client.Get("http://" + netip.AddrPortFrom(ip, portReady).String() + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends all processes that the case started.
func (w *world) stop() {
	for _, p := range w.processes {
		ended := p.signal(syscall.SIGKILL)
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
	_ = w.file.Close()
}
