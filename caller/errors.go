package caller

import "fmt"

// NotRunError reports a request that no backend server began to run.
type NotRunError struct {
	Err error
	// Attempts is the number of times that the request was tried.
	Attempts int
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %v", e.Err)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error {
	return e.Err
}

// OutcomeUnknownError reports a request that a backend server may have run.
type OutcomeUnknownError struct {
	Err error
	// Attempts is the number of times that the request was tried.
	Attempts int
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %v", e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error {
	return e.Err
}

// InvalidRequestError reports a request that cannot be sent.
type InvalidRequestError struct {
	Err error
}

// Error implements error.
func (e *InvalidRequestError) Error() string {
	return fmt.Sprintf("invalid request: %v", e.Err)
}

// Unwrap returns the cause.
func (e *InvalidRequestError) Unwrap() error {
	return e.Err
}

// ClosedError reports that the client was used after Close.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string {
	return "client is closed"
}

// SilentFlowError reports an idempotent request that was abandoned because its
// flow is silent and the client has another flow to the service.
type SilentFlowError struct{}

// Error implements error.
func (*SilentFlowError) Error() string {
	return "flow is silent; request abandoned in favor of another flow"
}

// DialError reports a flow that could not be opened.
type DialError struct {
	Err error
}

// Error implements error.
func (e *DialError) Error() string {
	return fmt.Sprintf("open flow: %v", e.Err)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error {
	return e.Err
}
