package dissemination

import "fmt"

// MessageError reports an invalid message.
type MessageError struct {
	// Cause is a short name of the cause, used in metrics.
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

// Unwrap returns the underlying error, or nil.
func (e *MessageError) Unwrap() error {
	return e.Err
}

// DifferenceError reports a difference whose base is not the value that this
// node has.
type DifferenceError struct {
	// Kind is the kind of value that the difference applies to.
	Kind string
}

// Error implements error.
func (e *DifferenceError) Error() string {
	return "difference of " + e.Kind + " does not fit its base"
}

// ConflictError reports a configuration that has the same revision as the one
// in force but different content.
type ConflictError struct {
	Revision uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d is in force with other content", e.Revision)
}
