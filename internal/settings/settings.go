// Package settings reads the INI settings of each role into one validated
// struct.
package settings

import (
	"net/netip"
	"time"

	"github.com/turmericrock/turmericrock/agent"
	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/entry"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/mesh"
)

// Common are the settings of every role.
type Common struct {
	// Platform is the base URL of the platform's configuration service.
	Platform string
	// KeyFile names the file with the fleet's keys.
	KeyFile string
	// LogLevel is a logrus level.
	LogLevel string
	// Ops is the address of the local HTTP endpoint for operators.
	Ops netip.AddrPort
	// Mesh are the settings of the links to other processes.
	Mesh Mesh
}

// Mesh are the settings of the links between the system's processes.
type Mesh struct {
	// Address is the TCP address on which peers are accepted.
	Address netip.AddrPort
	// Certificate, Key and Authority name PEM files for mutual TLS.
	Certificate string
	Key         string
	Authority   string
	// Seeds are addresses to ask while no VM list is known.
	Seeds []netip.AddrPort
	// FleetLimit is the greatest number of nodes in the fleet.
	FleetLimit int
}

// Entry are the settings of an entry.
type Entry struct {
	Common
	Entry entry.Config
}

// Agent are the settings of an agent.
type Agent struct {
	Common
	Agent agent.Config
	// Certificate and Key name the service's PEM files.
	Certificate string
	Key         string
}

// LoadEntry reads the settings of an entry. The error is an *Error.
func LoadEntry(path string) (Entry, error) {
	r, err := open(path)
	if err != nil {
		return Entry{}, err
	}
	config := entry.DefaultConfig()
	config.Self = r.self(fleet.RoleEntry)
	for _, addr := range r.addrPorts("entry", "listen") {
		port := r.number("entry", "service_port", int(addr.Port()), 1, 65535)
		config.Listen = append(config.Listen, entry.Listener{Addr: addr, ServicePort: uint16(port)})
	}
	config.AgentNetworks = r.prefixes("entry", "agent_networks")
	config.Workers = r.number("entry", "workers", config.Workers, 1, 256)
	config.SuspectAfter = r.duration("entry", "suspect_after", config.SuspectAfter, time.Second, time.Minute)
	config.StopGrace = r.duration("entry", "stop_grace", config.StopGrace, 0, time.Minute)
	settings := Entry{Common: r.common(), Entry: config}
	settings.Mesh.apply(&settings.Entry.Mesh, &settings.Entry.Control)
	return settings, r.finish()
}

// LoadAgent reads the settings of an agent. The error is an *Error.
func LoadAgent(path string) (Agent, error) {
	r, err := open(path)
	if err != nil {
		return Agent{}, err
	}
	config := agent.DefaultConfig()
	config.Self = r.self(fleet.RoleAgent)
	config.Self.Service = r.service("agent", "service")
	config.Backend = r.required("agent", "backend", "an http:// URL")
	config.Return = r.addrPort("agent", "return_address")
	settings := Agent{
		Common:      r.common(),
		Agent:       config,
		Certificate: r.required("agent", "certificate", "a PEM file"),
		Key:         r.required("agent", "key", "a PEM file"),
	}
	settings.Mesh.apply(&settings.Agent.Mesh, &settings.Agent.Control)
	return settings, r.finish()
}

func (r *reader) common() Common {
	return Common{
		Platform: r.required("platform", "url", "an http:// URL"),
		KeyFile:  r.required("keys", "file", "a key file"),
		LogLevel: r.text("log", "level", "info"),
		Ops:      r.addrPort("ops", "address"),
		Mesh:     r.mesh(),
	}
}

func (r *reader) mesh() Mesh {
	return Mesh{
		Address:     r.addrPort("mesh", "address"),
		Certificate: r.required("mesh", "certificate", "a PEM file"),
		Key:         r.required("mesh", "key", "a PEM file"),
		Authority:   r.required("mesh", "authority", "a PEM file"),
		Seeds:       r.seeds(),
		FleetLimit:  r.number("mesh", "fleet_limit", dissemination.DefaultConfig().FleetLimit, 1, maxFleet),
	}
}

const maxFleet = 100_000 // nodes

func (r *reader) seeds() []netip.AddrPort {
	if _, found := r.raw("mesh", "seeds"); !found {
		return nil
	}
	return r.addrPorts("mesh", "seeds")
}

// apply fills in what the mesh's settings tell.
func (m Mesh) apply(links *mesh.Config, control *dissemination.Config) {
	links.Address = m.Address
	control.FleetLimit = m.FleetLimit
	for _, addr := range m.Seeds {
		control.Seeds = append(control.Seeds, fleet.VM{Mesh: addr})
	}
}

func (r *reader) self(role fleet.Role) fleet.VM {
	return fleet.VM{
		ID:    r.required("node", "id", "the VM's name"),
		Addr:  r.addrPort("node", "address"),
		Mesh:  r.addrPort("mesh", "address"),
		Zone:  r.required("node", "zone", "an availability zone"),
		Role:  role,
		State: fleet.VMLive,
	}
}

func (r *reader) service(section, key string) fleet.ServiceID {
	value := r.required(section, key, "customer/name")
	id, err := fleet.ParseServiceID(value)
	if err != nil {
		r.fail(section, key, value, "customer/name")
	}
	return id
}
