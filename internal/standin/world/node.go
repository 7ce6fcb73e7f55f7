package world

import (
	"crypto/tls"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/turmericrock/turmericrock/caller"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/backend"
)

// Node is one VM of the fleet: an entry process, or an agent process with its
// backend server.
type Node struct {
	process

	world *World
	vm    fleet.VM
	ops   netip.AddrPort
	// meshAddr is where the process accepts mesh links. The platform lists the
	// address of meshRelay instead, which forwards to meshAddr.
	meshAddr    netip.AddrPort
	meshRelay   *relay
	listenAddrs []netip.AddrPort
	// listed tells whether the platform lists the node, and inRotation whether
	// the fabric sends packets to it.
	listed     bool
	inRotation bool

	// Backend is the backend server of an agent; nil for an entry.
	Backend *backend.Backend
	server  *server
}

// VM returns the node's record as the platform lists it.
func (n *Node) VM() fleet.VM {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return n.vm
}

// Ops returns the address of the node's operations endpoint.
func (n *Node) Ops() netip.AddrPort {
	return n.ops
}

// ListenAddrs returns the addresses on which an entry receives callers'
// packets, in the order of the services.
func (n *Node) ListenAddrs() []netip.AddrPort {
	return append([]netip.AddrPort(nil), n.listenAddrs...)
}

// ReceivedRequests returns the number of requests that the backend server
// received.
func (n *Node) ReceivedRequests() int {
	return n.server.recorder.requestCount()
}

// StartEntry starts an entry and adds it to the platform's VM list and to the
// fabrics.
func (w *World) StartEntry(id, zone string) (*Node, error) {
	n, err := w.newNode(id, zone, fleet.RoleEntry)
	if err != nil {
		return nil, err
	}
	var listenSetting []string
	for _, service := range w.services {
		addr, err := freePort(service.Addr.Addr())
		if err != nil {
			return nil, err
		}
		n.listenAddrs = append(n.listenAddrs, addr)
		listenSetting = append(listenSetting, addr.String())
	}
	n.inRotation = true
	settings := n.commonSettings() + fmt.Sprintf(
		"\n[entry]\nlisten = %s\nservice_port = %d\nagent_networks = 127.0.0.0/8\n",
		strings.Join(listenSetting, ", "), w.services[0].Addr.Port())
	return n, w.launch(n, settings)
}

// StartAgent starts a backend server with its agent and adds the VM to the
// platform's VM list.
func (w *World) StartAgent(id, zone string, service fleet.ServiceID, config backend.Config) (*Node, error) {
	n, err := w.newNode(id, zone, fleet.RoleAgent)
	if err != nil {
		return nil, err
	}
	return n, w.startAgent(n, service, config)
}

// ReplaceAgent starts a VM of another service on the address of a VM that has
// ended. Both are listed until the old one is removed from the list.
func (w *World) ReplaceAgent(old *Node, id string, service fleet.ServiceID, config backend.Config) (*Node, error) {
	n, err := w.newNode(id, old.vm.Zone, fleet.RoleAgent)
	if err != nil {
		return nil, err
	}
	n.vm.Addr = old.vm.Addr
	return n, w.startAgent(n, service, config)
}

func (w *World) startAgent(n *Node, service fleet.ServiceID, config backend.Config) error {
	n.vm.Service = service
	config.Service = service.String()
	config.Host = n.vm.ID
	n.Backend = backend.New(config, w.RunCounter)
	server, err := startServer(n, w.RequestLog)
	if err != nil {
		return err
	}
	n.server = server
	settings := n.commonSettings() + fmt.Sprintf(
		"\n[agent]\nservice = %s\nbackend = %s\nreturn_address = %s\ncertificate = %s\nkey = %s\n",
		service, n.server.url(), netip.AddrPortFrom(n.vm.Addr.Addr(), 0),
		w.filePath(certificateName(service)+".crt"), w.filePath(certificateName(service)+".key"))
	return w.launch(n, settings)
}

// launch starts the node's process and adds the node to the fabrics and to the
// platform's VM list.
func (w *World) launch(n *Node, settings string) error {
	w.mu.Lock()
	w.nodes[n.vm.ID] = n
	w.mu.Unlock()
	binary := w.config.Binary
	if err := n.writeSettings(binary, string(n.vm.Role), w.filePath(n.vm.ID), settings); err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	w.updateFabrics(0)
	return w.publishVMLists()
}

// Kill ends the process and the backend server of the VM at once. The VM stays
// in the platform's list, and the fabric notices after FabricUpdateDelay.
func (n *Node) Kill() {
	n.KillProcess()
	if n.server != nil {
		n.server.stop()
	}
	n.world.mu.Lock()
	n.inRotation = false
	n.world.mu.Unlock()
	n.world.updateFabrics(n.world.config.FabricUpdateDelay)
}

// KillBackend ends the backend server and its connections at once.
func (n *Node) KillBackend() {
	n.server.stop()
}

// StartBackend starts the backend server again, in cold state.
func (n *Node) StartBackend() error {
	n.Backend.Restart()
	return n.server.start()
}

// RemoveFromRotation makes the fabric stop sending packets to an entry. The
// change takes effect after FabricUpdateDelay.
func (n *Node) RemoveFromRotation() {
	n.world.mu.Lock()
	n.inRotation = false
	n.world.mu.Unlock()
	n.world.updateFabrics(n.world.config.FabricUpdateDelay)
}

// SetListing sets the state in which the platform lists the node. An empty
// state removes the node from the list.
func (w *World) SetListing(n *Node, state fleet.VMState) error {
	w.mu.Lock()
	n.listed = state != ""
	if state != "" {
		n.vm.State = state
	}
	w.mu.Unlock()
	return w.publishVMLists()
}

// SetPlatformDisconnected disconnects the node from the platform, or
// reconnects it.
func (n *Node) SetPlatformDisconnected(disconnected bool) {
	n.world.platformProxy.setDisconnected(n.vm.ID, disconnected)
}

// Partition cuts the mesh links between the given nodes and all others.
func (w *World) Partition(nodes []*Node) {
	groups := make(map[netip.Addr]int, len(nodes))
	for _, n := range nodes {
		groups[n.meshAddr.Addr()] = 1
	}
	w.meshLinks.setPartition(groups)
}

// HealPartition ends a partition of the mesh.
func (w *World) HealPartition() {
	w.meshLinks.setPartition(nil)
}

// Client returns a new client of the service.
func (w *World) Client(id fleet.ServiceID) *caller.Client {
	return caller.New(w.ClientConfig(id))
}

// ClientConfig returns the settings of a client of the service.
func (w *World) ClientConfig(id fleet.ServiceID) caller.Config {
	config := caller.DefaultConfig()
	config.Addr = w.fabrics[id].Addr()
	config.ServerName = ServerName(id)
	config.TLS = &tls.Config{RootCAs: w.authority.RootCAs(), MinVersion: tls.VersionTLS13}
	return config
}

func (w *World) newNode(id, zone string, role fleet.Role) (*Node, error) {
	w.mu.Lock()
	ip := w.network.newNodeIP()
	w.mu.Unlock()
	addr, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	ops, err := freeTCPPort(ip)
	if err != nil {
		return nil, err
	}
	mesh, err := freeTCPPort(ip)
	if err != nil {
		return nil, err
	}
	relay, err := startRelay(w.meshLinks, mesh)
	if err != nil {
		return nil, err
	}
	return &Node{
		world:     w,
		vm:        fleet.VM{ID: id, Addr: addr, Mesh: relay.addr(), Zone: zone, Role: role, State: fleet.VMLive},
		ops:       ops,
		meshAddr:  mesh,
		meshRelay: relay,
		listed:    true,
	}, nil
}

func (n *Node) commonSettings() string {
	return fmt.Sprintf(
		"[node]\nid = %s\nzone = %s\naddress = %s\n\n[platform]\nurl = %s\n\n[keys]\nfile = %s\n\n[log]\nlevel = %s\n\n[ops]\naddress = %s\n\n"+
			"[mesh]\naddress = %s\ncertificate = %s\nkey = %s\nauthority = %s\nfleet_limit = 200\n%s",
		n.vm.ID, n.vm.Zone, n.vm.Addr, n.world.platformProxy.url(n.vm.ID), n.world.filePath("keys.ini"), n.world.config.LogLevel, n.ops,
		n.meshAddr, n.world.filePath("mesh.crt"), n.world.filePath("mesh.key"), n.world.filePath("authority.crt"), n.seedsSetting())
}

// killTimeout limits the wait for the exit of a killed process.
const killTimeout = 10 * time.Second

// maxSeeds is the number of other nodes that a node contacts until it has a VM
// list.
const maxSeeds = 4

// seedsSetting returns the settings line with the mesh addresses of nodes that
// were started earlier, or an empty string if there are none.
func (n *Node) seedsSetting() string {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	var addrs []string
	for _, id := range slices.Sorted(maps.Keys(n.world.nodes)) {
		if other := n.world.nodes[id]; other != n && len(addrs) < maxSeeds {
			addrs = append(addrs, other.vm.Mesh.String())
		}
	}
	if len(addrs) == 0 {
		return ""
	}
	return "seeds = " + strings.Join(addrs, ", ") + "\n"
}
