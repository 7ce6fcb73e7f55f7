package agent

import "fmt"

// NotRunError reports a request that the backend server did not begin.
type NotRunError struct {
	// Cause is a short word for metrics.
	Cause string
	Err   error
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s: %v", e.Cause, e.Err)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error {
	return e.Err
}

// UnknownError reports a request that the backend server may have run.
type UnknownError struct {
	// Cause is a short word for metrics.
	Cause string
	Err   error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %s: %v", e.Cause, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error {
	return e.Err
}
