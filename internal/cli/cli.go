// Package cli holds the subcommands of the turmericrock binary.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/internal/audit"
	"github.com/turmericrock/turmericrock/internal/logging"
	"github.com/turmericrock/turmericrock/internal/settings"
	"github.com/turmericrock/turmericrock/keyring"
)

// Exit codes.
const (
	// ExitFailure tells that the command ran and failed.
	ExitFailure = subcommands.ExitFailure
	// ExitUsage tells of wrong flags, settings or declarations. Nothing was
	// started.
	ExitUsage = subcommands.ExitUsageError
)

const auditSize = 1000 // records

// Run parses the command line, runs a subcommand and returns its exit code.
func Run(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, args[0])
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&entryCommand{}, "roles")
	commander.Register(&agentCommand{}, "roles")
	if err := flags.Parse(args[1:]); err != nil {
		return int(ExitUsage)
	}
	return int(commander.Execute(ctx))
}

// base holds what both roles start from.
type base struct {
	log   *logrus.Logger
	trail *audit.Trail
	ring  *keyring.Ring
}

func newBase(common settings.Common) (*base, error) {
	log, err := logging.New(os.Stderr, common.LogLevel)
	if err != nil {
		return nil, err
	}
	keys, err := keyring.LoadFile(common.KeyFile)
	if err != nil {
		return nil, err
	}
	ring, err := keyring.NewRing(keys)
	if err != nil {
		return nil, err
	}
	return &base{log: log, trail: audit.NewTrail(log, auditSize), ring: ring}, nil
}

// untilSignal returns a context that ends with SIGINT or SIGTERM.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}

func usageError(w io.Writer, err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(w, err)
	return ExitUsage
}

func failure(w io.Writer, err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(w, err)
	return ExitFailure
}
