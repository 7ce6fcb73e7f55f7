package cli

import (
	"cmp"
	"regexp"
	"slices"
	"strings"
)

var (
	traceEvent   = regexp.MustCompile(`msg=(\S+)`)
	traceService = regexp.MustCompile(`service=(\S+)`)
)

// Log lines that trace relates to each other.
const (
	refusedEvent = "flow_refused"
	levelEvent   = "admission_level"
)

// fieldOf returns the first group of a pattern in a line, or "".
func fieldOf(pattern *regexp.Regexp, line string) string {
	if match := pattern.FindStringSubmatch(line); match != nil {
		return match[1]
	}
	return ""
}

// isLevel reports whether a line is about the admission level of a host.
func isLevel(line string) bool {
	return strings.Contains(line, levelEvent) && fieldOf(traceEvent, line) == levelEvent
}

// levelsBeforeRefusal returns the last line before the flow's first refusal on the admission
// level of each host of the service that refused it. levels holds the lines on admission
// levels of each log. These name no flow, but refusals depend on them.
func levelsBeforeRefusal(lines []traceLine, levels [][]traceLine) []traceLine {
	i := slices.IndexFunc(lines, func(l traceLine) bool { return fieldOf(traceEvent, l.text) == refusedEvent })
	if i < 0 {
		return nil
	}
	refusal, service := lines[i], fieldOf(traceService, lines[i].text)
	if service == "" {
		return nil
	}
	var last []traceLine
	for _, log := range levels {
		var before []traceLine
		for _, l := range log {
			if !l.at.After(refusal.at) && fieldOf(traceService, l.text) == service {
				before = append(before, l)
			}
		}
		if len(before) > 0 {
			last = append(last, slices.MaxFunc(before, compareTraceTimes))
		}
	}
	return last
}

func compareTraceTimes(a, b traceLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) }
