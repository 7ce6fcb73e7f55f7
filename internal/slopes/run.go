package slopes

import (
	"os"
	"runtime"
	"strings"
)

// Measures returns every measure. The binary is the shipped one.
func Measures(binary string) []Measure {
	measures := controlMeasures()
	measures = append(measures, watchMeasures()...)
	measures = append(measures, spreadMeasures()...)
	measures = append(measures, flowMeasures(binary)...)
	return append(measures, idleMeasures(binary)...)
}

// Take runs the measures and tells of each series as it is done.
func Take(measures []Measure, done func(Series)) (*File, error) {
	file := &File{
		Processor: processorName(),
		Cores:     runtime.NumCPU(),
		Go:        runtime.Version(),
	}
	for _, measure := range measures {
		series, err := measure.Take()
		if err != nil {
			return nil, err
		}
		done(series)
		file.Series = append(file.Series, series)
	}
	return file, nil
}

func processorName() string {
	data, err := os.ReadFile("/proc/cpuinfo")
	if err != nil {
		return runtime.GOARCH
	}
	for _, line := range strings.Split(string(data), "\n") {
		name, value, _ := strings.Cut(line, ":")
		if strings.TrimSpace(name) == "model name" {
			return strings.TrimSpace(value)
		}
	}
	return runtime.GOARCH
}
