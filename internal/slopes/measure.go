package slopes

import (
	"runtime"
	"time"
)

// Measurement measures one cost at several sizes.
type Measurement struct {
	Name  string
	Unit  string
	Per   string
	Sizes []float64
	// Run measures the cost at one size.
	Run func(size float64) (float64, error)
}

// Collect runs the measurement at each size and fits a line to the costs. The
// error is a *MeasurementError.
func (m Measurement) Collect() (Series, error) {
	series := Series{Name: m.Name, Unit: m.Unit, Per: m.Per}
	for _, size := range m.Sizes {
		cost, err := m.Run(size)
		if err != nil {
			return series, &MeasurementError{Name: m.Name, Size: size, Err: err}
		}
		series.Points = append(series.Points, Point{X: size, Y: cost})
	}
	series.Fit = FitLine(series.Points)
	return series, nil
}

const timingRuns = 5

// minDuration returns the duration of the fastest of timingRuns runs, which is
// the one least affected by other load on the machine.
func minDuration(run func()) time.Duration {
	best := time.Duration(1<<63 - 1)
	for range timingRuns {
		start := time.Now()
		run()
		best = min(best, time.Since(start))
	}
	return best
}

// heapGrowth returns the number of heap bytes retained by the result of build.
// The input is kept alive so that its release does not reduce the difference.
func heapGrowth(input any, build func() any) float64 {
	before := heapInUse()
	retained := build()
	after := heapInUse()
	runtime.KeepAlive(retained)
	runtime.KeepAlive(input)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
