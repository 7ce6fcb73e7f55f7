// Package world runs entries and agents as separate processes on loopback,
// between stand-ins for the platform, the fabric and the backend servers. The
// demo and the scenario tests are built on it.
package world

import (
	"maps"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/backend"
	"github.com/turmericrock/turmericrock/internal/standin/fabric"
	"github.com/turmericrock/turmericrock/internal/standin/pki"
	"github.com/turmericrock/turmericrock/internal/standin/store"
	"github.com/turmericrock/turmericrock/platform"
)

// Config holds the settings of a World.
type Config struct {
	// Binary is the path of the turmericrock binary.
	Binary string
	// Folder is where settings, keys and logs are written.
	Folder string
	// Zones are the availability zones.
	Zones []fleet.Zone
	// Services are the declared services. Their addresses are empty: the world
	// assigns them.
	Services []fleet.Service
	// Seed seeds the random choices of the fabrics.
	Seed uint64
	// LogLevel is the log level of the processes; empty means "info".
	LogLevel string
	// FabricUpdateDelay is the time after which the fabrics stop sending
	// packets to an entry that was killed or removed.
	FabricUpdateDelay time.Duration
}

// World is a running fleet with its stand-ins.
type World struct {
	config     Config
	authority  *pki.Authority
	Platform   *store.Store
	RunCounter *backend.RunCounter
	RequestLog *RequestLog

	platformProxy *platformProxy
	network       *network
	fleetKeys     *fleetKeys
	meshLinks     *meshLinks

	mu       sync.Mutex
	revision uint64
	zones    []fleet.Zone
	services []fleet.Service
	fabrics  map[fleet.ServiceID]*fabric.Fabric
	nodes    map[string]*Node
}

// New starts the stand-ins and publishes the first configuration. Nodes are
// started separately.
func New(config Config) (*World, error) {
	if config.LogLevel == "" {
		config.LogLevel = "info"
	}
	authority, err := pki.NewAuthority()
	if err != nil {
		return nil, err
	}
	network, err := reserveNetwork()
	if err != nil {
		return nil, err
	}
	w := &World{
		config:     config,
		authority:  authority,
		Platform:   store.New(),
		RunCounter: backend.NewRunCounter(),
		RequestLog: NewRequestLog(),
		network:    network,
		fleetKeys:  newFleetKeys(),
		meshLinks:  newMeshLinks(),
		zones:      slices.Clone(config.Zones),
		fabrics:    make(map[fleet.ServiceID]*fabric.Fabric),
		nodes:      make(map[string]*Node),
	}
	w.platformProxy = newPlatformProxy(w.Platform)
	if err := w.start(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (w *World) start() error {
	if err := w.writeKeysAndCertificates(); err != nil {
		return err
	}
	if err := w.startFabrics(); err != nil {
		return err
	}
	if err := w.Publish(); err != nil {
		return err
	}
	return w.publishVMLists()
}

// Close stops everything that the world started.
func (w *World) Close() {
	w.mu.Lock()
	nodes := make([]*Node, 0, len(w.nodes))
	for _, n := range w.nodes {
		nodes = append(nodes, n)
	}
	w.mu.Unlock()
	var group sync.WaitGroup
	for _, n := range nodes {
		group.Go(n.Kill)
	}
	group.Wait()
	for _, n := range nodes {
		n.meshRelay.close()
	}
	for _, f := range w.fabrics {
		f.Close()
	}
	w.platformProxy.close()
	w.network.release()
}

// Nodes returns all nodes, sorted by ID.
func (w *World) Nodes() []*Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var nodes []*Node
	for _, id := range slices.Sorted(maps.Keys(w.nodes)) {
		nodes = append(nodes, w.nodes[id])
	}
	return nodes
}

// Node returns the node with the ID, or nil if there is none.
func (w *World) Node(id string) *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[id]
}

// Revision returns the latest published revision.
func (w *World) Revision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// Fabric returns the fabric in front of the service.
func (w *World) Fabric(id fleet.ServiceID) *fabric.Fabric {
	return w.fabrics[id]
}

// Publish writes the declarations to the platform as the next revision.
func (w *World) Publish() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	data, err := fleet.Encode(fleet.Part{Services: w.services})
	if err != nil {
		return err
	}
	manifest := fleet.Manifest{
		Revision: w.revision,
		Zones:    w.zones,
		Parts:    []fleet.PartRef{{Name: "all", Digest: fleet.Digest(data), Size: len(data)}},
	}
	root, err := fleet.Encode(manifest)
	if err != nil {
		return err
	}
	w.Platform.Put(platform.KeyPart(fleet.Digest(data)), data)
	w.Platform.Put(platform.KeyManifest, root)
	return nil
}

// SetZoneOut takes an availability zone out of service, or brings it back, and
// publishes the change.
func (w *World) SetZoneOut(name string, out bool) error {
	w.mu.Lock()
	zones := slices.Clone(w.zones)
	for i := range zones {
		if zones[i].Name == name {
			zones[i].Out = out
		}
	}
	w.zones = zones
	w.mu.Unlock()
	return w.Publish()
}

// publishVMLists writes the VM list of each availability zone to the platform.
func (w *World) publishVMLists() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, zone := range w.zones {
		list := fleet.VMList{Zone: zone.Name}
		for _, n := range w.nodes {
			if n.vm.Zone == zone.Name && n.listed {
				list.VMs = append(list.VMs, n.vm)
			}
		}
		slices.SortFunc(list.VMs, func(a, b fleet.VM) int {
			return a.Addr.Compare(b.Addr)
		})
		data, err := fleet.Encode(list)
		if err != nil {
			return err
		}
		w.Platform.Put(platform.KeyVMs(zone.Name), data)
	}
	return nil
}

// updateFabrics sets the entries that are in rotation on all fabrics, after
// the delay if it is not zero.
func (w *World) updateFabrics(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, service := range w.services {
		var addrs []netip.AddrPort
		for _, n := range w.nodes {
			if n.inRotation {
				addrs = append(addrs, n.listenAddrs[i])
			}
		}
		if delay == 0 {
			w.fabrics[service.ID].SetEntries(addrs)
			continue
		}
		w.fabrics[service.ID].SetEntriesAfter(delay, addrs)
	}
}

// startFabrics starts a fabric for each service, with its own IP address and
// the same port for all services, because entries listen on one port.
func (w *World) startFabrics() error {
	port := uint16(0)
	for i, service := range w.config.Services {
		addr := netip.AddrPortFrom(w.network.serviceIP(i), port)
		f, err := fabric.Listen(addr, w.network.returnIP(i), w.config.Seed+uint64(i))
		if err != nil {
			return err
		}
		port = f.Addr().Port()
		service.Addr = f.Addr()
		w.services = append(w.services, service)
		w.fabrics[service.ID] = f
	}
	return nil
}

func (w *World) filePath(name string) string {
	return filepath.Join(w.config.Folder, name)
}

// MeshName is the TLS server name of every process on the mesh.
const MeshName = "mesh.turmericrock"

// ServerName returns the TLS server name of a service.
func ServerName(id fleet.ServiceID) string {
	return id.Name + "." + id.Customer + ".test"
}

// certificateName returns the base name of a service's certificate and key
// files.
func certificateName(id fleet.ServiceID) string {
	return id.Customer + "-" + id.Name
}
