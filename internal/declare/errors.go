package declare

import "fmt"

// FolderError reports a folder without usable declarations.
type FolderError struct {
	Folder string
	Reason string
	Err    error
}

// Error implements error.
func (e *FolderError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %s: %v", e.Folder, e.Reason, e.Err)
	}
	return e.Folder + ": " + e.Reason
}

// Unwrap returns the cause.
func (e *FolderError) Unwrap() error {
	return e.Err
}

// RevisionError reports a revision that is not higher than the previous one.
type RevisionError struct {
	Revision uint64
	Previous uint64
}

// Error implements error.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("revision %d is not valid; allowed is a number above %d, the revision before it", e.Revision, e.Previous)
}

// SizeError reports a value that exceeds the platform's size limit. Size and
// Limit are in bytes.
type SizeError struct {
	Name  string
	Size  int
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s has %d bytes; allowed are %d", e.Name, e.Size, e.Limit)
}
