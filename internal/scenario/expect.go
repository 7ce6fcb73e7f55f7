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

// expect compares a count: expect MEASURE [NAME] =|<|> N.
func (s *stage) expect(args []string) error {
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

// measure returns a count and what explains it.
func (s *stage) measure(args []string) (int, string, error) {
	switch {
	case len(args) == 1:
		return s.measureWorld(args[0])
	case len(args) == 2:
		return s.measureNamed(args[0], args[1])
	default:
		return 0, "", &UsageError{Verb: "expect", Argument: strings.Join(args, " "), Allowed: "a measure and at most one name"}
	}
}

// measureWorld returns a count of the whole world.
func (s *stage) measureWorld(measure string) (int, string, error) {
	switch measure {
	case "doubled":
		return s.world.RunCounter.Duplicates(), s.explainDoubled(), nil
	case "crossed":
		return s.tally().Misrouted, "", nil
	case "behind":
		return len(s.behind()), fmt.Sprint(s.behind()), nil
	case "reverted":
		return len(s.reverted()), fmt.Sprint(s.reverted()), nil
	default:
		return 0, "", &UsageError{Verb: "expect", Argument: measure, Allowed: "doubled, crossed, behind or reverted"}
	}
}

// measureNamed returns a count of a load, a sink, a mark or a host.
func (s *stage) measureNamed(measure, name string) (int, string, error) {
	if load := s.loads[name]; load != nil {
		return s.measureLoad(measure, load)
	}
	if sink := s.sinks[name]; sink != nil && measure == "packets" {
		return int(sink.PacketCount()), s.explainArrivals(sink), nil
	}
	if m, found := s.marks[name]; found && measure == "begun" {
		return begun(m.nodes) - m.begun, "", nil
	}
	if what, found := strings.CutPrefix(measure, "audit:"); found {
		node, err := s.node(name)
		if err != nil {
			return 0, "", err
		}
		count, err := node.AuditCount(what)
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
		return node.Backend.Stats().ColdOverloads - s.fallen[name], "", nil
	}
	return 0, "", &UsageError{Verb: "expect", Argument: measure + " " + name, Allowed: "a measure of a load, sink, mark or host"}
}

func (s *stage) measureLoad(measure string, load *callers.LoadGenerator) (int, string, error) {
	t := callers.Count(s.world, load.Outcomes(), s.excuses)
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
	return got, explain(t.Broken), nil
}

// explain names the first broken flows.
func explain(broken []*callers.Outcome) string {
	var out strings.Builder
	for i, o := range broken {
		if i == maxExplained {
			break
		}
		_, _ = fmt.Fprintf(&out, "\nbroken id=%s feed=%t host=%s after=%s error=%q", o.ID, o.Feed, o.Host, o.EndedAt.Sub(o.StartedAt), o.Err)
	}
	return out.String()
}

// explainDoubled names the requests that ran twice and their hosts.
func (s *stage) explainDoubled() string {
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

// explainArrivals names the nodes that sent the packets.
func (s *stage) explainArrivals(sink *world.Sink) string {
	var out strings.Builder
	for _, arrival := range sink.ReceivedPackets() {
		from := arrival.From.String()
		for _, node := range s.world.Nodes() {
			if node.VM().Addr.Addr() == arrival.From.Addr() {
				from = node.VM().ID
			}
		}
		_, _ = fmt.Fprintf(&out, "\npacket at=%s from=%s size=%d", arrival.At.UTC().Format(time.RFC3339Nano), from, arrival.Size)
	}
	return out.String()
}

const maxExplained = 5

// tally sums up all loads.
func (s *stage) tally() callers.Tally {
	var all []*callers.Outcome
	for _, load := range s.loads {
		all = append(all, load.Outcomes()...)
	}
	return callers.Count(s.world, all, s.excuses)
}

func begun(nodes []*world.Node) int {
	sum := 0
	for _, node := range nodes {
		sum += node.ReceivedRequests()
	}
	return sum
}

// behind returns the running nodes at which the last revision is not in
// force.
func (s *stage) behind() []string {
	var names []string
	for _, node := range s.world.Nodes() {
		if node.Running() && !node.InForce(s.world.Revision()) {
			names = append(names, node.VM().ID)
		}
	}
	return names
}

// reverted returns the nodes at which an older revision followed a newer one.
func (s *stage) reverted() []string {
	var names []string
	for _, node := range s.world.Nodes() {
		revisions, err := node.Revisions()
		if err != nil || !slices.IsSorted(revisions) {
			names = append(names, node.VM().ID)
		}
	}
	return names
}

// await waits until an expectation is met: await MEASURE [NAME] =|<|> N, or
// await inforce NODE... for the last revision at nodes.
func (s *stage) await(args []string) error {
	ctx, cancel := context.WithTimeout(s.ctx, awaitWait)
	defer cancel()
	condition := func() error { return s.expect(args) }
	if args[0] == "inforce" {
		condition = func() error { return s.inForce(args[1:]) }
	}
	var last error
	err := world.Await(ctx, func() bool {
		last = condition()
		return last == nil
	})
	if err != nil {
		return &AwaitError{Condition: strings.Join(args, " "), Err: last}
	}
	return nil
}

// inForce tells whether the last revision is in force at the nodes.
func (s *stage) inForce(names []string) error {
	count := 0
	for _, name := range names {
		node, err := s.node(name)
		if err != nil {
			return err
		}
		if !node.InForce(s.world.Revision()) {
			count++
		}
	}
	if count > 0 {
		return &ExpectError{Measure: "nodes behind", Got: count, Operator: "="}
	}
	return nil
}
