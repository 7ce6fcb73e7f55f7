package cli_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/cli"
)

// Guards against a process that does not serve explanations at its metrics address. The
// processes cannot reach a store, so they have no catalog.
func TestProcessesServeExplanations(t *testing.T) {
	binary := buildBinary(t)
	for command, ip := range map[string]string{"datagram-entry": "127.83.0.2", "datagram-agent": "127.83.0.3"} {
		t.Run(command, func(t *testing.T) {
			settings := filepath.Join(t.TempDir(), "settings")
			must.NoError(t, os.WriteFile(settings, datagramSettings(t, ip), 0o600))
			process := exec.Command(binary, command, "-settings", settings, "-metrics-port", "17268")
			var output bytes.Buffer
			process.Stdout, process.Stderr = &output, &output
			must.NoError(t, process.Start())
			explain := func() (int, string) {
				c := exec.Command(binary, "explain", "-metrics", ip+":17268", "-route", "198.18.0.1:443")
				text, _ := c.CombinedOutput() // The exit code is compared instead.
				return c.ProcessState.ExitCode(), string(text)
			}
			code, text := explain()
			for deadline := time.Now().Add(10 * time.Second); code == int(cli.ExitUnreachable) && time.Now().Before(deadline); code, text = explain() {
				time.Sleep(50 * time.Millisecond)
			}
			must.NoError(t, process.Process.Signal(syscall.SIGTERM))
			must.NoError(t, process.Wait(), must.Sprint(output.String()))
			must.Eq(t, int(cli.ExitNoCatalog), code, must.Sprint(text))
			must.StrContains(t, text, "the process has no catalog yet")
		})
	}
}
