package cli

import (
	"github.com/google/subcommands"
)

// Exit codes of all commands.
const (
	// ExitFailure tells that the command ran and failed.
	ExitFailure = subcommands.ExitFailure
	// ExitUsage tells of wrong flags, settings or declarations. Nothing was
	// started, written or sent.
	ExitUsage = subcommands.ExitUsageError
)

// Exit codes of call.
const (
	// ExitNotRun tells that no backend server began the request.
	ExitNotRun subcommands.ExitStatus = 3
	// ExitUnknown tells that a backend server may have run the request.
	ExitUnknown subcommands.ExitStatus = 4
	// ExitHTTPStatus tells of an answer with a status of 400 or more.
	ExitHTTPStatus subcommands.ExitStatus = 5
)

// UsageError reports wrong flags or arguments.
type UsageError struct {
	Reason string
}

// Error implements error.
func (e *UsageError) Error() string {
	return e.Reason
}

// exitError ends a command with a code of its own. Without a cause the
// command has already told what happened.
type exitError struct {
	Status subcommands.ExitStatus
	Err    error
}

// Error implements error.
func (e *exitError) Error() string {
	if e.Err == nil {
		return "failed"
	}
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error {
	return e.Err
}

func (e *exitError) status() subcommands.ExitStatus {
	if e == nil {
		return subcommands.ExitSuccess
	}
	return e.Status
}

// requireFlag returns an error when a flag has no value.
func requireFlag(name, value string) error {
	if value == "" {
		return &UsageError{Reason: "flag -" + name + " is required; see turmericrock help"}
	}
	return nil
}

// rejectArguments returns an error when there are arguments.
func rejectArguments(args []string) error {
	if len(args) > 0 {
		return &UsageError{Reason: "argument " + args[0] + " is not expected; see turmericrock help"}
	}
	return nil
}
