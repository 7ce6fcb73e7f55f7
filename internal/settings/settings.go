// Package settings reads the INI settings of each role into one validated
// struct. Errors are *inifile.Error, one line each.
package settings

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/inifile"
	"github.com/turmericrock/turmericrock/mesh"
)

// Common holds the settings that both roles share.
type Common struct {
	// Platform is the base URL of the platform's configuration service.
	Platform string
	// KeyFile is the path of the file with the fleet's keys.
	KeyFile string
	// LogLevel is a logrus level.
	LogLevel string
	// Ops holds the settings of the local HTTP endpoint for operators.
	Ops Ops
	// Mesh holds the settings of the connections to other processes.
	Mesh Mesh
}

// Ops holds the settings of the local HTTP endpoint for operators.
type Ops struct {
	Address netip.AddrPort
	// Remote allows access from other machines.
	Remote bool
}

// Mesh holds the settings of the connections between the system's processes.
type Mesh struct {
	// Address is the TCP address that accepts connections from peers.
	Address netip.AddrPort
	// Certificate, Key and Authority are the paths of the PEM files for mutual
	// TLS.
	Certificate string
	Key         string
	Authority   string
	// Seeds are the mesh addresses of peers to contact while no VM list is
	// known.
	Seeds []netip.AddrPort
	// FleetLimit is the maximum number of nodes in the fleet.
	FleetLimit int
}

// Descriptions of allowed values in error messages.
const (
	allowedName     = "1 to 63 lower-case letters, digits and inner hyphens"
	allowedPeerAddr = "IPv4:port that other processes reach, such as 10.0.3.7:7400; addresses between processes are IPv4"
	allowedURL      = "an http:// URL such as http://10.0.0.2:8080"
	allowedPEM      = "the path of a PEM file"
	allowedListen   = "a list of IPv4:port"
	allowedOps      = "IP:port on this machine, such as 127.0.0.1:7480, or any with remote = yes"
	allowedService  = "customer/name"
)

// Bounds that several settings share.
const (
	maxTimeout  = 10 * time.Minute
	minInterval = 10 * time.Millisecond
	maxInterval = time.Minute
)

func readCommon(f *inifile.File) Common {
	return Common{
		Platform: readURL(f, "platform", "url"),
		KeyFile:  f.Required("keys", "file", "the path of a key file"),
		LogLevel: readLogLevel(f),
		Ops:      readOps(f),
		Mesh:     readMesh(f),
	}
}

func readMesh(f *inifile.File) Mesh {
	return Mesh{
		Address:     readPeerAddr(f, "mesh", "address"),
		Certificate: f.Required("mesh", "certificate", allowedPEM),
		Key:         f.Required("mesh", "key", allowedPEM),
		Authority:   f.Required("mesh", "authority", allowedPEM),
		Seeds:       readSeeds(f),
		FleetLimit:  f.Number("mesh", "fleet_limit", dissemination.DefaultConfig().FleetLimit, 1, maxFleetLimit),
	}
}

const maxFleetLimit = 100_000 // nodes

func readSeeds(f *inifile.File) []netip.AddrPort {
	if f.Text("mesh", "seeds", "") == "" {
		return nil
	}
	return f.AddrPorts("mesh", "seeds", allowedListen)
}

// applyTo copies the mesh settings to the configurations of the mesh and of the
// dissemination.
func (m Mesh) applyTo(meshConfig *mesh.Config, control *dissemination.Config) {
	meshConfig.Address = m.Address
	control.FleetLimit = m.FleetLimit
	for _, addr := range m.Seeds {
		control.Seeds = append(control.Seeds, fleet.VM{Mesh: addr})
	}
}

func readSelf(f *inifile.File, role fleet.Role) fleet.VM {
	return fleet.VM{
		ID:    f.Required("node", "id", "the VM's name as the platform lists it"),
		Zone:  readName(f, "node", "zone"),
		Addr:  readPeerAddr(f, "node", "address"),
		Mesh:  readPeerAddr(f, "mesh", "address"),
		Role:  role,
		State: fleet.VMLive,
	}
}

func readName(f *inifile.File, section, key string) string {
	value := f.Required(section, key, allowedName)
	if !fleet.ValidName(value) {
		f.Fail(section, key, value, allowedName)
	}
	return value
}

// readPeerAddr reads an address that is announced to other processes.
func readPeerAddr(f *inifile.File, section, key string) netip.AddrPort {
	addr := f.AddrPort(section, key, allowedPeerAddr)
	usable := addr.Addr().Is4() && !addr.Addr().IsUnspecified() && addr.Port() != 0
	if !usable {
		f.Fail(section, key, f.Text(section, key, ""), allowedPeerAddr)
	}
	return addr
}

func readURL(f *inifile.File, section, key string) string {
	value := f.Required(section, key, allowedURL)
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" || parsed.Host == "" || parsed.RawQuery != "" {
		f.Fail(section, key, value, allowedURL)
	}
	return value
}

func readLogLevel(f *inifile.File) string {
	value := f.Text("log", "level", logrus.InfoLevel.String())
	if _, err := logrus.ParseLevel(value); err != nil {
		f.Fail("log", "level", value, "error, warning, info or debug")
	}
	return value
}

func readOps(f *inifile.File) Ops {
	ops := Ops{
		Address: f.AddrPort("ops", "address", allowedOps),
		Remote:  f.Bool("ops", "remote", false),
	}
	if !ops.Remote && !ops.Address.Addr().IsLoopback() {
		f.Fail("ops", "address", ops.Address.String(), allowedOps)
	}
	return ops
}
