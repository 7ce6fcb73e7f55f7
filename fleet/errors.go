package fleet

import "fmt"

// NameError reports a malformed name.
type NameError struct {
	Value string
}

// Error implements error.
func (e *NameError) Error() string {
	return fmt.Sprintf("name %q is not valid", e.Value)
}

// DecodeError reports a value that cannot be decoded.
type DecodeError struct {
	Kind string
	Err  error
}

// Error implements error.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("decode %s: %v", e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error {
	return e.Err
}

// PartError reports a part that is missing or does not match its digest.
type PartError struct {
	Part    string
	Digest  string
	Missing bool
}

// Error implements error.
func (e *PartError) Error() string {
	if e.Missing {
		return fmt.Sprintf("part %s with digest %s is missing", e.Part, e.Digest)
	}
	return fmt.Sprintf("part %s does not match digest %s", e.Part, e.Digest)
}

// ZoneError reports an invalid availability zone.
type ZoneError struct {
	Zone   string
	Reason string
}

// Error implements error.
func (e *ZoneError) Error() string {
	return fmt.Sprintf("zone %q: %s", e.Zone, e.Reason)
}

// ServiceError reports an invalid field of a service.
type ServiceError struct {
	Service ServiceID
	Field   string
	Reason  string
}

// Error implements error.
func (e *ServiceError) Error() string {
	return fmt.Sprintf("service %s: %s: %s", e.Service, e.Field, e.Reason)
}

// ConflictError reports two services with the same name, tag or address, which
// Property names.
type ConflictError struct {
	First    ServiceID
	Second   ServiceID
	Property string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("services %s and %s clash on %s", e.First, e.Second, e.Property)
}
