package cli

import (
	"context"
	"flag"
	"io"
	"maps"

	"github.com/turmericrock/turmericrock/entry"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/ops"
	"github.com/turmericrock/turmericrock/internal/settings"
	"github.com/turmericrock/turmericrock/internal/signals"
	"github.com/turmericrock/turmericrock/platform"
)

const entryHelp = `Runs an entry: it receives callers' packets from the network fabric and forwards each
to the agent that owns its flow, or to an agent chosen for a new flow. It ends on
SIGTERM or SIGINT, and reloads its key and certificate files on SIGHUP and within a
second of a change. Exit code 2: a setting is not valid; nothing was started.

Example:
  turmericrock entry -settings /etc/turmericrock/entry.ini`

type entryCommand struct {
	settings string
	err      io.Writer
}

func newEntryCommand(err io.Writer) *command {
	c := &entryCommand{err: err}
	return &command{
		name:     "entry",
		synopsis: "forward callers' packets to agents",
		usage:    "-settings FILE",
		help:     entryHelp,
		err:      err,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&c.settings, "settings", "", "INI `file` with the entry's settings")
		},
		run: c.run,
	}
}

func (c *entryCommand) run(ctx context.Context, args []string) error {
	signals.Catch()
	if err := rejectArguments(args); err != nil {
		return err
	}
	if err := requireFlag("settings", c.settings); err != nil {
		return err
	}
	loaded, err := settings.LoadEntry(c.settings)
	if err != nil {
		return err
	}
	d, err := newDaemon(loaded.Common, c.err)
	if err != nil {
		return err
	}
	loaded.Entry.Mesh.TLS = d.mesh
	e := entry.New(loaded.Entry, d.ring, platform.NewStoreReader(loaded.Platform), d.log, d.trail)
	signalCtx, stop := signals.Context(ctx)
	defer stop()
	context.AfterFunc(signalCtx, e.Stop)
	return d.run(ctx, e, func() ops.Status { return entryStatus(e.Status()) })
}

func entryStatus(s entry.Status) ops.Status {
	status := ops.Status{
		Role:              string(fleet.RoleEntry),
		ID:                s.ID,
		Zone:              s.Zone,
		ZoneDeclared:      s.ZoneDeclared,
		Revision:          s.Revision,
		ConfirmationAgeMS: s.ConfirmationAgeMS,
		ZonesOut:          s.ZonesOut,
		Hosts:             s.Hosts,
		Refusals:          maps.Clone(s.Packets),
		Detail:            s,
	}
	delete(status.Refusals, entry.VerdictForward.String())
	for _, service := range s.Services {
		status.Flows += int64(service.Flows)
	}
	return status
}
