package cli

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/internal/ops"
)

const statusHelp = `Prints a summary of a process's state: role, readiness, revision in force and how
long ago it was confirmed, zones out of service, hosts by state, flows, and
refusals by cause. The address is that of [ops] address in the process's settings.
Exit code 0: the process answered and is ready. 1: it did not answer, or is not
ready.

Examples:
  turmericrock status -address 127.0.0.1:7480
  turmericrock status -address 127.0.0.1:7480 -json`

type statusCommand struct {
	address string
	json    bool
	out     io.Writer
}

func newStatusCommand(out, err io.Writer) *command {
	c := &statusCommand{out: out}
	return &command{
		name:     "status",
		synopsis: "print a summary of a process's state",
		usage:    "-address IP:PORT [-json]",
		help:     statusHelp,
		err:      err,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&c.address, "address", "", "`IP:port` of the process's local endpoint")
			f.BoolVar(&c.json, "json", false, "print one JSON object, including the fields specific to the role")
		},
		run: c.run,
	}
}

func (c *statusCommand) run(ctx context.Context, args []string) error {
	client, err := opsClient(c.address, args)
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if err := c.print(status); err != nil {
		return err
	}
	if !status.Ready {
		return &exitError{Status: ExitFailure}
	}
	return nil
}

func (c *statusCommand) print(status ops.Status) error {
	if !c.json {
		return errors.WithStack(status.WriteText(c.out))
	}
	return errors.WithStack(json.NewEncoder(c.out).Encode(status))
}

func opsClient(address string, args []string) (*ops.Client, error) {
	if err := rejectArguments(args); err != nil {
		return nil, err
	}
	if err := requireFlag("address", address); err != nil {
		return nil, err
	}
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &UsageError{Reason: "flag -address = " + address + " is not valid; allowed is IP:port, such as 127.0.0.1:7480"}
	}
	return ops.NewClient(addr), nil
}
