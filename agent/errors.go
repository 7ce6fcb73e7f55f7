package agent

import "fmt"

// NotRunError reports a request that the backend server did not begin.
type NotRunError struct {
	Cause Cause
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
	Cause Cause
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

// NotReadyError reports an agent that takes no new flows.
type NotReadyError struct {
	Reason string
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return "not ready: " + e.Reason
}
