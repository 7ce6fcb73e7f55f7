package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against changes of agents of opaque flows, which have no local endpoint, missing
// from an audit, and against other lines in it.
func TestAuditOfLogs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent.log")
	must.NoError(t, os.WriteFile(path, []byte(`time="2026-01-15T10:00:01.000000Z" level=info msg=admission_level changes=2 from=254 node=a service=s to=1
time="2026-01-15T10:00:00.000000Z" level=info msg=host_failing busy=4 flow="100.64.0.7:40001>198.18.0.1:443" node=a
time="2026-01-15T10:00:02.000000Z" level=info msg=request_late flow="100.64.0.7:40001>198.18.0.1:443" node=a
`), 0o600))
	audit := func(flags ...string) []string {
		var out, errs bytes.Buffer
		args := append(append([]string{"turmericrock", "audit"}, flags...), path)
		must.Zero(t, run(t.Context(), args, &out, &errs), must.Sprint(errs.String()))
		return strings.Split(strings.TrimSpace(out.String()), "\n")
	}
	lines := audit()
	must.Len(t, 2, lines)
	must.StrContains(t, lines[0], `"what":"host_failing/a","from":"false","to":"true"`)
	must.StrContains(t, lines[1], `"what":"admission_level/a","from":"254","to":"1"`)
	must.Len(t, 1, audit("-what", "admission_level"))
	must.Len(t, 1, audit("-since", "2026-01-15T10:00:01Z"))
	var out, errs bytes.Buffer
	must.Eq(t, int(ExitUsage), run(t.Context(), []string{"turmericrock", "audit", "-address", "127.0.0.1:1", path}, &out, &errs))
}
