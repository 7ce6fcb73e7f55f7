package cli

import (
	"context"
	"flag"
	"io"
	"time"

	"github.com/turmericrock/turmericrock/internal/audit"
)

const auditHelp = `Prints a process's audit trail as JSON lines, oldest first: what changed, the old and
the new value, the revision in force, the cause and the source that confirmed it. The
process keeps the latest records in memory and logs all of them. Subjects: configuration,
zone/NAME, vm_list/ZONE, host/ADDRESS, host_state, peer/ID, process, keys,
certificate, invariant_violations.

Agents of opaque flows have no local endpoint. For them, logs are given instead of an
address, and the changes are read from these: admission_level/NODE (the lowest priority
that the host admits; 254 is all) and host_failing/NODE.

Examples:
  turmericrock audit -address 127.0.0.1:7480
  turmericrock audit -address 127.0.0.1:7480 -what zone -since 15m
  turmericrock audit -address 127.0.0.1:7480 -what zone/mid-2 -since 2026-01-31T09:00:00Z
  turmericrock audit -what admission_level agent-*.log`

type auditCommand struct {
	address string
	what    string
	since   string
	out     io.Writer
}

func newAuditCommand(out, err io.Writer) *command {
	c := &auditCommand{out: out}
	return &command{
		name:     "audit",
		synopsis: "print a process's audit trail",
		usage:    "[-address IP:PORT] [-what SUBJECT] [-since WHEN] [LOG...]",
		help:     auditHelp,
		err:      err,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&c.address, "address", "", "`IP:port` of the process's local endpoint")
			f.StringVar(&c.what, "what", "", "only records of this `subject`, such as zone or zone/mid-2")
			f.StringVar(&c.since, "since", "", "only records since this `time` or duration ago, such as 15m")
		},
		run: c.run,
	}
}

func (c *auditCommand) run(ctx context.Context, args []string) error {
	filter, err := audit.ParseFilter(c.what, c.since, time.Now())
	if err != nil {
		return &UsageError{Reason: "flag -" + err.Error()}
	}
	if c.address == "" && len(args) > 0 {
		return printLogRecords(c.out, filter, args)
	}
	client, err := opsClient(c.address, args)
	if err != nil {
		return err
	}
	return client.Audit(ctx, c.out, c.what, c.since)
}
