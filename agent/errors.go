package agent

import (
	"fmt"

	"github.com/pkg/errors"
)

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
type UnknownOutcomeError struct {
	Cause Cause
	Err   error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome unknown: %s: %v", e.Cause, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error {
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

// causeOf returns the cause of a failed request, and whether it was not run.
func causeOf(err error) (cause Cause, notRun bool) {
	var notRunErr *NotRunError
	if errors.As(err, &notRunErr) {
		return notRunErr.Cause, true
	}
	var unknownErr *UnknownOutcomeError
	if errors.As(err, &unknownErr) {
		return unknownErr.Cause, false
	}
	return CauseBackendFailed, false
}
