package soak_test

import (
	"context"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/standin/soak"
)

var (
	loadSeed     = flag.Uint64("soak.loadseed", 8, "first seed of the runs under load")
	loadRuns     = flag.Int("soak.loadruns", 1, "number of runs under load, with consecutive seeds")
	loadDuration = flag.Duration("soak.loadtime", 2*time.Second, "how long each run under load injects faults")
	loadNetwork  = flag.Uint("soak.loadnetwork", 130, "second octet of the loopback addresses of runs under load")
)

// TestLoads runs loads above what the hosts serve while agents fail. It guards against
// requests that run twice or although they were refused, open flows that are reset, and a
// system that does not recover when the load ends.
func TestLoads(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "turmericrock")
	build := exec.Command("go", "build", "-o", binary, "github.com/turmericrock/turmericrock/cmd/turmericrock")
	output, err := build.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	for seed := *loadSeed; seed < *loadSeed+uint64(*loadRuns); seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			dir, err := os.MkdirTemp("", "soak-")
			must.NoError(t, err)
			report, err := soak.Run(context.Background(), soak.Config{
				Binary: binary, Dir: dir, Seed: seed, FaultDuration: *loadDuration, NetworkOctet: byte(*loadNetwork),
				Entries: 3, Hosts: 6, Requesters: 20, Loads: true, Log: t.Logf,
			})
			must.NoError(t, err)
			t.Logf("seed=%d served=%d failed=%d resets=%d refusals=%d logs=%s", seed, report.Served, report.Failed, report.Resets, report.Refusals, dir)
			for _, violation := range report.Violations {
				t.Log(violation)
			}
			must.SliceEmpty(t, report.Violations)
			must.Positive(t, report.Served)
			must.Positive(t, report.Refusals, must.Sprint("the load did not exceed what the hosts serve"))
			must.NoError(t, os.RemoveAll(dir))
		})
	}
}
