package cli

import (
	"context"
	"crypto/tls"
	"flag"
	"io"

	"github.com/turmericrock/turmericrock/agent"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/certs"
	"github.com/turmericrock/turmericrock/internal/ops"
	"github.com/turmericrock/turmericrock/internal/settings"
	"github.com/turmericrock/turmericrock/internal/signals"
	"github.com/turmericrock/turmericrock/platform"
)

const agentHelp = `Runs an agent beside a backend server: it terminates callers' flows, admits requests
and forwards them to the backend server. On SIGTERM or SIGINT it drains: it accepts
no new flows, and ends once its flows are idle or the service's drain time is over.
It reloads its key and certificate files on SIGHUP and within a second of a change.
Exit code 2: a setting is not valid; nothing was started.

Example:
  turmericrock agent -settings /etc/turmericrock/agent.ini`

type agentCommand struct {
	settings string
	err      io.Writer
}

func newAgentCommand(err io.Writer) *command {
	c := &agentCommand{err: err}
	return &command{
		name:     "agent",
		synopsis: "serve callers beside a backend server",
		usage:    "-settings FILE",
		help:     agentHelp,
		err:      err,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&c.settings, "settings", "", "INI `file` with the agent's settings")
		},
		run: c.run,
	}
}

func (c *agentCommand) run(ctx context.Context, args []string) error {
	signals.Catch()
	if err := rejectArguments(args); err != nil {
		return err
	}
	if err := requireFlag("settings", c.settings); err != nil {
		return err
	}
	loaded, err := settings.LoadAgent(c.settings)
	if err != nil {
		return err
	}
	d, err := newDaemon(loaded.Common, c.err)
	if err != nil {
		return err
	}
	service, err := certs.LoadPair(loaded.Certificate, loaded.Key)
	if err != nil {
		return err
	}
	d.watchPair(service, loaded.Certificate)
	loaded.Agent.TLS = &tls.Config{GetCertificate: service.GetCertificate, MinVersion: tls.VersionTLS13}
	loaded.Agent.Mesh.TLS = d.mesh
	a, err := agent.New(loaded.Agent, d.ring, platform.NewStoreReader(loaded.Platform), d.log, d.trail)
	if err != nil {
		return err
	}
	signalCtx, stop := signals.Context(ctx)
	defer stop()
	context.AfterFunc(signalCtx, a.Stop)
	return d.run(ctx, a, func() ops.Status { return agentStatus(a.Status()) })
}

func agentStatus(s agent.Status) ops.Status {
	refusals := make(map[string]uint64, len(s.Refusals))
	for cause, count := range s.Refusals {
		refusals[cause] = uint64(max(count, 0))
	}
	return ops.Status{
		Role:              string(fleet.RoleAgent),
		ID:                s.ID,
		Zone:              s.Zone,
		ZoneDeclared:      s.ZoneDeclared,
		Service:           s.Service,
		Revision:          s.Revision,
		ConfirmationAgeMS: s.ConfirmationAge,
		Hosts:             map[string]int{s.State: 1},
		Flows:             int64(s.Flows),
		Requests:          &ops.Requests{InService: s.InService, Queued: s.Queued, Limit: s.Limit, Slots: s.Slots},
		Refusals:          refusals,
		Detail:            s,
	}
}
