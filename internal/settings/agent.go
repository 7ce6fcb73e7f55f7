package settings

import (
	"net/netip"
	"time"

	"github.com/turmericrock/turmericrock/agent"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/inifile"
)

// Agent holds the settings of an agent.
type Agent struct {
	Common
	Agent agent.Config
	// Certificate and Key are the paths of the service's PEM files.
	Certificate string
	Key         string
}

const allowedReturnAddr = "IPv4:port from which callers are answered, that of the service's address on this host"

// LoadAgent reads the settings of an agent. The error is an *inifile.Error.
func LoadAgent(path string) (Agent, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return Agent{}, err
	}
	return readAgent(f)
}

func readAgent(f *inifile.File) (Agent, error) {
	config := agent.DefaultConfig()
	config.Self = readSelf(f, fleet.RoleAgent)
	config.Self.Service = readService(f)
	config.Backend = readURL(f, "agent", "backend")
	config.ReturnAddr = readReturnAddr(f)
	readAgentDurations(f, &config)
	settings := Agent{
		Common:      readCommon(f),
		Agent:       config,
		Certificate: f.Required("agent", "certificate", allowedPEM),
		Key:         f.Required("agent", "key", allowedPEM),
	}
	settings.Mesh.applyTo(&settings.Agent.Mesh, &settings.Agent.Control)
	rejectConflicts(f, settings.sockets())
	return settings, f.Finish()
}

func readAgentDurations(f *inifile.File, config *agent.Config) {
	read := func(key string, value *time.Duration, low, high time.Duration) {
		*value = f.Duration("agent", key, *value, low, high)
	}
	read("queue_wait", &config.QueueWait, 0, maxTimeout)
	read("request_timeout", &config.RequestTimeout, time.Second, maxTimeout)
	read("stall_timeout", &config.StallTimeout, time.Second, maxTimeout)
	read("first_request", &config.FirstRequestTimeout, time.Second, maxTimeout)
	read("report_interval", &config.ReportInterval, minInterval, maxInterval)
	read("idle_timeout", &config.IdleTimeout, time.Second, maxTimeout)
	read("health_interval", &config.HealthInterval, minInterval, maxInterval)
	read("leave_grace", &config.LeaveGrace, 0, maxInterval)
}

func readService(f *inifile.File) fleet.ServiceID {
	value := f.Required("agent", "service", allowedService)
	id, err := fleet.ParseServiceID(value)
	if err != nil {
		f.Fail("agent", "service", value, allowedService)
	}
	return id
}

// readReturnAddr reads the return address. Its port may be 0, for which the
// kernel chooses one.
func readReturnAddr(f *inifile.File) netip.AddrPort {
	addr := f.AddrPort("agent", "return_address", allowedReturnAddr)
	if !addr.Addr().Is4() || addr.Addr().IsUnspecified() {
		f.Fail("agent", "return_address", f.Text("agent", "return_address", ""), allowedReturnAddr)
	}
	return addr
}

func (s Agent) sockets() []socket {
	returnSocket := socket{section: "agent", key: "return_address", network: udp, addr: s.Agent.ReturnAddr}
	return append(s.Common.sockets(s.Agent.Self.Addr), returnSocket)
}
