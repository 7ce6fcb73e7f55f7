package inifile

import (
	"fmt"
	"strings"
	"unicode"
)

// Problem is the kind of an Error.
type Problem uint8

// Kinds of errors.
const (
	// Invalid means that the value is not allowed.
	Invalid Problem = iota + 1
	// Missing means that a required key is absent.
	Missing
	// Unknown means that a section or key is not a known one.
	Unknown
	// Repeated means that a section or key occurs more than once.
	Repeated
	// Unreadable means that the file cannot be read or parsed as INI.
	Unreadable
)

// Error reports a problem with a file, section or key. The message is one line.
type Error struct {
	File    string
	Section string
	Key     string
	Value   string
	Problem Problem
	// Allowed describes what is valid.
	Allowed string
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File + ":")
	if e.Section != "" {
		b.WriteString(" [" + e.Section + "]")
	}
	if e.Key != "" {
		b.WriteString(" " + e.Key)
	}
	b.WriteString(e.describeProblem())
	if e.Allowed != "" {
		b.WriteString("; allowed is " + e.Allowed)
	}
	return oneLine(b.String())
}

func (e *Error) describeProblem() string {
	switch e.Problem {
	case Missing:
		return " is missing"
	case Unknown:
		return e.describeValue() + " is not known"
	case Repeated:
		return e.describeValue() + " is there more than once"
	case Unreadable:
		return fmt.Sprintf(" cannot be read: %s", cause(e.Err))
	default:
		return e.describeValue() + " is not valid"
	}
}

func (e *Error) describeValue() string {
	if e.Key == "" {
		return ""
	}
	return fmt.Sprintf(" = %q", e.Value)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

func cause(err error) string {
	if err == nil {
		return "unknown cause"
	}
	return strings.TrimSpace(err.Error())
}

// oneLine replaces control characters with spaces. Names of sections and keys
// and the text of a cause may contain them.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
}
