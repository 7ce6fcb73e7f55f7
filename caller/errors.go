package caller

import "fmt"

// NotRunError reports a request that no backend server began.
type NotRunError struct {
	Err error
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %v", e.Err)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error {
	return e.Err
}

// UnknownError reports a request that a backend server may have run.
type UnknownError struct {
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error {
	return e.Err
}
