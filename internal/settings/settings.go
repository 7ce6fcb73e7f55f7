// Package settings reads the INI settings of each role into one validated
// struct.
package settings

import (
	"net/netip"
	"time"

	"github.com/turmericrock/turmericrock/agent"
	"github.com/turmericrock/turmericrock/entry"
	"github.com/turmericrock/turmericrock/fleet"
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
