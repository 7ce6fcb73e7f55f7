package settings

import (
	"strings"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/declare"
	"github.com/turmericrock/turmericrock/internal/inifile"
)

// Check reads the settings of either role and, if declared is not nil, checks
// them against the declarations. It returns the role. The error is an
// *inifile.Error.
func Check(path string, declared *declare.Declarations) (fleet.Role, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return "", err
	}
	switch {
	case f.Has("entry") == f.Has("agent"):
		f.FailSection("entry", "either [entry] or [agent], for one role")
		return "", f.Err()
	case f.Has("entry"):
		settings, err := readEntry(f)
		if err != nil {
			return "", err
		}
		return fleet.RoleEntry, checkDeclarations(f, settings.Entry.Self, settings.sockets(), declared)
	default:
		settings, err := readAgent(f)
		if err != nil {
			return "", err
		}
		return fleet.RoleAgent, checkDeclarations(f, settings.Agent.Self, settings.sockets(), declared)
	}
}

// checkDeclarations checks the settings against the declarations.
func checkDeclarations(f *inifile.File, self fleet.VM, sockets []socket, declared *declare.Declarations) error {
	if declared == nil {
		return nil
	}
	if _, found := declared.Zone(self.Zone); !found {
		f.Fail("node", "zone", self.Zone, "a declared availability zone: "+zoneNames(declared))
	}
	if self.Role == fleet.RoleAgent {
		checkService(f, self, declared)
	}
	for _, s := range sockets {
		rejectServiceAddress(f, s, declared)
	}
	return f.Err()
}

func checkService(f *inifile.File, self fleet.VM, declared *declare.Declarations) {
	service, found := declared.Service(self.Service)
	if !found {
		f.Fail("agent", "service", self.Service.String(), "a declared service")
		return
	}
	for _, zone := range service.Zones {
		if zone == self.Zone {
			return
		}
	}
	f.Fail("node", "zone", self.Zone, "a zone of "+self.Service.String()+": "+strings.Join(service.Zones, ", "))
}

// rejectServiceAddress records an error if a socket that is not for service
// traffic has the address of a service.
func rejectServiceAddress(f *inifile.File, s socket, declared *declare.Declarations) {
	if s.section == "entry" || s.section == "agent" {
		return
	}
	for _, service := range declared.Services {
		if service.Addr == s.addr {
			f.Fail(s.section, s.key, s.addr.String(), "an address that no service has; "+service.ID.String()+" has it")
		}
	}
}

func zoneNames(declared *declare.Declarations) string {
	names := make([]string, 0, len(declared.Zones))
	for _, zone := range declared.Zones {
		names = append(names, zone.Name)
	}
	return strings.Join(names, ", ")
}
