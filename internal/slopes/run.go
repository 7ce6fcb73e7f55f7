package slopes

import (
	"os"
	"runtime"
	"slices"
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

// Replace puts the series of taken in the place of those with their names.
func (f *File) Replace(taken *File) {
	for _, series := range taken.Series {
		at := slices.IndexFunc(f.Series, func(s Series) bool { return s.Name == series.Name })
		if at < 0 {
			f.Series = append(f.Series, series)
			continue
		}
		f.Series[at] = series
	}
}

// Only returns the measures whose names hold the word.
func Only(measures []Measure, word string) []Measure {
	return slices.DeleteFunc(measures, func(m Measure) bool { return !strings.Contains(m.Name, word) })
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
