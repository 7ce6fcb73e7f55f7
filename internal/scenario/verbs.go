package scenario

import (
	"context"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/backend"
	"github.com/turmericrock/turmericrock/internal/standin/callers"
	"github.com/turmericrock/turmericrock/internal/standin/fabric"
	"github.com/turmericrock/turmericrock/internal/standin/world"
)

// Defaults of declarations and backend servers.
const (
	defaultSlots       = 5
	defaultConnections = 500
	defaultDrain       = 6 * time.Second
	defaultWarmup      = time.Second
	defaultWork        = 20 * time.Millisecond
	readyWait          = 20 * time.Second
	awaitWait          = 30 * time.Second
	stopWait           = 15 * time.Second
	// excuseTime is how long after the cause a flow may be given up.
	excuseTime = 5 * time.Second
)

// verb is one command. It has the number of arguments that it needs at
// least.
type verb struct {
	least int
	run   func(s *stage, args []string) error
}

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	verbs := map[string]verb{
		"service":      {1, (*stage).declare},
		"entry":        {2, (*stage).startEntry},
		"agent":        {3, (*stage).startAgent},
		"replace":      {3, (*stage).replace},
		"ready":        {1, (*stage).ready},
		"load":         {2, (*stage).startLoad},
		"end":          {1, (*stage).endLoad},
		"crash":        {1, onNode((*world.Node).Kill)},
		"crashprocess": {1, onNode(func(n *world.Node) { n.KillProcess() })},
		"crashbackend": {1, onNode((*world.Node).KillBackend)},
		"freeze":       {1, onNode(func(n *world.Node) { n.Suspend() })},
		"thaw":         {1, onNode(func(n *world.Node) { n.Resume() })},
		"withdraw":     {1, onNode((*world.Node).RemoveFromRotation)},
		"cut":          {1, onNode(func(n *world.Node) { n.SetPlatformDisconnected(true) })},
		"heal":         {1, onNode(func(n *world.Node) { n.SetPlatformDisconnected(false) })},
		"draining":     {1, onNode(func(n *world.Node) { n.Backend.SetDraining(true) })},
		"coldstart":    {1, onNode(func(n *world.Node) { n.Backend.Restart() })},
		"startbackend": {1, onNodeErr((*world.Node).StartBackend)},
		"restart":      {1, onNodeErr(func(n *world.Node) error { return n.Start() })},
		"shutdown":     {1, (*stage).shutdown},
		"list":         {2, (*stage).list},
		"zone":         {2, (*stage).setZone},
		"publish":      {0, (*stage).publish},
		"platform":     {1, (*stage).platform},
		"fabric":       {1, (*stage).fabric},
		"silence":      {1, (*stage).silence},
		"sink":         {2, (*stage).sink},
		"mark":         {2, (*stage).mark},
		"excuse":       {1, (*stage).excuse},
		"sleep":        {1, (*stage).sleep},
		"await":        {1, (*stage).await},
		"expect":       {3, (*stage).expect},
		"rotate":       {1, (*stage).rotate},
		"split":        {1, (*stage).split},
		"mend":         {0, (*stage).mend},
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string), len(verbs))
	for name, v := range verbs {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg || len(args) < v.least {
				ts.Fatalf("%s takes %d arguments or more and no !", name, v.least)
			}
			s := ts.Value(stageKey{}).(*stage)
			if err := v.run(s, args); err != nil {
				ts.Logf("%s", s.logs())
				ts.Fatalf("%v", err)
			}
		}
	}
	return out
}

// onNode makes a verb of an action on each node named.
func onNode(action func(*world.Node)) func(*stage, []string) error {
	return onNodeErr(func(n *world.Node) error {
		action(n)
		return nil
	})
}

func onNodeErr(action func(*world.Node) error) func(*stage, []string) error {
	return func(s *stage, names []string) error {
		for _, name := range names {
			node, err := s.node(name)
			if err != nil {
				return err
			}
			if err := action(node); err != nil {
				return err
			}
		}
		return nil
	}
}

// declare declares a service: service CUSTOMER/NAME zones=A,B [slots=N]
// [connections=N] [drain=D] [warmup=D].
func (s *stage) declare(args []string) error {
	id, err := fleet.ParseServiceID(args[0])
	if err != nil {
		return err
	}
	o := parseOptions("service", args[1:])
	service := fleet.Service{
		ID:          id,
		Slots:       o.number("slots", defaultSlots),
		Connections: o.number("connections", defaultConnections),
		Zones:       o.list("zones"),
		Drain:       o.duration("drain", defaultDrain),
		Warmup:      o.duration("warmup", defaultWarmup),
		Streams:     []string{callers.FeedPath},
	}
	for _, zone := range service.Zones {
		s.zone(zone)
	}
	s.config.Services = append(s.config.Services, service)
	return o.finish()
}

// startEntry starts entries: entry ZONE NAME...
func (s *stage) startEntry(args []string) error {
	if err := s.open(); err != nil {
		return err
	}
	for _, name := range args[1:] {
		if _, err := s.world.StartEntry(name, args[0]); err != nil {
			return err
		}
	}
	return nil
}

// startAgent starts hosts: agent ZONE SERVICE NAME... [slots=N] [cold=D]
// [coldslots=N] [work=D].
func (s *stage) startAgent(args []string) error {
	if err := s.open(); err != nil {
		return err
	}
	id, err := fleet.ParseServiceID(args[1])
	if err != nil {
		return err
	}
	names, config, err := backendConfig("agent", args[2:])
	if err != nil {
		return err
	}
	for _, name := range names {
		if _, err := s.world.StartAgent(name, args[0], id, config); err != nil {
			return err
		}
	}
	return nil
}

// replace starts a VM on the address of one that is gone: replace OLD NEW
// SERVICE.
func (s *stage) replace(args []string) error {
	old, err := s.node(args[0])
	if err != nil {
		return err
	}
	id, err := fleet.ParseServiceID(args[2])
	if err != nil {
		return err
	}
	_, config, err := backendConfig("replace", args[3:])
	if err != nil {
		return err
	}
	_, err = s.world.ReplaceAgent(old, args[1], id, config)
	return err
}

// backendConfig splits names from options.
func backendConfig(verb string, args []string) ([]string, backend.Config, error) {
	first := len(args)
	for i, arg := range args {
		if containsEquals(arg) {
			first = i
			break
		}
	}
	o := parseOptions(verb, args[first:])
	config := backend.Config{
		Slots:       o.number("slots", defaultSlots),
		ColdSlots:   o.number("coldslots", defaultSlots),
		Warmup:      o.duration("cold", 0),
		ServiceTime: o.duration("work", defaultWork),
	}
	return args[:first], config, o.finish()
}

func containsEquals(arg string) bool {
	for _, r := range arg {
		if r == '=' {
			return true
		}
	}
	return false
}

// ready waits until each service answers.
func (s *stage) ready(args []string) error {
	ctx, cancel := context.WithTimeout(s.ctx, readyWait)
	defer cancel()
	for _, arg := range args {
		id, err := fleet.ParseServiceID(arg)
		if err != nil {
			return err
		}
		if err := s.world.WaitReady(ctx, id); err != nil {
			return &AwaitError{Condition: "ready " + arg, Err: err}
		}
	}
	return nil
}

// startLoad starts callers: load NAME SERVICE [submitters=N] [feeds=N]
// [lines=N] [every=D] [think=D].
func (s *stage) startLoad(args []string) error {
	id, err := fleet.ParseServiceID(args[1])
	if err != nil {
		return err
	}
	o := parseOptions("load", args[2:])
	config := callers.DefaultConfig()
	config.FeedLines = o.number("lines", config.FeedLines)
	config.FeedInterval = o.duration("every", config.FeedInterval)
	config.ThinkTime = o.duration("think", config.ThinkTime)
	submitters, feeds := o.number("submitters", 0), o.number("feeds", 0)
	if err := o.finish(); err != nil {
		return err
	}
	load := callers.New(s.ctx, s.world, config)
	load.StartSubmitters(id, submitters)
	load.StartFeedReaders(id, feeds)
	s.loads[args[0]] = load
	return nil
}

// endLoad lets the callers of loads finish what they have begun.
func (s *stage) endLoad(args []string) error {
	for _, name := range args {
		load := s.loads[name]
		if load == nil {
			return &UsageError{Verb: "end", Argument: name, Allowed: "the name of a load"}
		}
		load.Stop()
	}
	return nil
}

// shutdown ends processes gracefully and fails when one does not end.
func (s *stage) shutdown(args []string) error {
	for _, name := range args {
		node, err := s.node(name)
		if err != nil {
			return err
		}
		if !node.Stop(stopWait) {
			return &AwaitError{Condition: "shutdown " + name, Err: context.DeadlineExceeded}
		}
	}
	return nil
}

// list changes the platform's word on nodes: list live|leaving|gone NAME...
func (s *stage) list(args []string) error {
	states := map[string]fleet.VMState{"live": fleet.VMLive, "leaving": fleet.VMLeaving, "gone": ""}
	state, known := states[args[0]]
	if !known {
		return &UsageError{Verb: "list", Argument: args[0], Allowed: "live, leaving or gone"}
	}
	return onNodeErr(func(n *world.Node) error { return s.world.SetListing(n, state) })(s, args[1:])
}

// setZone takes a zone out or brings it back: zone NAME out|in.
func (s *stage) setZone(args []string) error {
	if args[1] != "out" && args[1] != "in" {
		return &UsageError{Verb: "zone", Argument: args[1], Allowed: "out or in"}
	}
	out := args[1] == "out"
	if out {
		s.excuseZone(args[0])
	}
	return s.world.SetZoneOut(args[0], out)
}

// excuseZone gives up the flows that end in the zone.
func (s *stage) excuseZone(zone string) {
	for _, node := range s.world.Nodes() {
		if vm := node.VM(); vm.Zone == zone {
			s.addExcuse(vm.ID, true)
		}
	}
}

func (s *stage) addExcuse(host string, zone bool) {
	now := time.Now()
	s.excuses = append(s.excuses, callers.Disruption{Host: host, ZoneOut: zone, From: now, To: now.Add(excuseTime)})
}

// excuse gives up the flows of hosts that end from now on for a short time.
func (s *stage) excuse(args []string) error {
	for _, host := range args {
		s.addExcuse(host, false)
	}
	return nil
}

func (s *stage) publish([]string) error {
	return s.world.Publish()
}

// platform changes the platform: platform down|up|remember|stale|fresh.
func (s *stage) platform(args []string) error {
	switch args[0] {
	case "down", "up":
		s.world.Platform.SetUnavailable(args[0] == "down")
	case "remember":
		s.world.Platform.SaveSnapshot()
	case "stale", "fresh":
		s.world.Platform.ServeStale(args[0] == "stale")
	default:
		return &UsageError{Verb: "platform", Argument: args[0], Allowed: "down, up, remember, stale or fresh"}
	}
	return nil
}

// fabric replaces the faults before a service: fabric SERVICE [loss=S]
// [duplicate=S] [delay=D] [jitter=D] [forward=cut] [backward=cut].
func (s *stage) fabric(args []string) error {
	id, err := fleet.ParseServiceID(args[0])
	if err != nil {
		return err
	}
	o := parseOptions("fabric", args[1:])
	faults := fabric.Faults{
		Loss:            o.share("loss"),
		Duplicate:       o.share("duplicate"),
		Delay:           o.duration("delay", 0),
		Jitter:          o.duration("jitter", 0),
		DropFromCallers: o.flag("forward"),
		DropToCallers:   o.flag("backward"),
	}
	if err := o.finish(); err != nil {
		return err
	}
	s.world.Fabric(id).SetFaults(faults)
	return nil
}

// silence drops the packets of all callers known so far.
func (s *stage) silence(args []string) error {
	id, err := fleet.ParseServiceID(args[0])
	if err != nil {
		return err
	}
	s.world.Fabric(id).SilenceKnownCallers()
	return nil
}

// sink counts packets at the address of a node that is gone: sink NAME NODE.
func (s *stage) sink(args []string) error {
	node, err := s.node(args[1])
	if err != nil {
		return err
	}
	sink, err := node.OpenSink()
	if err != nil {
		return err
	}
	s.sinks[args[0]] = sink
	return nil
}

// mark remembers the requests begun at hosts: mark NAME NODE...
func (s *stage) mark(args []string) error {
	m := mark{}
	for _, name := range args[1:] {
		node, err := s.node(name)
		if err != nil {
			return err
		}
		m.nodes = append(m.nodes, node)
		m.begun += node.ReceivedRequests()
		s.fallen[name] = node.Backend.Stats().ColdOverloads
	}
	s.marks[args[0]] = m
	return nil
}

func (s *stage) sleep(args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return &UsageError{Verb: "sleep", Argument: args[0], Allowed: "a duration"}
	}
	world.Sleep(s.ctx, d)
	return nil
}

// split cuts nodes off from the platform and from all other nodes: split
// NODE...
func (s *stage) split(args []string) error {
	var nodes []*world.Node
	for _, name := range args {
		node, err := s.node(name)
		if err != nil {
			return err
		}
		node.SetPlatformDisconnected(true)
		nodes = append(nodes, node)
	}
	s.world.Partition(nodes)
	return nil
}

// mend ends every cut.
func (s *stage) mend([]string) error {
	for _, node := range s.world.Nodes() {
		node.SetPlatformDisconnected(false)
	}
	s.world.HealPartition()
	return nil
}

// rotate changes the fleet's keys: rotate add|use|drop N.
func (s *stage) rotate(args []string) error {
	generation, err := strconv.ParseUint(args[len(args)-1], 10, 8)
	if err != nil || len(args) != 2 {
		return &UsageError{Verb: "rotate", Argument: args[len(args)-1], Allowed: "add, use or drop and a generation"}
	}
	switch args[0] {
	case "add":
		return s.world.AddKey(uint8(generation))
	case "use":
		return s.world.ActivateKey(uint8(generation))
	case "drop":
		return s.world.RemoveKey(uint8(generation))
	default:
		return &UsageError{Verb: "rotate", Argument: args[0], Allowed: "add, use or drop"}
	}
}
