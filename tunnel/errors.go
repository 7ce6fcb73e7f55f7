package tunnel

// DatagramError reports a datagram that could not be authenticated or decoded.
// Cause is a short label for metrics.
type DatagramError struct {
	Cause string
}

// Error implements error.
func (e *DatagramError) Error() string {
	return "tunnel datagram refused: " + e.Cause
}

var (
	errTooShort           = &DatagramError{Cause: "short"}
	errUnsupportedVersion = &DatagramError{Cause: "version"}
	errUnknownKey         = &DatagramError{Cause: "unknown_key"}
	errForged             = &DatagramError{Cause: "forged"}
	errMalformedReport    = &DatagramError{Cause: "report"}
)
