// Package slopes measures how each cost of the system grows with its size,
// and calculates the capacity page from the measured slopes.
package slopes

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// Point is the cost Y measured at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a cost measured at several sizes, with the line fitted to it.
type Series struct {
	Name string `json:"name"`
	// Unit is the unit of the cost.
	Unit string `json:"unit"`
	// Per is the unit of the size.
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// File holds measured series and the environment in which they were measured.
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

// Find returns the series with the given name. The error is a
// *MissingSeriesError.
func (f *File) Find(name string) (Series, error) {
	for _, series := range f.Series {
		if series.Name == name {
			return series, nil
		}
	}
	return Series{}, &MissingSeriesError{Name: name}
}

// costAt returns the cost at size x: the measured cost if x was measured, and
// otherwise that of the fitted line.
func (s Series) costAt(x float64) float64 {
	for _, point := range s.Points {
		if point.X == x {
			return point.Y
		}
	}
	return s.Fit.At(x)
}
