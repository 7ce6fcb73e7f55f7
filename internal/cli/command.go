package cli

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/internal/certs"
	"github.com/turmericrock/turmericrock/internal/declare"
	"github.com/turmericrock/turmericrock/internal/inifile"
	"github.com/turmericrock/turmericrock/keyring"
)

// command is a subcommand of the binary.
type command struct {
	name     string
	synopsis string
	// usage lists the arguments, without the command's name.
	usage string
	// help describes the command and ends with examples.
	help  string
	flags func(*flag.FlagSet)
	run   func(ctx context.Context, args []string) error
	err   io.Writer
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string {
	return fmt.Sprintf("usage: turmericrock %s %s\n\n%s\n\nFlags:\n", c.name, c.usage, c.help)
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(ctx, f.Args())
	var exit *exitError
	if err == nil || errors.As(err, &exit) && exit.Err == nil {
		return exit.status()
	}
	_, _ = fmt.Fprintf(c.err, "turmericrock %s: %v\n", c.name, err)
	return exitStatusOf(err)
}

// exitStatusOf returns the exit code for a non-nil error.
func exitStatusOf(err error) subcommands.ExitStatus {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.Status
	}
	if isInputError(err) {
		return ExitUsage
	}
	return ExitFailure
}

// isInputError reports whether err is caused by invalid flags, settings,
// declarations, keys or certificates.
func isInputError(err error) bool {
	var iniError *inifile.Error
	var folder *declare.FolderError
	var revision *declare.RevisionError
	var size *declare.SizeError
	var usage *UsageError
	var keyFile *keyring.FileError
	var keys *keyring.KeysError
	var file *certs.FileError
	for _, target := range []any{&iniError, &folder, &revision, &size, &usage, &keyFile, &keys, &file} {
		if errors.As(err, target) {
			return true
		}
	}
	return false
}
