package settings

import "fmt"

// Error reports a setting that cannot be used.
type Error struct {
	File    string
	Section string
	Key     string
	Value   string
	// Allowed tells what would be valid.
	Allowed string
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Section == "" {
		return fmt.Sprintf("%s: must be %s: %v", e.File, e.Allowed, e.Err)
	}
	return fmt.Sprintf("%s: [%s] %s = %q: allowed is %s", e.File, e.Section, e.Key, e.Value, e.Allowed)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
