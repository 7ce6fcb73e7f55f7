package inifile

import (
	"fmt"
	"strings"
	"unicode"
)

// Problem tells what is wrong with a place in a file.
type Problem uint8

// Problems.
const (
	// Invalid means that the value is not allowed.
	Invalid Problem = iota + 1
	// Missing means that a required key is not there.
	Missing
	// Unknown means that there is no such section or key.
	Unknown
	// Repeated means that a section or key is there more than once.
	Repeated
	// Unreadable means that the file cannot be read as INI.
	Unreadable
)

// Error reports a place in a file that cannot be used, in one line.
type Error struct {
	File    string
	Section string
	Key     string
	Value   string
	Problem Problem
	// Allowed tells what would be valid.
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

// oneLine replaces control characters, which names of sections and keys and
// the text of a cause may hold.
func oneLine(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
}
