package slopes

import (
	"os"
	"runtime"
	"slices"
	"strings"
)

// Measurements returns every measure. The binary is the shipped one.
func Measurements(binary string) []Measurement {
	measurements := controlMeasurements()
	measurements = append(measurements, watchMeasurements()...)
	measurements = append(measurements, propagationMeasurements()...)
	measurements = append(measurements, flowMeasurements(binary)...)
	return append(measurements, idleMeasurements(binary)...)
}

// Collect runs the measures and tells of each series as it is done.
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

// Replace puts the series of taken in the place of those with their names.
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

// FilterByName returns the measures whose names hold the word.
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
