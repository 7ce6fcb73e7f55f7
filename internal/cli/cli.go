// Package cli implements the subcommands of the turmericrock binary.
package cli

import (
	"context"
	"flag"
	"io"
	"os"
	"slices"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
)

const (
	groupRoles     = "server processes"
	groupOperators = "operators"
	groupCallers   = "callers"
)

// Run executes the subcommand given by the command line and returns its exit code.
func Run(ctx context.Context, args []string) int {
	return run(ctx, args, os.Stdout, os.Stderr)
}

func run(ctx context.Context, args []string, out, err io.Writer) int {
	flags := flag.NewFlagSet("turmericrock", flag.ContinueOnError)
	flags.SetOutput(err)
	commander := subcommands.NewCommander(flags, "turmericrock")
	commander.Output = out
	commander.Error = err
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(newEntryCommand(err), groupRoles)
	commander.Register(newAgentCommand(err), groupRoles)
	commander.Register(newDatagramEntryCommand(out, err), groupRoles)
	commander.Register(newDatagramAgentCommand(out, err), groupRoles)
	commander.Register(newCheckCommand(out, err), groupOperators)
	commander.Register(newBundleCommand(out, err), groupOperators)
	commander.Register(newStatusCommand(out, err), groupOperators)
	commander.Register(newAuditCommand(out, err), groupOperators)
	commander.Register(newTraceCommand(out, err), groupOperators)
	commander.Register(newExplainCommand(out, err), groupOperators)
	commander.Register(newVersionCommand(out, err), groupOperators)
	commander.Register(newCallCommand(out, err), groupCallers)
	parseErr := flags.Parse(rewriteHelpFlag(args[1:]))
	if errors.Is(parseErr, flag.ErrHelp) {
		return int(subcommands.ExitSuccess)
	}
	if parseErr != nil {
		return int(ExitUsage)
	}
	return int(commander.Execute(ctx))
}

// rewriteHelpFlag turns "COMMAND -h" into "help COMMAND", which exits with code 0.
func rewriteHelpFlag(args []string) []string {
	if len(args) < 2 || args[0] == "" || args[0][0] == '-' {
		return args
	}
	wantsHelp := slices.ContainsFunc(args[1:], func(arg string) bool {
		return arg == "-h" || arg == "-help" || arg == "--help"
	})
	if !wantsHelp {
		return args
	}
	return []string{"help", args[0]}
}
