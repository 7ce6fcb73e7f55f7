package slopes

import "fmt"

// MissingError reports a series that a page needs and the file lacks.
type MissingError struct {
	Name string
}

// Error implements error.
func (e *MissingError) Error() string {
	return fmt.Sprintf("series %s is missing: run make slopes", e.Name)
}

// MeasureError reports a measurement that failed.
type MeasureError struct {
	Name string
	Size float64
	Err  error
}

// Error implements error.
func (e *MeasureError) Error() string {
	return fmt.Sprintf("measure %s at %g: %v", e.Name, e.Size, e.Err)
}

// Unwrap returns the cause.
func (e *MeasureError) Unwrap() error {
	return e.Err
}
