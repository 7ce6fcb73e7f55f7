package tunnel

// DatagramError reports a datagram that was refused. Cause is a short word
// for metrics.
type DatagramError struct {
	Cause string
}

// Error implements error.
func (e *DatagramError) Error() string {
	return "tunnel datagram refused: " + e.Cause
}

var (
	errShort   = &DatagramError{Cause: "short"}
	errVersion = &DatagramError{Cause: "version"}
	errKey     = &DatagramError{Cause: "unknown_key"}
	errForged  = &DatagramError{Cause: "forged"}
	errReport  = &DatagramError{Cause: "report"}
)
