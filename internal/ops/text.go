package ops

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes the status for reading at a glance.
func (s Status) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(name, value string) {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", name, value)
	}
	line("role", s.Role)
	line("id", s.ID)
	line("zone", s.Zone)
	if s.Service != "" {
		line("service", s.Service)
	}
	line("version", s.Version)
	line("uptime", milliseconds(s.UptimeMS))
	line("ready", s.readiness())
	line("revision", s.revision())
	line("zones out", cmp.Or(strings.Join(s.ZonesOut, " "), "none"))
	line("hosts", counts(s.Hosts))
	line("flows", fmt.Sprint(s.Flows))
	if r := s.Requests; r != nil {
		line("requests", fmt.Sprintf("%d in service, %d queued, limit %d of %d", r.InService, r.Queued, r.Limit, r.Slots))
	}
	line("refusals", counts(s.Refusals))
	return table.Flush()
}

func (s Status) readiness() string {
	if s.Ready {
		return "yes"
	}
	return "no: " + s.NotReady
}

func (s Status) revision() string {
	if s.Revision == 0 {
		return "none"
	}
	return fmt.Sprintf("%d, confirmed %s ago", s.Revision, milliseconds(s.ConfirmationAgeMS))
}

func milliseconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}

// counts writes what is above zero, in order of the names.
func counts[N int | uint64](values map[string]N) string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if values[name] > 0 {
			words = append(words, fmt.Sprintf("%s=%d", name, values[name]))
		}
	}
	return cmp.Or(strings.Join(words, " "), "none")
}
