package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/declare"
	"github.com/turmericrock/turmericrock/internal/settings"
)

const examples = "../../examples"

// writeChanged writes the example settings of the role, with the old text
// replaced, to a new file and returns its path.
func writeChanged(t *testing.T, role, old, with string) string {
	content, err := os.ReadFile(filepath.Join(examples, "settings", role+".ini"))
	must.NoError(t, err)
	must.StrContains(t, string(content), old)
	path := filepath.Join(t.TempDir(), role+".ini")
	changed := strings.Replace(string(content), old, with, 1)
	must.NoError(t, os.WriteFile(path, []byte(changed), 0o600))
	return path
}

func TestInvalidSettings(t *testing.T) {
	cases := map[string]struct{ role, old, with, want string }{
		"unknown section":    {"entry", "[log]", "[logs]", `[logs] is not known; allowed is one of [entry], [keys], [log], [mesh], [node], [ops], [platform]`},
		"unknown key":        {"entry", "workers ", "worker ", `[entry] worker = "2" is not known; allowed is one of listen, service_port, agent_networks, workers, `},
		"key of other role":  {"agent", "[agent]\n", "[agent]\nworkers = 2\n", `[agent] workers = "2" is not known`},
		"missing zone":       {"entry", "zone    = mid-1\n", "", `[node] zone is missing; allowed is 1 to 63 lower-case letters`},
		"zone":               {"entry", "= mid-1\n", "= Mid_1\n", `[node] zone = "Mid_1" is not valid`},
		"IPv6 between nodes": {"entry", "address = 10.1.0.5:7400", "address = [fd00::5]:7400", `[node] address = "[fd00::5]:7400" is not valid; allowed is IPv4:port that other processes reach`},
		"unspecified":        {"entry", "address = 10.1.0.5:7400", "address = 0.0.0.0:7400", `[node] address = "0.0.0.0:7400" is not valid`},
		"no port":            {"entry", "address = 10.1.0.5:7400", "address = 10.1.0.5", `[node] address = "10.1.0.5" is not valid`},
		"mesh IPv6":          {"agent", "10.2.1.21:7401", "[fd00::5]:7401", `[mesh] address = "[fd00::5]:7401" is not valid; allowed is IPv4:port`},
		"listen":             {"entry", "0.0.0.0:443", "0.0.0.0:443, x", `[entry] listen = "0.0.0.0:443, x" is not valid; allowed is a list of IPv4:port`},
		"networks":           {"entry", "10.1.0.0/16,", "10.1.0.0,", `[entry] agent_networks = `},
		"networks IPv6":      {"entry", "10.1.0.0/16,", "fd00::/8,", `[entry] agent_networks = "fd00::/8" is not valid; allowed is a list of IPv4 networks`},
		"workers":            {"entry", "= 2\n", "= 0\n", `[entry] workers = "0" is not valid; allowed is a whole number, 1 to 256`},
		"platform":           {"entry", "http://10.0.0.2:8080", "10.0.0.2:8080", `[platform] url = "10.0.0.2:8080" is not valid; allowed is an http:// URL`},
		"log level":          {"entry", "level = info", "level = loud", `[log] level = "loud" is not valid; allowed is error, warning, info or debug`},
		"ops from outside":   {"entry", "127.0.0.1:7480", "10.1.0.5:7480", `[ops] address = "10.1.0.5:7480" is not valid; allowed is IP:port on this machine`},
		"service":            {"agent", "teifi/proofs\n", "proofs\n", `[agent] service = "proofs" is not valid; allowed is customer/name`},
		"backend":            {"agent", "http://127.0.0.1:8080", "https://127.0.0.1:8080", `[agent] backend = `},
		"return":             {"agent", "192.0.2.21:443", "0.0.0.0:443", `[agent] return_address = "0.0.0.0:443" is not valid`},
		"certificate":        {"agent", "certificate    = /etc/turmericrock/service.crt\n", "", `[agent] certificate is missing; allowed is the path of a PEM file`},
		"duration":           {"agent", "[agent]\n", "[agent]\nidle_timeout = 60\n", `[agent] idle_timeout = "60" is not valid; allowed is a duration with its unit, 1s to 10m0s`},
		"entry clash":        {"entry", "0.0.0.0:443", "0.0.0.0:7400", `[entry] listen = "0.0.0.0:7400" is not valid; allowed is an address of its own; [node] address = 10.1.0.5:7400 has it`},
		"agent clash":        {"agent", "192.0.2.21:443", "10.2.1.21:7400", `[agent] return_address = "10.2.1.21:7400" is not valid; allowed is an address of its own`},
		"ops clash":          {"agent", "127.0.0.1:7480", "0.0.0.0:7401\nremote = yes", `[ops] address = "0.0.0.0:7401" is not valid; allowed is an address of its own; [mesh] address`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			path := writeChanged(t, c.role, c.old, c.with)
			_, err := settings.Check(path, nil)
			must.ErrorContains(t, err, path+": "+c.want)
			must.StrNotContains(t, err.Error(), "\n")
		})
	}
}

func TestSettingsThatContradictDeclarations(t *testing.T) {
	declared, err := declare.Load(filepath.Join(examples, "services"))
	must.NoError(t, err)
	cases := map[string]struct{ role, old, with, want string }{
		"undeclared zone":    {"entry", "= mid-1\n", "= mid-9\n", `[node] zone = "mid-9" is not valid; allowed is a declared availability zone: mid-1, mid-2, mid-3, mid-4, ceredigion-1`},
		"zone of another":    {"agent", "= ceredigion-1\n", "= mid-1\n", `[node] zone = "mid-1" is not valid; allowed is a zone of teifi/proofs: ceredigion-1, `},
		"undeclared service": {"agent", "teifi/proofs\n", "teifi/proof\n", `[agent] service = "teifi/proof" is not valid; allowed is a declared service`},
		"mesh on service":    {"entry", "10.1.0.5:7401", "192.0.2.10:443", `[mesh] address = "192.0.2.10:443" is not valid; allowed is an address that no service has; quillhaven/ordering has it`},
		"ops on service":     {"entry", "127.0.0.1:7480", "192.0.2.10:443\nremote = yes", `[ops] address = "192.0.2.10:443" is not valid; allowed is an address that no service has`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			path := writeChanged(t, c.role, c.old, c.with)
			_, err := settings.Check(path, nil)
			must.NoError(t, err)
			_, err = settings.Check(path, declared)
			must.ErrorContains(t, err, path+": "+c.want)
		})
	}
}

func TestSettingsNeedExactlyOneRole(t *testing.T) {
	path := writeChanged(t, "entry", "[entry]", "[agent]\nx = 1\n[entry]")
	_, err := settings.Check(path, nil)
	must.ErrorContains(t, err, "either [entry] or [agent]")
	path = writeChanged(t, "entry", "[entry]", "[other]")
	_, err = settings.Check(path, nil)
	must.ErrorContains(t, err, "either [entry] or [agent]")
}

func TestAllOptionalSettings(t *testing.T) {
	path := writeChanged(t, "agent", "[agent]\n", "[agent]\nqueue_wait = 1s\nrequest_timeout = 2s\nreport_interval = 3s\nidle_timeout = 4s\nhealth_interval = 5s\nleave_grace = 6s\nstall_timeout = 7s\nfirst_request = 8s\n")
	agent, err := settings.LoadAgent(path)
	must.NoError(t, err)
	must.Eq(t, time.Second, agent.Agent.QueueWait)
	must.Eq(t, 2*time.Second, agent.Agent.RequestTimeout)
	must.Eq(t, 3*time.Second, agent.Agent.ReportInterval)
	must.Eq(t, 4*time.Second, agent.Agent.IdleTimeout)
	must.Eq(t, 5*time.Second, agent.Agent.HealthInterval)
	must.Eq(t, 6*time.Second, agent.Agent.LeaveGrace)
	must.Eq(t, 7*time.Second, agent.Agent.StallTimeout)
	must.Eq(t, 8*time.Second, agent.Agent.FirstRequestTimeout)

	path = writeChanged(t, "entry", "workers        = 2", "workers = 3\nbatch_size = 4\nsuspect_after = 5s\nstop_grace = 6s\nservice_port = 7")
	entry, err := settings.LoadEntry(path)
	must.NoError(t, err)
	must.Eq(t, 3, entry.Entry.Workers)
	must.Eq(t, 4, entry.Entry.BatchSize)
	must.Eq(t, 5*time.Second, entry.Entry.SuspectAfter)
	must.Eq(t, 6*time.Second, entry.Entry.StopGrace)
	must.Eq(t, uint16(7), entry.Entry.Listen[0].ServicePort)
	must.Eq(t, fleet.RoleEntry, entry.Entry.Self.Role)
}
