package scenario

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/turmericrock/turmericrock/internal/standin/callers"
	"github.com/turmericrock/turmericrock/internal/standin/world"
)

// expect implements the verb expect MEASURE [NAME] =|<|> N, which compares a
// measure with a number.
func (s *scriptState) expect(args []string) error {
	want, err := strconv.Atoi(args[len(args)-1])
	if err != nil {
		return &UsageError{Verb: "expect", Argument: args[len(args)-1], Allowed: "a whole number"}
	}
	operator := args[len(args)-2]
	measure := args[:len(args)-2]
	got, detail, err := s.measure(measure)
	if err != nil {
		return err
	}
	met, err := compare(got, operator, want)
	if err != nil || met {
		return err
	}
	return &ExpectError{
		Measure:  strings.Join(measure, " "),
		Got:      got,
		Operator: operator,
		Want:     want,
		Detail:   detail,
	}
}

func compare(got int, operator string, want int) (bool, error) {
	switch operator {
	case "=":
		return got == want, nil
	case "<":
		return got < want, nil
	case ">":
		return got > want, nil
	default:
		return false, &UsageError{Verb: "expect", Argument: operator, Allowed: "=, < or >"}
	}
}

// measure returns the value of a measure and a description of what was
// counted, which may be empty.
func (s *scriptState) measure(args []string) (int, string, error) {
	switch {
	case len(args) == 1:
		return s.measureGlobal(args[0])
	case len(args) == 2:
		return s.measureNamed(args[0], args[1])
	default:
		return 0, "", &UsageError{Verb: "expect", Argument: strings.Join(args, " "), Allowed: "a measure and at most one name"}
	}
}

// measureGlobal returns a measure that has no name argument.
func (s *scriptState) measureGlobal(measure string) (int, string, error) {
	switch measure {
	case "doubled":
		return s.world.RunCounter.Duplicates(), s.describeDoubled(), nil
	case "crossed":
		return s.totalTally().Misrouted, "", nil
	case "behind":
		return len(s.outdatedNodes()), fmt.Sprint(s.outdatedNodes()), nil
	case "reverted":
		return len(s.revertedNodes()), fmt.Sprint(s.revertedNodes()), nil
	default:
		return 0, "", &UsageError{Verb: "expect", Argument: measure, Allowed: "doubled, crossed, behind or reverted"}
	}
}

// measureNamed returns a measure of the load, sink, mark or node with the
// given name.
func (s *scriptState) measureNamed(measure, name string) (int, string, error) {
	if load := s.loads[name]; load != nil {
		return s.measureLoad(measure, load)
	}
	if sink := s.sinks[name]; sink != nil && measure == "packets" {
		return int(sink.PacketCount()), s.describeArrivals(sink), nil
	}
	if m, found := s.marks[name]; found && measure == "begun" {
		return startedRequests(m.nodes) - m.requests, "", nil
	}
	if auditKind, found := strings.CutPrefix(measure, "audit:"); found {
		node, err := s.node(name)
		if err != nil {
			return 0, "", err
		}
		count, err := node.AuditCount(auditKind)
		return count, "", err
	}
	if cause, found := strings.CutPrefix(measure, "metric:"); found {
		node, err := s.node(name)
		if err != nil {
			return 0, "", err
		}
		count, err := node.MetricByCause(cause)
		return count, "", err
	}
	if measure == "fallen" {
		node, err := s.node(name)
		if err != nil {
			return 0, "", err
		}
		return node.Backend.Stats().ColdOverloads - s.overloadsAtMark[name], "", nil
	}
	return 0, "", &UsageError{Verb: "expect", Argument: measure + " " + name, Allowed: "a measure of a load, sink, mark or host"}
}

func (s *scriptState) measureLoad(measure string, load *callers.LoadGenerator) (int, string, error) {
	t := callers.Count(s.world, load.Outcomes(), s.tolerated)
	measures := map[string]int{
		"requests":      t.Requests,
		"answered":      t.Answered,
		"broken":        len(t.Broken),
		"givenup":       t.BrokenByZoneOut + t.BrokenByKill,
		"timedout":      t.TimedOut,
		"stalls":        t.Stalls,
		"notwhole":      t.BodyMismatches,
		"refused":       t.Refused,
		"falserefusals": t.FalseRefusals,
		"doubled":       t.DuplicateRuns,
		"crossed":       t.Misrouted,
	}
	got, known := measures[measure]
	if !known {
		return 0, "", &UsageError{Verb: "expect", Argument: measure, Allowed: "a measure of a load"}
	}
	return got, describeBroken(t.Broken), nil
}

// describeBroken describes the first maxDescribed broken flows.
func describeBroken(broken []*callers.Outcome) string {
	var out strings.Builder
	for i, o := range broken {
		if i == maxDescribed {
			break
		}
		_, _ = fmt.Fprintf(&out, "\nbroken id=%s feed=%t host=%s after=%s error=%q", o.ID, o.Feed, o.Host, o.EndedAt.Sub(o.StartedAt), o.Err)
	}
	return out.String()
}

// describeDoubled describes the requests that were executed more than once,
// with the hosts that received them.
func (s *scriptState) describeDoubled() string {
	var out strings.Builder
	for id, hosts := range s.world.RequestLog.Repeated() {
		if s.world.RunCounter.Runs(id) < 2 {
			continue
		}
		_, _ = fmt.Fprintf(&out, "\ndoubled id=%s hosts=%v", id, hosts)
		for _, load := range s.loads {
			for _, o := range load.Outcomes() {
				if o.ID == id {
					_, _ = fmt.Fprintf(&out, " began=%s after=%s error=%v", o.StartedAt.UTC().Format(time.RFC3339Nano), o.EndedAt.Sub(o.StartedAt), o.Err)
				}
			}
		}
	}
	return out.String()
}

// describeArrivals describes the packets that arrived at a sink, with the
// nodes that sent them.
func (s *scriptState) describeArrivals(sink *world.Sink) string {
	var out strings.Builder
	for _, arrival := range sink.ReceivedPackets() {
		sender := arrival.From.String()
		for _, node := range s.world.Nodes() {
			if node.VM().Addr.Addr() == arrival.From.Addr() {
				sender = node.VM().ID
			}
		}
		_, _ = fmt.Fprintf(&out, "\npacket at=%s from=%s size=%d", arrival.At.UTC().Format(time.RFC3339Nano), sender, arrival.Size)
	}
	return out.String()
}

const maxDescribed = 5

// totalTally counts the outcomes of all loads.
func (s *scriptState) totalTally() callers.Tally {
	var all []*callers.Outcome
	for _, load := range s.loads {
		all = append(all, load.Outcomes()...)
	}
	return callers.Count(s.world, all, s.tolerated)
}

// startedRequests returns the number of requests that the nodes' backend
// servers have received.
func startedRequests(nodes []*world.Node) int {
	sum := 0
	for _, node := range nodes {
		sum += node.ReceivedRequests()
	}
	return sum
}

// outdatedNodes returns the IDs of the running nodes that do not use the last
// published revision.
func (s *scriptState) outdatedNodes() []string {
	var names []string
	for _, node := range s.world.Nodes() {
		if node.Running() && !node.InForce(s.world.Revision()) {
			names = append(names, node.VM().ID)
		}
	}
	return names
}

// revertedNodes returns the IDs of the nodes that applied an older revision
// after a newer one, or whose audit log cannot be read.
func (s *scriptState) revertedNodes() []string {
	var names []string
	for _, node := range s.world.Nodes() {
		revisions, err := node.Revisions()
		if err != nil || !slices.IsSorted(revisions) {
			names = append(names, node.VM().ID)
		}
	}
	return names
}

// await implements the verbs await MEASURE [NAME] =|<|> N, which waits until
// an expectation is met, and await inforce NODE..., which waits until the
// nodes use the last published revision.
func (s *scriptState) await(args []string) error {
	ctx, cancel := context.WithTimeout(s.ctx, awaitTimeout)
	defer cancel()
	condition := func() error { return s.expect(args) }
	if args[0] == "inforce" {
		condition = func() error { return s.checkLastRevision(args[1:]) }
	}
	var lastErr error
	err := world.Await(ctx, func() bool {
		lastErr = condition()
		return lastErr == nil
	})
	if err != nil {
		return &AwaitError{Condition: strings.Join(args, " "), Err: lastErr}
	}
	return nil
}

// checkLastRevision returns an ExpectError unless all the nodes use the last
// published revision.
func (s *scriptState) checkLastRevision(names []string) error {
	outdated := 0
	for _, name := range names {
		node, err := s.node(name)
		if err != nil {
			return err
		}
		if !node.InForce(s.world.Revision()) {
			outdated++
		}
	}
	if outdated > 0 {
		return &ExpectError{Measure: "nodes behind", Got: outdated, Operator: "="}
	}
	return nil
}
