package agent

import (
	"runtime"
	"testing"

	"github.com/shoenig/test/must"
)

// BenchmarkFlowMemory measures the memory of an idle flow. Client and server run
// in this process, so the figure covers both ends.
func BenchmarkFlowMemory(b *testing.B) {
	const flows = 500
	for b.Loop() {
		b.StopTimer()
		s := startAgentServer(b, "http://127.0.0.1:9", nil)
		before := heapInUse()
		for range flows {
			s.dial(b)
		}
		b.ReportMetric(float64(heapInUse()-before)/flows, "B/flow")
		b.StartTimer()
	}
	must.Positive(b, b.N)
}

// heapInUse returns the size of the live heap and of the stacks in bytes.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
