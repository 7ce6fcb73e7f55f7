package demo

import (
	"fmt"
	"slices"

	"github.com/turmericrock/turmericrock/internal/standin/callers"
)

// Promise is one line of the report.
type Promise struct {
	Name     string
	Events   int
	Requests int
	Broken   int
	Doubled  int
	Crossed  int
	// Against counts what speaks against the promise.
	Against int
	// Detail tells what was counted.
	Detail string
}

// Held reports whether nothing speaks against the promise and its events
// were met.
func (p Promise) Held() bool {
	return p.Against == 0 && p.Events > 0 && p.Requests > 0
}

// String returns the line as printed.
func (p Promise) String() string {
	verdict := "held"
	if !p.Held() {
		verdict = "NOT_HELD"
	}
	return fmt.Sprintf("promise=%s events=%d requests=%d broken_flows=%d doubled=%d crossed=%d against=%d detail=%q verdict=%s",
		p.Name, p.Events, p.Requests, p.Broken, p.Doubled, p.Crossed, p.Against, p.Detail, verdict)
}

// planned are the events that operators planned, and failures that flows
// survive.
var planned = []string{
	eventEntryKilled, eventEntryAdded, eventEntryStopped, eventHostDrained, eventHostAdded,
	eventZoneBack, eventPlatformDown, eventPlatformBack, eventPublished,
}

// report prints the figures and the promises, and reports whether all were
// held.
func (t *trial) report() bool {
	count := callers.Count(t.world, t.load.Outcomes(), t.facts.excuses)
	t.printBroken(count.Broken)
	t.printFigures(count)
	promises := t.promises(count)
	held := 0
	for _, promise := range promises {
		t.print("%s\n", promise)
		if promise.Held() {
			held++
		}
	}
	t.print("demo: promises=%d held=%d broken_flows=%d doubled=%d crossed=%d\n",
		len(promises), held, len(count.Broken), count.DuplicateRuns, count.Misrouted)
	return held == len(promises)
}

func (t *trial) printBroken(broken []*callers.Outcome) {
	for _, o := range broken {
		t.print("broken at=%.1fs service=%s id=%s feed=%t host=%s error=%q\n",
			o.EndedAt.Sub(t.facts.began).Seconds(), o.Service, o.ID, o.Feed, o.Host, o.Err)
	}
}

func (t *trial) print(format string, args ...any) {
	_, _ = fmt.Fprintf(t.config.Out, format, args...)
}

// promises judges each promise of the brief.
func (t *trial) promises(c callers.Tally) []Promise {
	f := &t.facts
	all := len(f.windows)
	promise := func(name string, events, requests, against int, format string, args ...any) Promise {
		return Promise{
			Name:     name,
			Events:   events,
			Requests: requests,
			Broken:   len(c.Broken),
			Doubled:  c.DuplicateRuns,
			Crossed:  c.Misrouted,
			Against:  against,
			Detail:   fmt.Sprintf(format, args...),
		}
	}
	fallen, unforeseen := t.overload()
	behind, reverted := t.behind(), t.reverted()
	return []Promise{
		promise("flows_survive_planned_change", t.events(planned...), c.Requests, len(c.Broken),
			"given up with a zone: %d, with a killed backend server: %d", c.BrokenByZoneOut, c.BrokenByKill),
		promise("no_packet_reaches_another_service", all, c.Requests, c.Misrouted,
			"requests at a foreign backend server and foreign answers"),
		promise("cold_backend_server_not_overloaded", len(f.started), c.Requests, fallen,
			"requests over what a cold one bears; before its cold start could be known: %d", unforeseen),
		promise("zone_out_receives_nothing", t.events(eventZoneOut), c.Requests, f.zoneLate,
			"packets and requests after %s", graceTime),
		promise("whole_answer_to_own_request", all, c.Answered, c.BodyMismatches,
			"answers that differ from the one expected"),
		promise("not_run_is_true", all, c.Requests, c.FalseRefusals,
			"refused as not run: %d; of these, ran", c.Refused),
		promise("at_most_once", all, c.Requests, c.DuplicateRuns,
			"request IDs that ran twice"),
		promise("leaving_host_receives_no_new_work", t.events(eventHostDrained), c.Requests, f.late,
			"requests begun there after %s", graceTime),
		promise("graceful_shutdown_cuts_nothing", t.events(eventHostDrained, eventEntryStopped), c.Requests, len(c.Broken)+f.notInTime,
			"cut requests and processes that did not end: %d", f.notInTime),
		promise("configuration_in_force_and_never_reverts", t.events(eventZoneOut, eventZoneBack, eventPublished), c.Requests, behind+reverted,
			"nodes behind: %d, reverted: %d", behind, reverted),
	}
}

// events counts the events of the names.
func (t *trial) events(names ...string) int {
	count := 0
	for _, name := range names {
		count += t.facts.events[name]
	}
	return count
}

// overload counts requests over what cold backend servers bore, and apart
// from them those that came before a cold start could be known.
func (t *trial) overload() (over, unforeseen int) {
	for _, cold := range t.facts.started {
		fallen := cold.node.Backend.Stats().ColdOverloads - cold.before
		unforeseen += min(fallen, cold.allowed)
		over += max(0, fallen-cold.allowed)
	}
	return over, unforeseen
}

// reverted counts nodes at which an older revision followed a newer one.
func (t *trial) reverted() int {
	count := 0
	for _, node := range t.world.Nodes() {
		revisions, err := node.Revisions()
		if err != nil || !slices.IsSorted(revisions) {
			count++
		}
	}
	return count
}
