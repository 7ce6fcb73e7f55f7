package slopes

import (
	"os"
	"runtime"
	"slices"
	"strings"
)

// Measurements returns all measurements. binary is the path of the turmericrock
// binary.
func Measurements(binary string) []Measurement {
	measurements := controlMeasurements()
	measurements = append(measurements, watchMeasurements()...)
	measurements = append(measurements, propagationMeasurements()...)
	measurements = append(measurements, flowMeasurements(binary)...)
	return append(measurements, idleMeasurements(binary)...)
}

// Collect runs the measurements and calls onSeries with each series when it is
// complete. It stops at the first error.
func Collect(measurements []Measurement, onSeries func(Series)) (*File, error) {
	file := &File{
		Processor: processorName(),
		Cores:     runtime.NumCPU(),
		Go:        runtime.Version(),
	}
	for _, measurement := range measurements {
		series, err := measurement.Collect()
		if err != nil {
			return nil, err
		}
		onSeries(series)
		file.Series = append(file.Series, series)
	}
	return file, nil
}

// Replace replaces series by those of newer with the same names and appends the
// others of newer.
func (f *File) Replace(newer *File) {
	for _, series := range newer.Series {
		index := slices.IndexFunc(f.Series, func(s Series) bool { return s.Name == series.Name })
		if index < 0 {
			f.Series = append(f.Series, series)
			continue
		}
		f.Series[index] = series
	}
}

// FilterByName returns the measurements whose names contain the substring. It
// modifies the given slice.
func FilterByName(measurements []Measurement, substring string) []Measurement {
	return slices.DeleteFunc(measurements, func(m Measurement) bool { return !strings.Contains(m.Name, substring) })
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
