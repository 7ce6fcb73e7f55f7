package cli

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/netip"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/datagram"
	"github.com/turmericrock/turmericrock/internal/explain"
)

const explainHelp = `Prints where a new flow of a route would go now, and why, by the word of a running
datagram-entry or datagram-agent: at an entry the service, whether the opening would
be refused at once, and each host with the terms of its cost; at an agent whether its
host would take the opening, and where it would be passed on. Nothing is sent to
hosts, and no state changes. The address is that of /metrics of the process.
Exit code 0: it answered, whatever the decision is. 1: it serves no explanations.
3: the route is unknown. 4: the zone is unknown. 5: it has no catalog yet. 6: it does
not answer.

Examples:
  turmericrock explain -metrics 10.2.0.11:9100 -route 198.18.0.1:443
  turmericrock explain -metrics 10.2.0.11:9100 -route 198.18.0.1:443 -zone mid-2 -json
  turmericrock explain -metrics 10.2.0.22:9100 -route 198.18.0.1:443 -requester 100.64.0.7:40001`

type explainCommand struct {
	metrics, route, zone, requester string
	json                            bool
	out                             io.Writer
}

func newExplainCommand(out, err io.Writer) *command {
	c := &explainCommand{out: out}
	return &command{
		name:     "explain",
		synopsis: "print where a new opaque flow would go, and why",
		usage:    "-metrics IP:PORT -route IP:PORT [-zone ZONE] [-requester IP:PORT] [-json]",
		help:     explainHelp,
		err:      err,
		flags: func(f *flag.FlagSet) {
			f.StringVar(&c.metrics, "metrics", "", "`IP:port` of the process's metrics")
			f.StringVar(&c.route, "route", "", "`IP:port` of the route")
			f.StringVar(&c.zone, "zone", "", "the requester's `zone`; that of the entry by default. Agents check it and prefer no zone")
			f.StringVar(&c.requester, "requester", "", "`IP:port` of the requester; an example by default")
			f.BoolVar(&c.json, "json", false, "print one JSON object")
		},
		run: c.run,
	}
}

func (c *explainCommand) run(ctx context.Context, args []string) error {
	address, query, err := c.parse(args)
	if err != nil {
		return err
	}
	x, err := explain.Get(ctx, address, query)
	if err != nil {
		return &exitError{Status: explainStatus(err), Err: err}
	}
	if c.json {
		return errors.WithStack(json.NewEncoder(c.out).Encode(x))
	}
	return explain.WriteText(c.out, x)
}

// parse returns the address and the query of the flags, or a *UsageError.
func (c *explainCommand) parse(args []string) (netip.AddrPort, datagram.ExplainQuery, error) {
	query := datagram.ExplainQuery{Zone: c.zone}
	if err := rejectArguments(args); err != nil {
		return netip.AddrPort{}, query, err
	}
	var address netip.AddrPort
	for _, f := range []struct {
		name, value string
		optional    bool
		to          *netip.AddrPort
	}{{"metrics", c.metrics, false, &address}, {"route", c.route, false, &query.Route}, {"requester", c.requester, true, &query.Requester}} {
		if f.value == "" && f.optional {
			continue
		}
		if err := requireFlag(f.name, f.value); err != nil {
			return netip.AddrPort{}, query, err
		}
		endpoint, err := explain.ParseEndpoint(f.value)
		if err != nil {
			return netip.AddrPort{}, query, &UsageError{Reason: "flag -" + f.name + ": " + err.Error()}
		}
		*f.to = endpoint
	}
	return address, query, nil
}

// explainStatus returns the exit code for an error of explain.Get.
func explainStatus(err error) subcommands.ExitStatus {
	var route *datagram.UnknownRouteError
	var zone *datagram.UnknownZoneError
	var noCatalog *datagram.NoCatalogError
	var unreachable *explain.UnreachableError
	switch {
	case errors.As(err, &route):
		return ExitUnknownRoute
	case errors.As(err, &zone):
		return ExitUnknownZone
	case errors.As(err, &noCatalog):
		return ExitNoCatalog
	case errors.As(err, &unreachable):
		return ExitUnreachable
	default:
		return ExitFailure
	}
}
