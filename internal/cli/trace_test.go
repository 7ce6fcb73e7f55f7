package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestTraceMergesLinesOfOneFlow(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	entry := write("entry.log", `time="2026-01-15T10:00:00.000000Z" msg=flow_placed flow="100.64.0.7:40001>198.18.0.1:443" node=e
time="2026-01-15T10:00:00.500000Z" msg=flow_placed flow="100.64.0.7:4000>198.18.0.1:443" node=e
time="2026-01-15T10:00:02.000000Z" msg=agent_silent flow="100.64.0.7:40001>198.18.0.1:443" node=e
`)
	agent := write("agent.log", `time="2026-01-15T10:00:01.000000Z" msg=flow_opened flow="100.64.0.7:40001>198.18.0.1:443" node=a
no time msg=other flow="100.64.0.9:1>198.18.0.1:443"
`)
	var out, errs bytes.Buffer
	code := run(t.Context(), []string{"turmericrock", "trace", "100.64.0.7:40001", agent, entry}, &out, &errs)
	must.Zero(t, code, must.Sprint(errs.String()))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	must.Len(t, 3, lines)
	must.StrContains(t, lines[0], "flow_placed")
	must.StrContains(t, lines[1], "+1000.000ms")
	must.StrContains(t, lines[1], "flow_opened")
	must.StrContains(t, lines[2], "agent_silent")
	must.Eq(t, int(ExitUsage), run(t.Context(), []string{"turmericrock", "trace", "100.64.0.7:40001"}, &out, &errs))
}

// Guards against a trace of a refused flow that leaves out what refused it: the levels of
// the hosts of its service, which the log lines state without a flow.
func TestTraceOfRefusalNamesTheAdmissionLevels(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	entry := write("entry.log", `time="2026-01-15T10:00:02.000000Z" msg=flow_refused flow="100.64.0.7:40001>198.18.0.1:443" reason=service_overloaded service=s node=e
`)
	one := write("one.log", `time="2026-01-15T10:00:00.000000Z" msg=admission_level from=254 to=0 service=s node=a
time="2026-01-15T10:00:01.000000Z" msg=admission_level from=0 to=1 service=s node=a
time="2026-01-15T10:00:03.000000Z" msg=admission_level from=1 to=254 service=s node=a
`)
	other := write("other.log", `time="2026-01-15T10:00:01.000000Z" msg=admission_level from=254 to=0 service=t node=b
time="2026-01-15T10:00:01.000000Z" msg=request_expired flow="100.64.0.7:40002>198.18.0.1:443" node=b
`)
	trace := func(flow string) []string {
		var out, errs bytes.Buffer
		must.Zero(t, run(t.Context(), []string{"turmericrock", "trace", flow, entry, one, other}, &out, &errs), must.Sprint(errs.String()))
		return strings.Split(strings.TrimSpace(out.String()), "\n")
	}
	lines := trace("100.64.0.7:40001")
	must.Len(t, 2, lines)
	must.StrContains(t, lines[0], "admission_level from=0 to=1 service=s")
	must.StrContains(t, lines[1], "flow_refused")
	lines = trace("100.64.0.7:40002")
	must.Len(t, 1, lines)
	must.StrContains(t, lines[0], "request_expired")
}
