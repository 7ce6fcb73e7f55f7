package slopes

import (
	"fmt"
	"strings"

	"github.com/turmericrock/turmericrock/internal/fleetgen"
)

// The users' limits for the control plane: on one node, and for platform reads
// and the time to activate a change in the whole fleet.
const (
	limitCPU        = 1.8  // percent of a core
	limitMemory     = 128  // MB
	limitBytes      = 24   // KB per second
	limitReads      = 2000 // reads per second
	limitActivation = 5    // seconds
)

// Page returns the capacity page calculated from the file and the sweep. The error is a
// *MissingSeriesError if the file lacks a series.
func Page(file *File, sweep *Sweep) (string, error) {
	p := &pageBuilder{file: file, size: fleetgen.DesignSize()}
	roles := p.roles()
	events := p.events()
	if p.err != nil {
		return "", p.err
	}
	var out strings.Builder
	out.WriteString(pageHeader)
	writeExceeded(&out, roles, events)
	p.writeSize(&out)
	for _, role := range roles {
		writeRole(&out, role)
	}
	writeEvents(&out, events)
	sweep.writeTo(&out, p.size)
	p.writeScaled(&out, roles)
	p.writeSlopes(&out)
	return out.String(), p.err
}

// pageBuilder generates the page. Its methods record the first error in err
// instead of returning it.
type pageBuilder struct {
	file *File
	size fleetgen.Size
	err  error
}

func (p *pageBuilder) series(name string) Series {
	series, err := p.file.Find(name)
	if err != nil && p.err == nil {
		p.err = err
	}
	return series
}

// costAt returns the cost of the named series at size x.
func (p *pageBuilder) costAt(name string, x int) float64 {
	return p.series(name).costAt(float64(x))
}

// slope returns the cost per unit of size of the named series.
func (p *pageBuilder) slope(name string) float64 {
	return p.series(name).Fit.Slope
}

const pageHeader = `# Capacity

This page is written by ` + "`make capacity`" + ` from docs/slopes.json, which
` + "`make slopes`" + ` measures with the shipped code, and from docs/sweep.json, the figures of
the roles that carry opaque flows. CI checks that the page and these files agree. "Measured" figures were taken at the size given; the others are worked
out, with the arithmetic beside them: a count times a cost, and in brackets
the series or constant that the cost comes from. The limits are the users'; the
project's own aim is half of each.

`

func writeExceeded(out *strings.Builder, roles []Role, events []Event) {
	out.WriteString("## Over a limit or an aim\n\n")
	written := 0
	note := func(format string, args ...any) {
		written++
		fmt.Fprintf(out, "- "+format+"\n", args...)
	}
	for _, role := range roles {
		for _, figure := range role.Figures {
			switch {
			case figure.ExceedsLimit():
				note("**over the limit**: %s, %s: %s %s, limit %s", role.Name, figure.Name, formatNumber(figure.Value()), figure.Unit, formatNumber(figure.Limit))
			case figure.ExceedsTarget():
				note("over the aim: %s, %s: %s %s, limit %s", role.Name, figure.Name, formatNumber(figure.Value()), figure.Unit, formatNumber(figure.Limit))
			}
		}
	}
	for _, event := range events {
		for _, excess := range event.limitViolations() {
			note("%s", excess)
		}
	}
	if written == 0 {
		out.WriteString("Nothing.\n")
	}
	out.WriteString("\n")
}

func (p *pageBuilder) writeSize(out *strings.Builder) {
	s := p.size
	fmt.Fprintf(out, "## The size\n\n%d entries before %d hosts and %d service addresses, in %d zones of %d regions; %s open flows, %s new ones a second; %d changes of configuration a day. A node of each role then has:\n\n",
		s.Entries, s.Hosts, s.Services, s.Zones, s.Regions, formatNumber(openFlows), formatNumber(newFlowsPerSecond), configChangesPerDay)
	fmt.Fprintf(out, "| figure | value | arithmetic |\n| --- | --- | --- |\n")
	fmt.Fprintf(out, "| new flows a second at an entry | %s | %s / %d |\n", formatNumber(p.entryNewFlows()), formatNumber(newFlowsPerSecond), s.Entries)
	fmt.Fprintf(out, "| new flows a second at a host | %s | %s / %d |\n", formatNumber(p.hostNewFlows()), formatNumber(newFlowsPerSecond), s.Hosts)
	fmt.Fprintf(out, "| open flows at a host | %s | %s / %d |\n", formatNumber(p.hostFlows()), formatNumber(openFlows), s.Hosts)
	fmt.Fprintf(out, "| nodes in a zone | %s | %d / %d |\n\n", formatNumber(p.zoneNodes()), s.Nodes(), s.Zones)
	fmt.Fprintf(out, "Measured on: %s, %d cores, %s.\n\n", p.file.Processor, p.file.Cores, p.file.Go)
}

func writeRole(out *strings.Builder, role Role) {
	fmt.Fprintf(out, "## %s\n\n%s\n\n", role.Name, role.Description)
	out.WriteString("| figure | value | limit | arithmetic | mechanism |\n| --- | --- | --- | --- | --- |\n")
	for _, line := range role.Figures {
		out.WriteString(line.tableRow())
	}
	out.WriteString("\n")
}

// writeScaled writes the figures of a fleet that is growthFactor times as large,
// and which limit is reached first as the fleet grows.
func (p *pageBuilder) writeScaled(out *strings.Builder, roles []Role) {
	fmt.Fprintf(out, "## At %d times the size\n\nEach term that grows with the fleet is taken at its slope; the new flows at one node stay, since nodes grow with them.\n\n", growthFactor)
	out.WriteString("| role | figure | now | then | limit |\n| --- | --- | --- | --- | --- |\n")
	firstLimit, maxShare := "", 0.0
	for _, role := range roles {
		for _, figure := range role.Figures {
			if figure.Limit == 0 {
				continue
			}
			scaled := figure.ScaledValue(growthFactor)
			fmt.Fprintf(out, "| %s | %s | %s %s | %s %s | %s |\n", role.Name, figure.Name, formatNumber(figure.Value()), figure.Unit, formatNumber(scaled), figure.Unit, formatNumber(figure.Limit))
			if share := scaled / figure.Limit; share > maxShare {
				maxShare, firstLimit = share, role.Name+", "+figure.Name
			}
		}
	}
	fmt.Fprintf(out, "\nThe limit met first is that of %s: %s%% of it.\n\n", firstLimit, formatNumber(100*maxShare))
}

func (p *pageBuilder) writeSlopes(out *strings.Builder) {
	out.WriteString("## The slopes\n\nEach series was taken at the sizes shown. The error is the root mean square of the residuals over the mean cost.\n\n")
	out.WriteString("| series | cost of one more | at 0 | error | sizes | costs |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, series := range p.file.Series {
		if strings.HasPrefix(series.Name, "spread/") {
			continue
		}
		var sizes, costs []string
		for _, point := range series.Points {
			sizes = append(sizes, formatNumber(point.X))
			costs = append(costs, formatNumber(point.Y))
		}
		fmt.Fprintf(out, "| `%s` | %s %s/%s | %s %s | %s | %s | %s |\n", series.Name,
			formatNumber(series.Fit.Slope), series.Unit, series.Per, formatNumber(series.Fit.Intercept), series.Unit,
			formatNumber(series.Fit.Error), strings.Join(sizes, ", "), strings.Join(costs, ", "))
	}
	out.WriteString("\nThe `spread/` series of docs/slopes.json hold the figures of each event for each kind of node at the same four sizes.\n")
}
