package mesh

import "fmt"

// AuthorityError reports a file without a certificate of an authority.
type AuthorityError struct {
	File string
}

// Error implements error.
func (e *AuthorityError) Error() string {
	return fmt.Sprintf("%s holds no PEM certificate", e.File)
}

// NameError reports a certificate that is not one of a process of the fleet.
type NameError struct {
	Err error
}

// Error implements error.
func (e *NameError) Error() string {
	return fmt.Sprintf("certificate: %v", e.Err)
}

// Unwrap returns the cause.
func (e *NameError) Unwrap() error {
	return e.Err
}

// LinkError reports a link that could not be opened or that ended.
type LinkError struct {
	// Cause is a short word for logs and metrics.
	Cause string
	Err   error
}

// Error implements error.
func (e *LinkError) Error() string {
	return fmt.Sprintf("link: %s: %v", e.Cause, e.Err)
}

// Unwrap returns the cause.
func (e *LinkError) Unwrap() error {
	return e.Err
}
