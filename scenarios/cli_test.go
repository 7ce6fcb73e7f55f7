package scenarios_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/backend"
	"github.com/turmericrock/turmericrock/internal/standin/pki"
	"github.com/turmericrock/turmericrock/internal/standin/world"
	"github.com/turmericrock/turmericrock/platform"
)

// TestCommands runs the cli_* scripts, which test the command line without
// running nodes.
func TestCommands(t *testing.T) {
	folder := t.TempDir()
	_, err := world.Build(folder)
	must.NoError(t, err)
	files, err := filepath.Glob("cli_*.txtar")
	must.NoError(t, err)
	examples, err := filepath.Abs("../examples")
	must.NoError(t, err)
	testscript.Run(t, testscript.Params{
		Files: files,
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"exits": expectExitCode},
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", folder+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Setenv("EXAMPLES", examples)
			return nil
		},
	})
}

// expectExitCode implements the verb exits CODE COMMAND ARGS..., which runs a
// command and checks its exit code.
func expectExitCode(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// liveCommands runs subcommands against running processes.
type liveCommands struct {
	t      *testing.T
	binary string
}

// run returns the exit code and the combined standard output and standard
// error.
func (l *liveCommands) run(args ...string) (int, string) {
	out, err := exec.Command(l.binary, args...).CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), string(out)
	}
	must.NoError(l.t, err)
	return 0, string(out)
}

// TestCommandsOnProcesses tests the status, audit and call subcommands against
// a running entry and agent, and status against an entry whose zone the
// configuration does not declare.
func TestCommandsOnProcesses(t *testing.T) {
	folder := t.TempDir()
	binary, err := world.Build(folder)
	must.NoError(t, err)
	id := fleet.ServiceID{Customer: "teifi", Name: "press"}
	w, err := world.New(world.Config{
		Binary: binary,
		Folder: folder,
		Zones:  []fleet.Zone{{Name: "maes-1", Region: "wales", Number: 1}},
		Services: []fleet.Service{{
			ID: id, Slots: 2, Connections: 100, Zones: []string{"maes-1"}, Drain: time.Second,
		}},
	})
	must.NoError(t, err)
	defer w.Close()
	entry, err := w.StartEntry("entry-1", "maes-1")
	must.NoError(t, err)
	agent, err := w.StartAgent("host-1", "maes-1", id, backend.Config{Slots: 2, ServiceTime: time.Millisecond})
	must.NoError(t, err)
	list, err := fleet.Encode(fleet.VMList{Zone: "maes-9"})
	must.NoError(t, err)
	w.Platform.Put(platform.KeyVMs("maes-9"), list)
	unknownZoneEntry, err := w.StartEntry("entry-2", "maes-9")
	must.NoError(t, err)
	must.NoError(t, w.WaitReady(t.Context(), id))
	l := &liveCommands{t: t, binary: binary}
	l.status(entry, agent, unknownZoneEntry)
	l.audit(entry)
	l.call(w, id, filepath.Join(folder, "authority.crt"))
	l.replaceCertificate(w, id, folder, agent)
}

// replaceCertificate checks that the agent reloads a changed certificate file:
// it issues a certificate from another authority and waits until a call that
// trusts only that authority succeeds.
func (l *liveCommands) replaceCertificate(w *world.World, id fleet.ServiceID, folder string, agent *world.Node) {
	authority, err := pki.NewAuthority()
	must.NoError(l.t, err)
	root := filepath.Join(folder, "other.crt")
	must.NoError(l.t, os.WriteFile(root, authority.CertificatePEM(), 0o600))
	must.NoError(l.t, authority.IssueFiles(folder, "teifi-press", world.ServerName(id)))
	ctx, cancel := context.WithTimeout(l.t.Context(), time.Minute)
	defer cancel()
	must.NoError(l.t, world.Await(ctx, func() bool {
		code, _ := l.run("call", "-address", w.Fabric(id).Addr().String(), "-name", world.ServerName(id),
			"-ca", root, "-deadline", "2s", "/lookup")
		return code == 0
	}))
	_, out := l.run("audit", "-address", agent.Ops().String(), "-what", "certificate")
	must.StrContains(l.t, out, `"cause":"file_changed"`)
}

func (l *liveCommands) status(entry, agent, unknownZoneEntry *world.Node) {
	code, out := l.run("status", "-address", agent.Ops().String())
	must.Eq(l.t, 0, code)
	must.RegexMatch(l.t, wholeLine(`ready +yes`), out)
	must.RegexMatch(l.t, wholeLine(`service +teifi/press`), out)
	must.RegexMatch(l.t, wholeLine(`requests +0 in service, 0 queued, limit \d of 2`), out)
	code, out = l.run("status", "-address", entry.Ops().String(), "-json")
	must.Eq(l.t, 0, code)
	must.StrContains(l.t, out, `"role":"entry"`)
	must.False(l.t, regexp.MustCompile(`"refusals":{[^}]*"forwarded"`).MatchString(out))
	must.StrContains(l.t, l.metrics(entry), "turmericrock_control_confirmation_age_ms")
	must.StrContains(l.t, l.metrics(agent), "turmericrock_agent_revision 1")
	notReadyLine := wholeLine(`ready +no: \[node\] zone = "maes-9" is not declared in revision 1.*`)
	ctx, cancel := context.WithTimeout(l.t.Context(), time.Minute)
	defer cancel()
	must.NoError(l.t, world.Await(ctx, func() bool {
		code, out = l.run("status", "-address", unknownZoneEntry.Ops().String())
		return notReadyLine.MatchString(out)
	}))
	must.Eq(l.t, 1, code)
	unknownZoneEntry.Kill()
	code, _ = l.run("status", "-address", unknownZoneEntry.Ops().String())
	must.Eq(l.t, 1, code)
}

func (l *liveCommands) metrics(n *world.Node) string {
	response, err := http.Get("http://" + n.Ops().String() + "/metrics")
	must.NoError(l.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	must.NoError(l.t, err)
	return string(body)
}

func (l *liveCommands) audit(entry *world.Node) {
	code, out := l.run("audit", "-address", entry.Ops().String(), "-what", "zone", "-since", "1h")
	must.Eq(l.t, 0, code)
	must.StrContains(l.t, out, `"what":"zone/maes-1"`)
	must.StrNotContains(l.t, out, `"what":"configuration"`)
}

func (l *liveCommands) call(w *world.World, id fleet.ServiceID, authority string) {
	address := w.Fabric(id).Addr().String()
	name := world.ServerName(id)
	code, out := l.run("call", "-address", address, "-name", name, "-ca", authority,
		"-method", "POST", "-body", "lot 7", "-repeat", "3", "/lookup")
	must.Eq(l.t, 0, code)
	must.StrContains(l.t, out, "200 OK attempts=1")
	must.StrContains(l.t, out, "teifi/press /lookup")
	code, out = l.run("call", "-address", address, "-name", name, "-ca", authority,
		"-stream", "/feed?n=3&ms=1")
	must.Eq(l.t, 0, code)
	must.StrContains(l.t, out, "teifi/press 2\n")
	code, out = l.run("call", "-address", address, "-name", name, "-ca", authority,
		"-stream", "-deadline", "1s", "/feed?n=1000&ms=100")
	must.Eq(l.t, 4, code)
	must.StrContains(l.t, out, "outcome unknown")
	code, _ = l.run("call", "-address", address, "-name", "other.test", "-ca", authority, "-deadline", "1s", "/")
	must.Eq(l.t, 3, code)
}

// wholeLine returns an expression that matches the pattern as a whole line.
func wholeLine(pattern string) *regexp.Regexp {
	return regexp.MustCompile(`(?m)^` + pattern + `$`)
}
