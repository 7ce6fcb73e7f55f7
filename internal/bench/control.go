package bench

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/turmericrock/turmericrock/internal/fleetgen"
)

// shares are the parts of the design size at which control is measured.
var shares = []float64{0.125, 0.25, 0.5, 1}

// Rates of an entry at the design size, per second.
const (
	scansPerSecond = 5
	// reportsPerSecond is the entry's part of 70,000 new flows, with the
	// answers to its probes.
	reportsPerSecond = 125
	// relistsPerSecond counts changes of all lists: 880 restarts and
	// replacements and 15 failures a day, each seen twice.
	relistsPerSecond = 1790.0 / 86_400
)

// measureControl measures an entry's control state and decisions.
func measureControl(show func(Figure)) error {
	for _, share := range shares {
		size := fleetgen.DesignSize().Scaled(share)
		before := heapInUse()
		control, err := NewEntryControl(size)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("entry_control_%d_hosts", size.Hosts)
		show(Figure{Name: name + "_memory", Value: float64(heapInUse()-before) / (1 << 20), Unit: "MiB"})
		scan := microseconds(control.Scan)
		report := microseconds(control.Report)
		turn := microseconds(control.Turn)
		relist := microseconds(control.Relist)
		show(Figure{Name: name + "_scan", Value: scan, Unit: "us"})
		show(Figure{Name: name + "_report", Value: report, Unit: "us"})
		show(Figure{Name: name + "_host_change", Value: turn, Unit: "us"})
		show(Figure{Name: name + "_whole_view", Value: relist, Unit: "us"})
		second := scan*scansPerSecond + report*reportsPerSecond + relist*relistsPerSecond
		show(Figure{Name: name + "_core", Value: second / 1e4, Unit: "%"})
		runtime.KeepAlive(control)
	}
	return nil
}

func microseconds(run func()) float64 {
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			run()
		}
	})
	return float64(result.T.Nanoseconds()) / float64(result.N) / 1000
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
