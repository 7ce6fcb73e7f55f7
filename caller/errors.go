package caller

import "fmt"

// NotRunError reports a request that no backend server began.
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

// UnknownError reports a request that a backend server may have run.
type UnknownError struct {
	Err error
	// Attempts is the number of times that the request was tried.
	Attempts int
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error {
	return e.Err
}

// RequestError reports a request that cannot be sent.
type RequestError struct {
	Err error
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("invalid request: %v", e.Err)
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error {
	return e.Err
}

// ClosedError reports the use of a client after Close.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string {
	return "client is closed"
}

// LostError reports a request that was given up because its flow is silent
// and another flow to the service has been established.
type LostError struct{}

// Error implements error.
func (*LostError) Error() string {
	return "flow went silent"
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
