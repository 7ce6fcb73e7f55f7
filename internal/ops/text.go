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

// WriteText writes the status as a table for human readers.
func (s Status) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, value string) {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", name, value)
	}
	row("role", s.Role)
	row("id", s.ID)
	row("zone", s.Zone)
	if s.Service != "" {
		row("service", s.Service)
	}
	row("version", s.Version)
	row("uptime", formatMilliseconds(s.UptimeMS))
	row("ready", s.formatReadiness())
	row("revision", s.formatRevision())
	row("zones out", cmp.Or(strings.Join(s.ZonesOut, " "), "none"))
	row("hosts", formatCounts(s.Hosts))
	row("flows", fmt.Sprint(s.Flows))
	if r := s.Requests; r != nil {
		row("requests", fmt.Sprintf("%d in service, %d queued, limit %d of %d", r.InService, r.Queued, r.Limit, r.Slots))
	}
	row("refusals", formatCounts(s.Refusals))
	return table.Flush()
}

func (s Status) formatReadiness() string {
	if s.Ready {
		return "yes"
	}
	return "no: " + s.NotReadyReason
}

func (s Status) formatRevision() string {
	if s.Revision == 0 {
		return "none"
	}
	return fmt.Sprintf("%d, confirmed %s ago", s.Revision, formatMilliseconds(s.ConfirmationAgeMS))
}

func formatMilliseconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}

// formatCounts lists the values above zero in the order of their names.
func formatCounts[N int | uint64](values map[string]N) string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if values[name] > 0 {
			words = append(words, fmt.Sprintf("%s=%d", name, values[name]))
		}
	}
	return cmp.Or(strings.Join(words, " "), "none")
}
