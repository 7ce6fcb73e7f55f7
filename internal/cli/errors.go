package cli

import (
	"github.com/google/subcommands"
)

// Exit codes of all commands.
const (
	// ExitFailure means that the command ran and failed.
	ExitFailure = subcommands.ExitFailure
	// ExitUsage means that flags, settings or declarations are invalid. Nothing
	// was started, written or sent.
	ExitUsage = subcommands.ExitUsageError
)

// Exit codes of the call command.
const (
	// ExitNotRun means that no backend server started to process the request.
	ExitNotRun subcommands.ExitStatus = 3
	// ExitUnknown means that a backend server may have processed the request.
	ExitUnknown subcommands.ExitStatus = 4
	// ExitHTTPStatus means that the response has a status of 400 or more.
	ExitHTTPStatus subcommands.ExitStatus = 5
)

// Exit codes of the explain command.
const (
	// ExitUnknownRoute means that the process knows no such route.
	ExitUnknownRoute subcommands.ExitStatus = 3
	// ExitUnknownZone means that the process knows no such zone.
	ExitUnknownZone subcommands.ExitStatus = 4
	// ExitNoCatalog means that the process has no catalog yet.
	ExitNoCatalog subcommands.ExitStatus = 5
	// ExitUnreachable means that the process does not answer.
	ExitUnreachable subcommands.ExitStatus = 6
)

// UsageError reports invalid flags or arguments.
type UsageError struct {
	Reason string
}

// Error implements error.
func (e *UsageError) Error() string {
	return e.Reason
}

// exitError ends a command with a specific exit code. If Err is nil, the command has
// already printed what happened.
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

// requireFlag returns a *UsageError if the flag has no value.
func requireFlag(name, value string) error {
	if value == "" {
		return &UsageError{Reason: "flag -" + name + " is required; see turmericrock help"}
	}
	return nil
}

// rejectArguments returns a *UsageError if there are any arguments.
func rejectArguments(args []string) error {
	if len(args) > 0 {
		return &UsageError{Reason: "argument " + args[0] + " is not expected; see turmericrock help"}
	}
	return nil
}
