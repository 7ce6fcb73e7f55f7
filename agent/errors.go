package agent

import (
	"fmt"

	"github.com/pkg/errors"
)

// NotRunError reports a request that the backend server did not begin to
// process, so that it is safe to retry.
type NotRunError struct {
	Cause Cause
	Err   error
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s: %v", e.Cause, e.Err)
}

// Unwrap returns the underlying error, or nil.
func (e *NotRunError) Unwrap() error {
	return e.Err
}

// UnknownOutcomeError reports a failed request that the backend server may have
// processed.
type UnknownOutcomeError struct {
	Cause Cause
	Err   error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome unknown: %s: %v", e.Cause, e.Err)
}

// Unwrap returns the underlying error, or nil.
func (e *UnknownOutcomeError) Unwrap() error {
	return e.Err
}

// NotReadyError reports that the agent accepts no new flows.
type NotReadyError struct {
	Reason string
}

// Error implements error.
func (e *NotReadyError) Error() string {
	return "not ready: " + e.Reason
}

// causeOf returns the cause of a failed request, and whether the request is
// known not to have been run. Errors of other types count as
// CauseBackendFailed.
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
