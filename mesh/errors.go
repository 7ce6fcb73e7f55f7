package mesh

import "fmt"

// CAFileError reports a CA file that holds no certificate.
type CAFileError struct {
	File string
}

// Error implements error.
func (e *CAFileError) Error() string {
	return fmt.Sprintf("%s holds no PEM certificate", e.File)
}

// CertificateNameError reports a peer's certificate that is not valid for
// ServerName.
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

// LinkError reports a link that could not be opened, or a listener that failed.
type LinkError struct {
	// Cause identifies the failed step, for logs and metrics.
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
