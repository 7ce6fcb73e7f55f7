// Package slopes measures how each cost of the system grows with its size,
// and works out the capacity page from the measured slopes.
package slopes

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is one cost measured at several sizes.
type Series struct {
	Name string `json:"name"`
	// Unit is the unit of the cost.
	Unit string `json:"unit"`
	// Per is the unit of the size.
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// File holds the series of one run.
type File struct {
	Processor string   `json:"processor"`
	Cores     int      `json:"cores"`
	Go        string   `json:"go"`
	Series    []Series `json:"series"`
}

// Load reads a file written by Save.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	file := &File{}
	return file, errors.WithStack(json.Unmarshal(data, file))
}

// Save writes the file.
func (f *File) Save(path string) error {
	data, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(path, append(data, '\n'), 0o644))
}

// Find returns the series with the name. The error is a *MissingError.
func (f *File) Find(name string) (Series, error) {
	for _, series := range f.Series {
		if series.Name == name {
			return series, nil
		}
	}
	return Series{}, &MissingSeriesError{Name: name}
}

// costAt returns the cost of the series costAt size x: the measured one where there
// is a point, and else the one on the line.
func (s Series) costAt(x float64) float64 {
	for _, point := range s.Points {
		if point.X == x {
			return point.Y
		}
	}
	return s.Fit.At(x)
}
