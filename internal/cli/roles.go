package cli

import (
	"context"
	"crypto/tls"
	"flag"
	"os"

	"github.com/google/subcommands"

	"github.com/turmericrock/turmericrock/agent"
	"github.com/turmericrock/turmericrock/entry"
	"github.com/turmericrock/turmericrock/internal/settings"
	"github.com/turmericrock/turmericrock/platform"
)

type entryCommand struct {
	settings string
}

// Name implements subcommands.Command.
func (*entryCommand) Name() string { return "entry" }

// Synopsis implements subcommands.Command.
func (*entryCommand) Synopsis() string { return "forward callers' packets to agents" }

// Usage implements subcommands.Command.
func (*entryCommand) Usage() string {
	return "entry -settings FILE\n  Example: turmericrock entry -settings /etc/turmericrock/entry.ini\n"
}

// SetFlags implements subcommands.Command.
func (c *entryCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "INI `file` with the entry's settings")
}

// Execute implements subcommands.Command.
func (c *entryCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	loaded, err := settings.LoadEntry(c.settings)
	if err != nil {
		return usageError(os.Stderr, err)
	}
	b, err := newBase(loaded.Common)
	if err != nil {
		return usageError(os.Stderr, err)
	}
	reader := platform.NewHTTPReader(loaded.Platform)
	e := entry.New(loaded.Entry, b.ring, reader, b.log, b.trail)
	signalled, stop := untilSignal(ctx)
	defer stop()
	context.AfterFunc(signalled, e.Stop)
	if err := e.Run(ctx); err != nil {
		return failure(os.Stderr, err)
	}
	return subcommands.ExitSuccess
}

type agentCommand struct {
	settings string
}

// Name implements subcommands.Command.
func (*agentCommand) Name() string { return "agent" }

// Synopsis implements subcommands.Command.
func (*agentCommand) Synopsis() string { return "serve callers beside a backend server" }

// Usage implements subcommands.Command.
func (*agentCommand) Usage() string {
	return "agent -settings FILE\n  Example: turmericrock agent -settings /etc/turmericrock/agent.ini\n"
}

// SetFlags implements subcommands.Command.
func (c *agentCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "INI `file` with the agent's settings")
}

// Execute implements subcommands.Command.
func (c *agentCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	loaded, err := settings.LoadAgent(c.settings)
	if err != nil {
		return usageError(os.Stderr, err)
	}
	b, err := newBase(loaded.Common)
	if err != nil {
		return usageError(os.Stderr, err)
	}
	certificate, err := tls.LoadX509KeyPair(loaded.Certificate, loaded.Key)
	if err != nil {
		return usageError(os.Stderr, err)
	}
	loaded.Agent.TLS = &tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS13,
	}
	reader := platform.NewHTTPReader(loaded.Platform)
	a, err := agent.New(loaded.Agent, b.ring, reader, b.log, b.trail)
	if err != nil {
		return usageError(os.Stderr, err)
	}
	signalled, stop := untilSignal(ctx)
	defer stop()
	context.AfterFunc(signalled, a.Stop)
	if err := a.Run(ctx); err != nil {
		return failure(os.Stderr, err)
	}
	return subcommands.ExitSuccess
}
