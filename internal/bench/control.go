package bench

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/turmericrock/turmericrock/internal/fleetgen"
)

// sizeFractions are the fractions of the design size at which the cost of an
// entry's control plane is measured.
var sizeFractions = []float64{0.125, 0.25, 0.5, 1}

// Event rates of one entry in a fleet of the design size, per second.
const (
	scansPerSecond = 5
	// reportsPerSecond is the rate of load reports that the entry receives: for
	// its share of the 70,000 new flows per second of the whole fleet, and in
	// response to its probes.
	reportsPerSecond = 125
	// listChangesPerSecond is the rate of changes to the VM lists of all zones:
	// 880 restarts and replacements and 15 failures per day, each of which
	// changes a list twice.
	listChangesPerSecond = 1790.0 / 86_400
)

// measureControl measures the memory and processor time of an entry's control
// plane.
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
