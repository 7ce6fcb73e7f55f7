package scenario

import "fmt"

// UsageError reports a verb with an invalid argument. Allowed describes the
// valid arguments.
type UsageError struct {
	Verb     string
	Argument string
	Allowed  string
}

// Error implements error.
func (e *UsageError) Error() string {
	return fmt.Sprintf("%s: %q: allowed is %s", e.Verb, e.Argument, e.Allowed)
}

// ExpectError reports a measured value that does not meet an expectation.
// Detail is empty or describes what was counted.
type ExpectError struct {
	Measure  string
	Got      int
	Operator string
	Want     int
	Detail   string
}

// Error implements error.
func (e *ExpectError) Error() string {
	return fmt.Sprintf("expect %s: got %d, want %s %d%s", e.Measure, e.Got, e.Operator, e.Want, e.Detail)
}

// AwaitError reports a condition that was not met within its time limit.
type AwaitError struct {
	Condition string
	Err       error
}

// Error implements error.
func (e *AwaitError) Error() string {
	return fmt.Sprintf("await %s: %v", e.Condition, e.Err)
}

// Unwrap returns the cause.
func (e *AwaitError) Unwrap() error {
	return e.Err
}
