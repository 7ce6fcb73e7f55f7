package slopes

import "fmt"

// MissingSeriesError reports that the file lacks a series that the page needs.
type MissingSeriesError struct {
	Name string
}

// Error implements error.
func (e *MissingSeriesError) Error() string {
	return fmt.Sprintf("series %s is missing: run make slopes", e.Name)
}

// MeasurementError reports a measurement that failed.
type MeasurementError struct {
	Name string
	Size float64
	Err  error
}

// Error implements error.
func (e *MeasurementError) Error() string {
	return fmt.Sprintf("measure %s at %g: %v", e.Name, e.Size, e.Err)
}

// Unwrap returns the error of the measurement.
func (e *MeasurementError) Unwrap() error {
	return e.Err
}
