package soak_test

import (
	"context"
	"flag"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/standin/soak"
)

var (
	stopCount  = flag.Int("soak.stops", 60, "number of `stops` of TestStopsUnderLoad")
	stopRace   = flag.Bool("soak.race", true, "build the program of TestStopsUnderLoad with the `race` detector")
	stopBinary = flag.String("soak.binary", "", "the `program` of TestStopsUnderLoad; empty to build it")
	stopSeed   = flag.Uint64("soak.stopseed", 1, "`seed` of TestStopsUnderLoad")
)

// Guards against processes that panic, race or are ended by a signal while they stop: their
// goroutines used the log after it had been closed, and signals were caught late in the
// start and no longer at the end of the stop.
func TestStopsUnderLoad(t *testing.T) {
	binary := *stopBinary
	if binary == "" {
		binary = filepath.Join(t.TempDir(), "turmericrock")
		output, err := exec.Command("go", "build", fmt.Sprintf("-race=%v", *stopRace), "-o", binary, "github.com/turmericrock/turmericrock/cmd/turmericrock").CombinedOutput()
		must.NoError(t, err, must.Sprint(string(output)))
	}
	report, err := soak.Stops(context.Background(), soak.Config{
		Binary: binary, Dir: t.TempDir(), Seed: *stopSeed, NetworkOctet: 89, Entries: 2, Hosts: 6, Requesters: 12, Log: t.Logf,
	}, *stopCount)
	must.NoError(t, err)
	t.Logf("seed=%d stops=%d early=%d after_catch=%d early_hangups=%d late_hangups=%d before_catch=%d served=%d", *stopSeed,
		report.Stops, report.Early, report.Caught, report.EarlyHangups, report.LateHangups, report.BeforeCatch, report.Served)
	for _, failure := range report.Failures {
		t.Error(failure)
	}
	must.Eq(t, *stopCount, report.Stops)
	must.Positive(t, report.Served)
}
