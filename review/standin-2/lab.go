// Command standin-2 plays the cases of the second review that cannot be written as a day of
// the users' bench. It starts the project's programs as separate processes, as the deploy
// file does, on loopback addresses, between stand-ins of the platform's store, hosts and
// requesters.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/turmericrock/turmericrock/internal/standin/store"
)

// Ports, as offsets from a base that is drawn for each run. They are the same on all machines.
const (
	portPackets = iota
	portOutbound
	portReady
	portControl
	portApp
	portStore
	portPeers      // The first of the internal ports.
	portsAll  = 24 // Of which 16 are internal ports.
)

// Kinds of machines, the third octet of their addresses.
const (
	kindEdge      = 1
	kindSide      = 2
	kindRequester = 3
	kindPath      = 8 // The paths of the machines to the store, by machine.
)

const (
	restartDelay = 300 * time.Millisecond
	graceS       = 6
	heartbeat    = 1200 * time.Millisecond
)

// lab is a small deployment.
type lab struct {
	root, dir string
	record    *record
	network   byte
	base      uint16
	store     *store.Store
	router    *router
	server    *http.Server
	machines  []*machine
	onOpened  func(h *host, k flowKey)
	// onPacket is called for each packet but openings that a host gets.
	onPacket func(h *host, k flowKey)

	mu        sync.Mutex
	bootstrap bool
	stopped   bool
}

// machine is a machine of the system with its process.
type machine struct {
	lab     *lab
	name    string
	zone    string
	kind, n int
	path    *gate
	host    *host
	service string
	// late reports that the machine is added during traffic.
	late bool

	mu      sync.Mutex
	current *exec.Cmd
	ended   chan struct{}
	held    bool // The machine has no power.
}

func newLab(root, recordPath string) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	l := &lab{root: root, dir: dir, record: r, store: store.New(), bootstrap: true}
	if err := l.findPorts(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", l.at(9, 1, portStore).String())
	if err != nil {
		return nil, err
	}
	l.server = &http.Server{Handler: withoutEra(l.store), ReadHeaderTimeout: time.Second}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// findPorts chooses a network and ports that are free.
func (l *lab) findPorts() error {
	for try := range 50 {
		l.network, l.base = byte(60+(os.Getpid()+try*7)%150), uint16(18000+(os.Getpid()*31+try*97)%12000)
		if l.isFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (l *lab) isFree() bool {
	for port := range portsAll {
		c, err := net.Listen("tcp4", l.at(kindEdge, 1, port).String())
		if err != nil {
			return false
		}
		_ = c.Close()
	}
	return true
}

func (l *lab) port(offset int) uint16 { return l.base + uint16(offset) }

func (l *lab) ip(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, l.network, byte(kind), byte(n)})
}

func (l *lab) at(kind, n, port int) netip.AddrPort {
	return netip.AddrPortFrom(l.ip(kind, n), l.port(port))
}

func (m *machine) addr(port int) netip.AddrPort { return m.lab.at(m.kind, m.n, port) }

// withoutEra leaves out a header that the platform's pages do not describe.
func withoutEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { next.ServeHTTP(&plainWriter{w}, r) })
}

type plainWriter struct{ http.ResponseWriter }

func (w *plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w *plainWriter) Write(b []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(b)
}

// put writes a value to the store, which confirms it.
func (l *lab) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // Marshalling these types cannot fail.
	}
	l.store.Put(key, data)
}

// addMachine adds a machine whose process is not started yet.
func (l *lab) addMachine(kind int, zone, service string) (*machine, error) {
	n, path := 1, len(l.machines)+1
	for _, m := range l.machines {
		if m.kind == kind {
			n++
		}
	}
	m := &machine{lab: l, kind: kind, n: n, zone: zone, service: service, name: fmt.Sprintf("%s-%s-%d", map[int]string{kindEdge: "edge", kindSide: "side"}[kind], zone, n)}
	var err error
	m.path, err = newGate(l.at(kindPath, path, portStore).String(), l.at(9, 1, portStore).String())
	l.machines = append(l.machines, m)
	return m, err
}

// settings returns the settings file of a machine.
func (m *machine) settings() map[string]any {
	l := m.lab
	class, serves := "edge", []string{"edge", "control_plane"}
	listen := map[string]string{"datagram_listen": m.addr(portPackets).String(), "ready": m.addr(portReady).String()}
	zones := map[string]string{}
	var seeds []string
	for _, other := range l.machines {
		zones[other.zone] = "region"
		if other.kind == kindEdge && len(seeds) < 3 {
			seeds = append(seeds, other.addr(portControl).String())
		}
	}
	l.mu.Lock()
	bootstrap := l.bootstrap
	l.mu.Unlock()
	s := map[string]any{}
	if m.kind == kindSide {
		class, serves = "side", []string{"side"}
		listen["outbound"] = m.addr(portOutbound).String()
		s["app"], s["backend"] = m.addr(portApp).String(), m.service
	} else {
		listen["control"] = m.addr(portControl).String()
	}
	for key, value := range map[string]any{
		"node_name": m.name, "role": class, "machine_class": class, "serves": serves, "ip": l.ip(m.kind, m.n).String(), "zone": m.zone,
		"region": "region", "zones": zones, "listen_addrs": listen, "internal_ports": []uint16{l.port(portPeers), l.port(portPeers) + 15},
		"seeds": seeds, "bootstrap": bootstrap, "counts_as_loss": false, "data_dir": nil, "discovery": "platform", "entry_mode": "announce",
		"limits":       map[string]any{"cpu_share": 0.24, "cpu_cores": 1, "memory_mb": 152, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 0},
		"heartbeat_ms": heartbeat.Milliseconds(), "contracts": []string{"base", "drain", "config", "cost", "recover", "flows", "places", "platform"},
		"fault_tolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": graceS, "loss_slack_ms": 200,
			"config_apply_ms": 3000, "downgrade_slack_ms": 250, "max_skew_ms": 12000, "cold_overage": 1.5, "cold_slack": 5, "evacuate_ms": 5000,
			"recovery_s": 12, "flow_stray_ms": 2000, "flow_lifetime_s": 60,
		},
		"flow_hash": "mod", "forwarding_mode": "agent",
		"platform": map[string]any{
			"address": m.path.listener.Addr().String(), "forwarding_mode": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	} {
		s[key] = value
	}
	return s
}

// start starts the machine's process by the command of the deploy file. It is started again
// whenever it ends.
func (m *machine) start() error {
	data, err := json.Marshal(m.settings())
	if err != nil {
		return err
	}
	file := filepath.Join(m.lab.dir, m.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.lab.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	role := map[int]string{kindEdge: "entry", kindSide: "agent"}[m.kind]
	command, err := m.lab.deployCommand(role)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c := exec.Command(command[0], command[1:]...)
	c.Dir = m.lab.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.lab.dir, "TURMERICROCK_CONFIG=" + file}
	c.Stdout, c.Stderr = log, log
	if started, err := m.lab.startUnlessStopped(c); !started {
		return err
	}
	m.current = c
	ended := make(chan struct{})
	m.ended = ended
	go func() {
		_ = c.Wait()
		close(ended)
		_ = log.Close()
		time.Sleep(restartDelay)
		m.lab.mu.Lock()
		stopped := m.lab.stopped
		m.lab.mu.Unlock()
		m.mu.Lock()
		held := m.held
		m.mu.Unlock()
		if !stopped && !held {
			if err := m.start(); err != nil {
				m.lab.record.say("%s does not start again: %v", m.name, err)
			}
		}
	}()
	return nil
}

// startUnlessStopped starts a process, unless the lab ends its processes. It reports whether
// it did.
func (l *lab) startUnlessStopped(c *exec.Cmd) (started bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return false, nil
	}
	err = c.Start()
	return err == nil, err
}

// deployCommand returns the command of a role in the deploy file.
func (l *lab) deployCommand(role string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(l.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	_, section, found := strings.Cut(string(data), "[roles."+role+"]")
	if !found {
		return nil, fmt.Errorf("no role %s in the deploy file", role)
	}
	words := strings.Fields(between(section, `run = "`, `"`))
	if len(words) == 0 {
		return nil, fmt.Errorf("no command for role %s", role)
	}
	words[0] = filepath.Join(l.root, words[0])
	return words, nil
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current != nil {
		_ = m.current.Process.Signal(s) // A process that has ended is started again anyway.
	}
}

// term stops the process as the platform does, and waits until it has ended.
func (m *machine) term() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	m.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceS * time.Second):
		m.signal(syscall.SIGKILL)
	}
}

// startAll starts all processes within 0.3 s and waits until the entries are ready.
func (l *lab) startAll() error {
	for _, m := range l.machines {
		if m.late {
			continue
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	for begin := time.Now(); time.Since(begin) < 15*time.Second; time.Sleep(50 * time.Millisecond) {
		if l.allReady() {
			l.mu.Lock()
			l.bootstrap = false
			l.mu.Unlock()
			l.router = newRouter(l)
			return nil
		}
	}
	return errors.New("not all processes are ready after 15 s")
}

func (l *lab) allReady() bool {
	for _, m := range l.machines {
		if !m.late && !m.isReady() {
			return false
		}
	}
	return true
}

func (m *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.addr(portReady).String()+"/api/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// opened is called when a host has the end of the handshake of a flow.
func (l *lab) opened(h *host, k flowKey) {
	if l.onOpened != nil {
		l.onOpened(h, k)
	}
}

// stop ends all processes that the lab started.
func (l *lab) stop() {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	for _, m := range l.machines {
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		m.mu.Lock()
		ended := m.ended
		m.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
	_ = l.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}
