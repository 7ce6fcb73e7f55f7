package cli_test

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/turmericrock/turmericrock/internal/signals"
)

// buildBinary builds the program, with the given flags of go build, and returns its path.
func buildBinary(t *testing.T, flags ...string) string {
	binary := filepath.Join(t.TempDir(), "turmericrock")
	args := append(append([]string{"build"}, flags...), "-o", binary, "github.com/turmericrock/turmericrock/cmd/turmericrock")
	output, err := exec.Command("go", args...).CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	return binary
}

// datagramSettings returns settings with which the commands for opaque flows can start.
// Nothing listens at the address of the store.
func datagramSettings(t *testing.T, ip string) []byte {
	settings, err := json.Marshal(map[string]any{
		"node_name": "node", "ip": ip, "zone": "a", "internal_ports": []int{17270}, "app": ip + ":17265", "backend": "desk",
		"listen_addrs": map[string]string{
			"datagram_listen": ip + ":17272", "ready": ip + ":17267", "control": ip + ":17266", "outbound": ip + ":17262",
		},
		"bounds":   map[string]any{"flow_lifetime_s": 60, "cold_overage": 1.5, "cold_slack": 5, "grace_s": 6, "contact_ms": 4000, "flow_stray_ms": 2000},
		"platform": map[string]any{"address": "127.0.0.1:1"},
	})
	must.NoError(t, err)
	return settings
}

// Guards against a process that is ended by a SIGTERM while it starts, instead of stopping
// with status 0: the handler was installed after the settings had been read. The process
// reads them from a pipe here, so that the signal arrives before.
func TestStopDuringTheStartEndsTheProcessInOrder(t *testing.T) {
	binary := buildBinary(t)
	for _, command := range []string{"datagram-entry", "datagram-agent"} {
		t.Run(command, func(t *testing.T) {
			pipe := filepath.Join(t.TempDir(), "settings")
			must.NoError(t, syscall.Mkfifo(pipe, 0o600))
			process := exec.Command(binary, command, "-settings", pipe)
			var output bytes.Buffer
			process.Stdout, process.Stderr = &output, &output
			must.NoError(t, process.Start())
			settings, err := os.OpenFile(pipe, os.O_WRONLY, 0) // Waits until the process reads.
			must.NoError(t, err)
			must.NoError(t, process.Process.Signal(syscall.SIGTERM))
			_, err = settings.Write(datagramSettings(t, "127.83.0.1"))
			must.NoError(t, err)
			must.NoError(t, settings.Close())
			must.NoError(t, process.Wait(), must.Sprint(output.String()))
			must.StrContains(t, output.String(), "msg=stopped")
		})
	}
}

// Guards against an import of the package signals, or of a package that it needs, that moves
// the catching of signals behind the initialisation of the other packages.
func TestSignalsAreCaughtBeforeOtherPackagesAreInitialised(t *testing.T) {
	process := exec.Command(buildBinary(t), "version")
	process.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	var trace bytes.Buffer
	process.Stderr = &trace
	must.NoError(t, process.Run())
	var order []string
	for line := range strings.Lines(trace.String()) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "init" {
			order = append(order, fields[1])
		}
	}
	position := slices.Index(order, "github.com/turmericrock/turmericrock/internal/signals")
	must.NotEq(t, -1, position, must.Sprint(trace.String()))
	for _, later := range []string{"reflect", "unicode", "log", "net/http", "crypto/internal/fips140"} {
		must.Less(t, slices.Index(order, later), position, must.Sprint(later))
	}
}

// Guards against a new command of a server process whose signals are not caught.
func TestSignalsOfAllServerProcessesAreCaught(t *testing.T) {
	help, err := exec.Command(buildBinary(t), "help").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(help)))
	_, group, found := strings.Cut(string(help), "Subcommands for server processes:\n")
	must.True(t, found, must.Sprint(string(help)))
	var commands []string
	for line := range strings.Lines(group) {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			break
		}
		commands = append(commands, fields[0])
	}
	slices.Sort(commands)
	must.Eq(t, signals.Roles(), commands)
}

// Guards against an entry that is killed because it goes on serving for longer than the
// platform's grace period.
func TestEntryStopsWithinAShortGracePeriod(t *testing.T) {
	settings := bytes.Replace(datagramSettings(t, "127.83.0.2"), []byte(`"grace_s":6`), []byte(`"grace_s":1.2`), 1)
	must.StrContains(t, string(settings), `"grace_s":1.2`)
	path := filepath.Join(t.TempDir(), "settings")
	must.NoError(t, os.WriteFile(path, settings, 0o600))
	process := exec.Command(buildBinary(t), "datagram-entry", "-settings", path)
	var output bytes.Buffer
	process.Stdout, process.Stderr = &output, &output
	must.NoError(t, process.Start())
	must.Wait(t, wait.InitialSuccess(wait.Timeout(10*time.Second), wait.Gap(20*time.Millisecond), wait.ErrorFunc(func() error {
		conn, err := net.Dial("tcp4", "127.83.0.2:17267")
		if err != nil {
			return err
		}
		return conn.Close()
	})), must.Sprint("the entry does not listen"))
	told := time.Now()
	must.NoError(t, process.Process.Signal(syscall.SIGTERM))
	must.NoError(t, process.Wait(), must.Sprint(output.String()))
	must.Less(t, 1200*time.Millisecond, time.Since(told))
	must.StrContains(t, output.String(), "msg=stopped")
}
