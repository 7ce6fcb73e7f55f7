package keyring

import "fmt"

// KeysError reports a set of keys that is not valid.
type KeysError struct {
	Reason string
}

// Error implements error.
func (e *KeysError) Error() string {
	return "keys: " + e.Reason
}

// FileError reports a key file that cannot be read or parsed.
type FileError struct {
	File   string
	Reason string
}

// Error implements error.
func (e *FileError) Error() string {
	return fmt.Sprintf("key file %s: %s", e.File, e.Reason)
}

// RotationError reports a change of the keys that would break established
// flows.
type RotationError struct {
	Reason string
}

// Error implements error.
func (e *RotationError) Error() string {
	return "key rotation refused: " + e.Reason
}
