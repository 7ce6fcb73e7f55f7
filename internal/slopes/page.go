package slopes

import (
	"fmt"
	"strings"

	"github.com/turmericrock/turmericrock/internal/fleetgen"
)

// The users' limits for control on one node.
const (
	limitCPU    = 1.8 // percent of a core
	limitMemory = 128 // MB
	limitBytes  = 24  // KB a second
	limitReads  = 2000
	limitForce  = 5 // seconds
)

// Page returns the capacity page worked out from the file. The error is a
// *MissingError.
func Page(file *File) (string, error) {
	p := &page{file: file, size: fleetgen.DesignSize()}
	roles := p.roles()
	events := p.events()
	if p.err != nil {
		return "", p.err
	}
	var out strings.Builder
	out.WriteString(pageHead)
	writeOver(&out, roles, events)
	p.writeSize(&out)
	for _, role := range roles {
		writeRole(&out, role)
	}
	writeEvents(&out, events)
	p.writeLarger(&out, roles)
	p.writeSlopes(&out)
	return out.String(), p.err
}

// page looks up series and keeps the first error.
type page struct {
	file *File
	size fleetgen.Size
	err  error
}

func (p *page) series(name string) Series {
	series, err := p.file.Find(name)
	if err != nil && p.err == nil {
		p.err = err
	}
	return series
}

// at returns the cost of the series at size x.
func (p *page) at(name string, x int) float64 {
	return p.series(name).at(float64(x))
}

// slope returns the cost of one more.
func (p *page) slope(name string) float64 {
	return p.series(name).Fit.Slope
}

const pageHead = `# Capacity

This page is written by ` + "`make capacity`" + ` from docs/slopes.json, which
` + "`make slopes`" + ` measures with the shipped code. CI checks that page and file
agree. "Measured" figures were taken at the size given; the others are worked
out, with the arithmetic beside them: a count times a cost, and in brackets
the series or constant that the cost comes from. The limits are the users'; the
project's own aim is half of each.

`

func writeOver(out *strings.Builder, roles []Role, events []Event) {
	out.WriteString("## Over a limit or an aim\n\n")
	lines := 0
	note := func(format string, args ...any) {
		lines++
		fmt.Fprintf(out, "- "+format+"\n", args...)
	}
	for _, role := range roles {
		for _, line := range role.Lines {
			switch {
			case line.Over():
				note("**over the limit**: %s, %s: %s %s, limit %s", role.Name, line.Name, number(line.Value()), line.Unit, number(line.Limit))
			case line.OverAim():
				note("over the aim: %s, %s: %s %s, limit %s", role.Name, line.Name, number(line.Value()), line.Unit, number(line.Limit))
			}
		}
	}
	for _, event := range events {
		for _, excess := range event.excesses() {
			note("%s", excess)
		}
	}
	if lines == 0 {
		out.WriteString("Nothing.\n")
	}
	out.WriteString("\n")
}

func (p *page) writeSize(out *strings.Builder) {
	s := p.size
	fmt.Fprintf(out, "## The size\n\n%d entries before %d hosts and %d service addresses, in %d zones of %d regions; %s open flows, %s new ones a second; %d changes of configuration a day. A node of each role then has:\n\n",
		s.Entries, s.Hosts, s.Services, s.Zones, s.Regions, number(openFlows), number(newFlows), changesADay)
	fmt.Fprintf(out, "| figure | value | arithmetic |\n| --- | --- | --- |\n")
	fmt.Fprintf(out, "| new flows a second at an entry | %s | %s / %d |\n", number(p.entryNewFlows()), number(newFlows), s.Entries)
	fmt.Fprintf(out, "| new flows a second at a host | %s | %s / %d |\n", number(p.hostNewFlows()), number(newFlows), s.Hosts)
	fmt.Fprintf(out, "| open flows at a host | %s | %s / %d |\n", number(p.hostFlows()), number(openFlows), s.Hosts)
	fmt.Fprintf(out, "| nodes in a zone | %s | %d / %d |\n\n", number(p.zoneNodes()), s.Nodes(), s.Zones)
	fmt.Fprintf(out, "Measured on: %s, %d cores, %s.\n\n", p.file.Processor, p.file.Cores, p.file.Go)
}

func writeRole(out *strings.Builder, role Role) {
	fmt.Fprintf(out, "## %s\n\n%s\n\n", role.Name, role.About)
	out.WriteString("| figure | value | limit | arithmetic | mechanism |\n| --- | --- | --- | --- | --- |\n")
	for _, line := range role.Lines {
		out.WriteString(line.row())
	}
	out.WriteString("\n")
}

// writeLarger tells which limit is met first when the fleet grows.
func (p *page) writeLarger(out *strings.Builder, roles []Role) {
	fmt.Fprintf(out, "## At %d times the size\n\nEach term that grows with the fleet is taken at its slope; the new flows at one node stay, since nodes grow with them.\n\n", larger)
	out.WriteString("| role | figure | now | then | limit |\n| --- | --- | --- | --- | --- |\n")
	first, worst := "", 0.0
	for _, role := range roles {
		for _, line := range role.Lines {
			if line.Limit == 0 {
				continue
			}
			then := line.Larger(larger)
			fmt.Fprintf(out, "| %s | %s | %s %s | %s %s | %s |\n", role.Name, line.Name, number(line.Value()), line.Unit, number(then), line.Unit, number(line.Limit))
			if share := then / line.Limit; share > worst {
				worst, first = share, role.Name+", "+line.Name
			}
		}
	}
	fmt.Fprintf(out, "\nThe limit met first is that of %s: %s%% of it.\n\n", first, number(100*worst))
}

func (p *page) writeSlopes(out *strings.Builder) {
	out.WriteString("## The slopes\n\nEach series was taken at the sizes shown. The error is the root mean square of the residuals over the mean cost.\n\n")
	out.WriteString("| series | cost of one more | at 0 | error | sizes | costs |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, series := range p.file.Series {
		if strings.HasPrefix(series.Name, "spread/") {
			continue
		}
		var sizes, costs []string
		for _, point := range series.Points {
			sizes = append(sizes, number(point.X))
			costs = append(costs, number(point.Y))
		}
		fmt.Fprintf(out, "| `%s` | %s %s/%s | %s %s | %s | %s | %s |\n", series.Name,
			number(series.Fit.Slope), series.Unit, series.Per, number(series.Fit.Intercept), series.Unit,
			number(series.Fit.Error), strings.Join(sizes, ", "), strings.Join(costs, ", "))
	}
	out.WriteString("\nThe `spread/` series of docs/slopes.json hold the figures of each event for each kind of node at the same four sizes.\n")
}
