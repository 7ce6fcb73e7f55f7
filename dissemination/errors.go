package dissemination

import "fmt"

// MessageError reports a message that is not valid.
type MessageError struct {
	// Cause is a short word for metrics.
	Cause string
	Err   error
}

// Error implements error.
func (e *MessageError) Error() string {
	if e.Err == nil {
		return "message: " + e.Cause
	}
	return fmt.Sprintf("message: %s: %v", e.Cause, e.Err)
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error {
	return e.Err
}

// DifferenceError reports a difference that does not fit what is held.
type DifferenceError struct {
	Kind string
}

// Error implements error.
func (e *DifferenceError) Error() string {
	return "difference of " + e.Kind + " does not fit its base"
}

// ConflictError reports a configuration that differs from the one in force
// under the same revision.
type ConflictError struct {
	Revision uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d is in force with other content", e.Revision)
}
