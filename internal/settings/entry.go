package settings

import (
	"time"

	"github.com/turmericrock/turmericrock/entry"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/inifile"
)

// Entry holds the settings of an entry.
type Entry struct {
	Common
	Entry entry.Config
}

// Bounds of an entry's settings.
const (
	maxWorkers   = 256
	maxBatchSize = 1024 // packets
	maxPort      = 1<<16 - 1
)

const allowedNetworks = "a list of IPv4 networks such as 10.0.0.0/8"

// LoadEntry reads the settings of an entry. The error is an *inifile.Error.
func LoadEntry(path string) (Entry, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return Entry{}, err
	}
	return readEntry(f)
}

func readEntry(f *inifile.File) (Entry, error) {
	config := entry.DefaultConfig()
	config.Self = readSelf(f, fleet.RoleEntry)
	config.Listen = readListeners(f)
	config.AgentNetworks = f.Prefixes("entry", "agent_networks", allowedNetworks)
	for _, network := range config.AgentNetworks {
		if !network.Addr().Is4() {
			f.Fail("entry", "agent_networks", network.String(), allowedNetworks)
		}
	}
	config.Workers = f.Number("entry", "workers", config.Workers, 1, maxWorkers)
	config.BatchSize = f.Number("entry", "batch_size", config.BatchSize, 1, maxBatchSize)
	config.SuspectAfter = f.Duration("entry", "suspect_after", config.SuspectAfter, time.Second, time.Minute)
	config.StopGrace = f.Duration("entry", "stop_grace", config.StopGrace, 0, time.Minute)
	settings := Entry{Common: readCommon(f), Entry: config}
	settings.Mesh.applyTo(&settings.Entry.Mesh, &settings.Entry.Control)
	rejectConflicts(f, settings.sockets())
	return settings, f.Finish()
}

func readListeners(f *inifile.File) []entry.Listener {
	var listeners []entry.Listener
	for _, addr := range f.AddrPorts("entry", "listen", allowedListen) {
		if !addr.Addr().Is4() || addr.Port() == 0 {
			f.Fail("entry", "listen", addr.String(), allowedListen)
		}
		port := f.Number("entry", "service_port", int(addr.Port()), 1, maxPort)
		listeners = append(listeners, entry.Listener{Addr: addr, ServicePort: uint16(port)})
	}
	return listeners
}

func (s Entry) sockets() []socket {
	sockets := s.Common.sockets(s.Entry.Self.Addr)
	for _, listener := range s.Entry.Listen {
		sockets = append(sockets, socket{section: "entry", key: "listen", network: udp, addr: listener.Addr})
	}
	return sockets
}
