package mesh

import "fmt"

// CAFileError reports a file without a certificate of an authority.
type CAFileError struct {
	File string
}

// Error implements error.
func (e *CAFileError) Error() string {
	return fmt.Sprintf("%s holds no PEM certificate", e.File)
}

// CertificateNameError reports a certificate that is not one of a process of the fleet.
type CertificateNameError struct {
	Err error
}

// Error implements error.
func (e *CertificateNameError) Error() string {
	return fmt.Sprintf("certificate: %v", e.Err)
}

// Unwrap returns the cause.
func (e *CertificateNameError) Unwrap() error {
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
