package demo

import (
	"fmt"
	"slices"

	"github.com/turmericrock/turmericrock/internal/standin/callers"
)

// Promise is the result for one guarantee of the system, printed as one line
// of the report.
type Promise struct {
	Name     string
	Events   int
	Requests int
	Broken   int
	Doubled  int
	Crossed  int
	// Violations is the number of observations that contradict the guarantee.
	Violations int
	// Detail describes what Violations counts.
	Detail string
}

// Held reports whether the guarantee had no violations and was actually
// tested: its events occurred and requests were made.
func (p Promise) Held() bool {
	return p.Violations == 0 && p.Events > 0 && p.Requests > 0
}

// String returns the printed line.
func (p Promise) String() string {
	verdict := "held"
	if !p.Held() {
		verdict = "NOT_HELD"
	}
	return fmt.Sprintf("promise=%s events=%d requests=%d broken_flows=%d doubled=%d crossed=%d against=%d detail=%q verdict=%s",
		p.Name, p.Events, p.Requests, p.Broken, p.Doubled, p.Crossed, p.Violations, p.Detail, verdict)
}

// plannedEvents are the events that must not break flows: planned changes, and
// failures that flows survive.
var plannedEvents = []string{
	eventEntryKilled, eventEntryAdded, eventEntryStopped, eventHostDrained, eventHostAdded,
	eventZoneBack, eventPlatformDown, eventPlatformBack, eventPublished,
}

// report prints the figures and the promises, and reports whether all promises
// were held.
func (r *demoRun) report() bool {
	count := callers.Count(r.world, r.load.Outcomes(), r.observed.tolerated)
	r.printBroken(count.Broken)
	r.printFigures(count)
	promises := r.evaluatePromises(count)
	held := 0
	for _, promise := range promises {
		r.print("%s\n", promise)
		if promise.Held() {
			held++
		}
	}
	r.print("demo: promises=%d held=%d broken_flows=%d doubled=%d crossed=%d\n",
		len(promises), held, len(count.Broken), count.DuplicateRuns, count.Misrouted)
	return held == len(promises)
}

func (r *demoRun) printBroken(broken []*callers.Outcome) {
	for _, o := range broken {
		r.print("broken at=%.1fs service=%s id=%s feed=%t host=%s error=%q\n",
			o.EndedAt.Sub(r.observed.startedAt).Seconds(), o.Service, o.ID, o.Feed, o.Host, o.Err)
	}
}

func (r *demoRun) print(format string, args ...any) {
	_, _ = fmt.Fprintf(r.config.Out, format, args...)
}

// evaluatePromises returns the result for each guarantee.
func (r *demoRun) evaluatePromises(c callers.Tally) []Promise {
	obs := &r.observed
	all := len(obs.windows)
	promise := func(name string, events, requests, violations int, format string, args ...any) Promise {
		return Promise{
			Name:       name,
			Events:     events,
			Requests:   requests,
			Broken:     len(c.Broken),
			Doubled:    c.DuplicateRuns,
			Crossed:    c.Misrouted,
			Violations: violations,
			Detail:     fmt.Sprintf(format, args...),
		}
	}
	excess, undetected := r.coldOverloads()
	behind, reverted := r.outdatedNodes(), r.revertedNodes()
	return []Promise{
		promise("flows_survive_planned_change", r.eventCount(plannedEvents...), c.Requests, len(c.Broken),
			"given up with a zone: %d, with a killed backend server: %d", c.BrokenByZoneOut, c.BrokenByKill),
		promise("no_packet_reaches_another_service", all, c.Requests, c.Misrouted,
			"requests at a foreign backend server and foreign answers"),
		promise("cold_backend_server_not_overloaded", len(obs.coldServers), c.Requests, excess,
			"requests over what a cold one bears; before its cold start could be known: %d", undetected),
		promise("zone_out_receives_nothing", r.eventCount(eventZoneOut), c.Requests, obs.lateZoneTraffic,
			"packets and requests after %s", evacuationGrace),
		promise("whole_answer_to_own_request", all, c.Answered, c.BodyMismatches,
			"answers that differ from the one expected"),
		promise("not_run_is_true", all, c.Requests, c.FalseRefusals,
			"refused as not run: %d; of these, ran", c.Refused),
		promise("at_most_once", all, c.Requests, c.DuplicateRuns,
			"request IDs that ran twice"),
		promise("leaving_host_receives_no_new_work", r.eventCount(eventHostDrained), c.Requests, obs.lateRequests,
			"requests begun there after %s", evacuationGrace),
		promise("graceful_shutdown_cuts_nothing", r.eventCount(eventHostDrained, eventEntryStopped), c.Requests, len(c.Broken)+obs.stopTimeouts,
			"cut requests and processes that did not end: %d", obs.stopTimeouts),
		promise("configuration_in_force_and_never_reverts", r.eventCount(eventZoneOut, eventZoneBack, eventPublished), c.Requests, behind+reverted,
			"nodes behind: %d, reverted: %d", behind, reverted),
	}
}

// eventCount returns how often the named events occurred.
func (r *demoRun) eventCount(names ...string) int {
	count := 0
	for _, name := range names {
		count += r.observed.events[name]
	}
	return count
}

// coldOverloads returns the number of requests beyond the capacity of cold
// backend servers. excess excludes the requests that can arrive before a cold
// start is detectable; undetected counts these.
func (r *demoRun) coldOverloads() (excess, undetected int) {
	for _, cold := range r.observed.coldServers {
		overloads := cold.node.Backend.Stats().ColdOverloads - cold.overloadsBefore
		undetected += min(overloads, cold.allowedOverloads)
		excess += max(0, overloads-cold.allowedOverloads)
	}
	return excess, undetected
}

// revertedNodes returns the number of nodes that applied an older revision
// after a newer one, or whose audit log cannot be read.
func (r *demoRun) revertedNodes() int {
	count := 0
	for _, node := range r.world.Nodes() {
		revisions, err := node.Revisions()
		if err != nil || !slices.IsSorted(revisions) {
			count++
		}
	}
	return count
}
