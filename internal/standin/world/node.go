package world

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/caller"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/backend"
)

// Node is one process of the fleet, with its backend server when it is an
// agent.
type Node struct {
	world   *World
	vm      fleet.VM
	ops     netip.AddrPort
	listen  []netip.AddrPort
	listed  bool
	command *exec.Cmd
	done    chan struct{}

	Backend *backend.Backend
	server  *httptest.Server
}

// VM returns the node as the platform lists it.
func (n *Node) VM() fleet.VM {
	return n.vm
}

// StartEntry starts an entry and lists it.
func (w *World) StartEntry(id, zone string) (*Node, error) {
	n, err := w.newNode(id, zone, fleet.RoleEntry)
	if err != nil {
		return nil, err
	}
	var listen []string
	for _, service := range w.services {
		addr, err := freePort(service.Addr.Addr())
		if err != nil {
			return nil, err
		}
		n.listen = append(n.listen, addr)
		listen = append(listen, addr.String())
	}
	settings := n.commonSettings() + fmt.Sprintf(
		"\n[entry]\nlisten = %s\nservice_port = %d\nagent_networks = 127.0.0.0/8\n",
		strings.Join(listen, ", "), w.services[0].Addr.Port())
	if err := n.start("entry", settings); err != nil {
		return nil, err
	}
	return n, w.add(n)
}

// StartAgent starts a backend server with its agent and lists it.
func (w *World) StartAgent(id, zone string, service fleet.ServiceID, config backend.Config) (*Node, error) {
	n, err := w.newNode(id, zone, fleet.RoleAgent)
	if err != nil {
		return nil, err
	}
	n.vm.Service = service
	config.Service = service.String()
	config.Host = id
	n.Backend = backend.New(config, w.Ledger)
	n.server = httptest.NewServer(n.Backend)
	settings := n.commonSettings() + fmt.Sprintf(
		"\n[agent]\nservice = %s\nbackend = %s\nreturn_address = 127.0.0.1:0\ncertificate = %s\nkey = %s\n",
		service, n.server.URL,
		w.path(certificateName(service)+".crt"), w.path(certificateName(service)+".key"))
	if err := n.start("agent", settings); err != nil {
		return nil, err
	}
	return n, w.add(n)
}

// Kill ends the process at once. The platform's list does not change.
func (n *Node) Kill() {
	if n.command == nil {
		return
	}
	_ = n.command.Process.Signal(syscall.SIGCONT)
	_ = n.command.Process.Kill()
	<-n.done
	n.command = nil
	if n.server != nil {
		n.server.CloseClientConnections()
		n.server.Close()
	}
}

// Stop asks the process to end gracefully and reports whether it did within
// the time.
func (n *Node) Stop(within time.Duration) bool {
	_ = n.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.done:
		return true
	case <-time.After(within):
		return false
	}
}

// Freeze stops the process without its notice.
func (n *Node) Freeze() {
	_ = n.command.Process.Signal(syscall.SIGSTOP)
}

// Thaw ends a freeze.
func (n *Node) Thaw() {
	_ = n.command.Process.Signal(syscall.SIGCONT)
}

// List changes how the platform lists the node: live, leaving or, with an
// empty state, not at all.
func (w *World) List(n *Node, state fleet.VMState) error {
	w.mu.Lock()
	n.listed = state != ""
	n.vm.State = state
	w.mu.Unlock()
	w.sprayEntries()
	return w.publishVMs()
}

// Client returns a caller of the service.
func (w *World) Client(id fleet.ServiceID) *caller.Client {
	config := caller.DefaultConfig()
	config.Addr = w.fabrics[id].Addr()
	config.ServerName = ServerName(id)
	config.TLS = &tls.Config{RootCAs: w.authority.Pool(), MinVersion: tls.VersionTLS13}
	return caller.New(config)
}

func (w *World) newNode(id, zone string, role fleet.Role) (*Node, error) {
	addr, err := freePort(loopback)
	if err != nil {
		return nil, err
	}
	ops, err := freeTCPPort()
	if err != nil {
		return nil, err
	}
	mesh, err := freeTCPPort()
	if err != nil {
		return nil, err
	}
	return &Node{
		world:  w,
		vm:     fleet.VM{ID: id, Addr: addr, Mesh: mesh, Zone: zone, Role: role, State: fleet.VMLive},
		ops:    ops,
		listed: true,
		done:   make(chan struct{}),
	}, nil
}

func (w *World) add(n *Node) error {
	w.mu.Lock()
	w.nodes[n.vm.ID] = n
	w.mu.Unlock()
	w.sprayEntries()
	return w.publishVMs()
}

func (n *Node) commonSettings() string {
	return fmt.Sprintf(
		"[node]\nid = %s\nzone = %s\naddress = %s\n\n[platform]\nurl = %s\n\n[keys]\nfile = %s\n\n[log]\nlevel = info\n\n[ops]\naddress = %s\n\n"+
			"[mesh]\naddress = %s\ncertificate = %s\nkey = %s\nauthority = %s\nfleet_limit = 200\n",
		n.vm.ID, n.vm.Zone, n.vm.Addr, n.world.server.URL, n.world.path("keys.ini"), n.ops,
		n.vm.Mesh, n.world.path("mesh.crt"), n.world.path("mesh.key"), n.world.path("authority.crt"))
}

func (n *Node) start(role, settings string) error {
	path := n.world.path(n.vm.ID + ".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return errors.WithStack(err)
	}
	log, err := os.Create(n.world.path(n.vm.ID + ".log"))
	if err != nil {
		return errors.WithStack(err)
	}
	n.command = exec.Command(n.world.config.Binary, role, "-settings", path)
	n.command.Stdout = log
	n.command.Stderr = log
	if err := n.command.Start(); err != nil {
		return errors.WithStack(err)
	}
	go func() {
		_ = n.command.Wait()
		_ = log.Close()
		close(n.done)
	}()
	return nil
}

// Ready waits until a request to the service is answered.
func (w *World) Ready(ctx context.Context, id fleet.ServiceID) error {
	client := w.Client(id)
	defer client.Close()
	for {
		response, err := client.Do(ctx, caller.Request{Method: http.MethodGet, Path: "/ready"})
		if err == nil && response.Status == http.StatusOK {
			return nil
		}
		if ctx.Err() != nil {
			return errors.WithStack(ctx.Err())
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func freeTCPPort() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.WithStack(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}
