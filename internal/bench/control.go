package bench

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/turmericrock/turmericrock/internal/fleetgen"
)

// sizeFractions are the parts of the design size at which control is measured.
var sizeFractions = []float64{0.125, 0.25, 0.5, 1}

// Rates of an entry at the design size, per second.
const (
	scansPerSecond = 5
	// reportsPerSecond is the entry's part of 70,000 new flows, with the
	// answers to its probes.
	reportsPerSecond = 125
	// listChangesPerSecond counts changes of all lists: 880 restarts and
	// replacements and 15 failures a day, each seen twice.
	listChangesPerSecond = 1790.0 / 86_400
)

// measureControl measures an entry's control state and decisions.
func measureControl(show func(Figure)) error {
	for _, sizeFraction := range sizeFractions {
		size := fleetgen.DesignSize().Scaled(sizeFraction)
		before := heapInUse()
		control, err := NewEntryControl(size)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("entry_control_%d_hosts", size.Hosts)
		show(Figure{Name: name + "_memory", Value: float64(heapInUse()-before) / (1 << 20), Unit: "MiB"})
		scan := microseconds(control.Scan)
		report := microseconds(control.DeliverReport)
		hostChange := microseconds(control.ToggleHostCapacity)
		listChange := microseconds(control.UpdateZoneList)
		show(Figure{Name: name + "_scan", Value: scan, Unit: "us"})
		show(Figure{Name: name + "_report", Value: report, Unit: "us"})
		show(Figure{Name: name + "_host_change", Value: hostChange, Unit: "us"})
		show(Figure{Name: name + "_whole_view", Value: listChange, Unit: "us"})
		cpuPerSecond := scan*scansPerSecond + report*reportsPerSecond + listChange*listChangesPerSecond
		show(Figure{Name: name + "_core", Value: cpuPerSecond / 1e4, Unit: "%"})
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
