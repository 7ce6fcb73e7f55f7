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

// Default settings of services and backend servers, and time limits of verbs.
const (
	defaultSlots       = 5
	defaultConnections = 500
	defaultDrain       = 6 * time.Second
	defaultWarmup      = time.Second
	defaultWork        = 20 * time.Millisecond
	readyTimeout       = 20 * time.Second
	awaitTimeout       = 30 * time.Second
	stopTimeout        = 15 * time.Second
	// toleratedWindow is the time after a failure within which broken flows at
	// the affected hosts are tolerated.
	toleratedWindow = 5 * time.Second
)

// verb is a script command. minArgs is its minimum number of arguments.
type verb struct {
	minArgs int
	run     func(s *scriptState, args []string) error
}

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	verbs := map[string]verb{
		"service":      {1, (*scriptState).declareService},
		"entry":        {2, (*scriptState).startEntry},
		"agent":        {3, (*scriptState).startAgent},
		"replace":      {3, (*scriptState).replaceAgent},
		"ready":        {1, (*scriptState).awaitReady},
		"load":         {2, (*scriptState).startLoad},
		"end":          {1, (*scriptState).endLoad},
		"crash":        {1, forEachNode((*world.Node).Kill)},
		"crashprocess": {1, forEachNode(func(n *world.Node) { n.KillProcess() })},
		"crashbackend": {1, forEachNode((*world.Node).KillBackend)},
		"freeze":       {1, forEachNode(func(n *world.Node) { n.Suspend() })},
		"thaw":         {1, forEachNode(func(n *world.Node) { n.Resume() })},
		"withdraw":     {1, forEachNode((*world.Node).RemoveFromRotation)},
		"cut":          {1, forEachNode(func(n *world.Node) { n.SetPlatformDisconnected(true) })},
		"heal":         {1, forEachNode(func(n *world.Node) { n.SetPlatformDisconnected(false) })},
		"draining":     {1, forEachNode(func(n *world.Node) { n.Backend.SetDraining(true) })},
		"coldstart":    {1, forEachNode(func(n *world.Node) { n.Backend.Restart() })},
		"startbackend": {1, forEachNodeErr((*world.Node).StartBackend)},
		"restart":      {1, forEachNodeErr(func(n *world.Node) error { return n.Start() })},
		"shutdown":     {1, (*scriptState).shutdown},
		"list":         {2, (*scriptState).setListState},
		"zone":         {2, (*scriptState).setZone},
		"publish":      {0, (*scriptState).publish},
		"platform":     {1, (*scriptState).setPlatformState},
		"fabric":       {1, (*scriptState).setFaults},
		"silence":      {1, (*scriptState).silencePaths},
		"sink":         {2, (*scriptState).startSink},
		"mark":         {2, (*scriptState).recordMark},
		"excuse":       {1, (*scriptState).tolerateFailures},
		"sleep":        {1, (*scriptState).sleep},
		"await":        {1, (*scriptState).await},
		"expect":       {3, (*scriptState).expect},
		"rotate":       {1, (*scriptState).rotateKeys},
		"split":        {1, (*scriptState).splitNodes},
		"mend":         {0, (*scriptState).healAll},
	}
	out := make(map[string]func(*testscript.TestScript, bool, []string), len(verbs))
	for name, v := range verbs {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg || len(args) < v.minArgs {
				ts.Fatalf("%s takes at least %d arguments and cannot be negated with !", name, v.minArgs)
			}
			s := ts.Value(scriptStateKey{}).(*scriptState)
			if err := v.run(s, args); err != nil {
				ts.Logf("%s", s.nodeLogs())
				ts.Fatalf("%v", err)
			}
		}
	}
	return out
}

// forEachNode returns a verb that applies the action to each named node.
func forEachNode(action func(*world.Node)) func(*scriptState, []string) error {
	return forEachNodeErr(func(n *world.Node) error {
		action(n)
		return nil
	})
}

func forEachNodeErr(action func(*world.Node) error) func(*scriptState, []string) error {
	return func(s *scriptState, names []string) error {
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

// declareService implements the verb service CUSTOMER/NAME zones=A,B [slots=N]
// [connections=N] [drain=D] [warmup=D].
func (s *scriptState) declareService(args []string) error {
	id, err := fleet.ParseServiceID(args[0])
	if err != nil {
		return err
	}
	o := parseOptions("service", args[1:])
	service := fleet.Service{
		ID:          id,
		Slots:       o.integer("slots", defaultSlots),
		Connections: o.integer("connections", defaultConnections),
		Zones:       o.list("zones"),
		Drain:       o.duration("drain", defaultDrain),
		Warmup:      o.duration("warmup", defaultWarmup),
		Streams:     []string{callers.FeedPath},
	}
	for _, zone := range service.Zones {
		s.declareZone(zone)
	}
	s.config.Services = append(s.config.Services, service)
	return o.finish()
}

// startEntry implements the verb entry ZONE NAME..., which starts entries.
func (s *scriptState) startEntry(args []string) error {
	if err := s.startWorld(); err != nil {
		return err
	}
	for _, name := range args[1:] {
		if _, err := s.world.StartEntry(name, args[0]); err != nil {
			return err
		}
	}
	return nil
}

// startAgent implements the verb agent ZONE SERVICE NAME... [slots=N] [cold=D]
// [coldslots=N] [work=D], which starts hosts: backend servers with their
// agents.
func (s *scriptState) startAgent(args []string) error {
	if err := s.startWorld(); err != nil {
		return err
	}
	id, err := fleet.ParseServiceID(args[1])
	if err != nil {
		return err
	}
	names, config, err := parseBackendArgs("agent", args[2:])
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

// replaceAgent implements the verb replace OLD NEW SERVICE, which starts a VM
// at the address of a VM that has ended.
func (s *scriptState) replaceAgent(args []string) error {
	old, err := s.node(args[0])
	if err != nil {
		return err
	}
	id, err := fleet.ParseServiceID(args[2])
	if err != nil {
		return err
	}
	_, config, err := parseBackendArgs("replace", args[3:])
	if err != nil {
		return err
	}
	_, err = s.world.ReplaceAgent(old, args[1], id, config)
	return err
}

// parseBackendArgs returns the names that precede the first key=value
// argument, and the backend server settings from the rest.
func parseBackendArgs(verb string, args []string) ([]string, backend.Config, error) {
	firstOption := len(args)
	for i, arg := range args {
		if containsEquals(arg) {
			firstOption = i
			break
		}
	}
	o := parseOptions(verb, args[firstOption:])
	config := backend.Config{
		Slots:       o.integer("slots", defaultSlots),
		ColdSlots:   o.integer("coldslots", defaultSlots),
		Warmup:      o.duration("cold", 0),
		ServiceTime: o.duration("work", defaultWork),
	}
	return args[:firstOption], config, o.finish()
}

func containsEquals(arg string) bool {
	for _, r := range arg {
		if r == '=' {
			return true
		}
	}
	return false
}

// awaitReady implements the verb ready SERVICE..., which waits until each
// service responds.
func (s *scriptState) awaitReady(args []string) error {
	ctx, cancel := context.WithTimeout(s.ctx, readyTimeout)
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

// startLoad implements the verb load NAME SERVICE [submitters=N] [feeds=N]
// [lines=N] [every=D] [think=D], which starts callers.
func (s *scriptState) startLoad(args []string) error {
	id, err := fleet.ParseServiceID(args[1])
	if err != nil {
		return err
	}
	o := parseOptions("load", args[2:])
	config := callers.DefaultConfig()
	config.FeedLines = o.integer("lines", config.FeedLines)
	config.FeedInterval = o.duration("every", config.FeedInterval)
	config.ThinkTime = o.duration("think", config.ThinkTime)
	submitters, feeds := o.integer("submitters", 0), o.integer("feeds", 0)
	if err := o.finish(); err != nil {
		return err
	}
	load := callers.New(s.ctx, s.world, config)
	load.StartSubmitters(id, submitters)
	load.StartFeedReaders(id, feeds)
	s.loads[args[0]] = load
	return nil
}

// endLoad implements the verb end NAME..., which stops the loads after their
// open requests have finished.
func (s *scriptState) endLoad(args []string) error {
	for _, name := range args {
		load := s.loads[name]
		if load == nil {
			return &UsageError{Verb: "end", Argument: name, Allowed: "the name of a load"}
		}
		load.Stop()
	}
	return nil
}

// shutdown implements the verb shutdown NODE..., which stops processes
// gracefully and fails if one does not exit in time.
func (s *scriptState) shutdown(args []string) error {
	for _, name := range args {
		node, err := s.node(name)
		if err != nil {
			return err
		}
		if !node.Stop(stopTimeout) {
			return &AwaitError{Condition: "shutdown " + name, Err: context.DeadlineExceeded}
		}
	}
	return nil
}

// setListState implements the verb list live|leaving|gone NAME..., which
// changes the state of nodes in the platform's VM list.
func (s *scriptState) setListState(args []string) error {
	states := map[string]fleet.VMState{"live": fleet.VMLive, "leaving": fleet.VMLeaving, "gone": ""}
	state, known := states[args[0]]
	if !known {
		return &UsageError{Verb: "list", Argument: args[0], Allowed: "live, leaving or gone"}
	}
	return forEachNodeErr(func(n *world.Node) error { return s.world.SetListing(n, state) })(s, args[1:])
}

// setZone implements the verb zone NAME out|in, which takes a zone out of
// service or puts it back.
func (s *scriptState) setZone(args []string) error {
	if args[1] != "out" && args[1] != "in" {
		return &UsageError{Verb: "zone", Argument: args[1], Allowed: "out or in"}
	}
	out := args[1] == "out"
	if out {
		s.tolerateZoneFailures(args[0])
	}
	return s.world.SetZoneOut(args[0], out)
}

// tolerateZoneFailures tolerates broken flows at all hosts of the zone for
// toleratedWindow.
func (s *scriptState) tolerateZoneFailures(zone string) {
	for _, node := range s.world.Nodes() {
		if vm := node.VM(); vm.Zone == zone {
			s.addTolerated(vm.ID, true)
		}
	}
}

func (s *scriptState) addTolerated(host string, zone bool) {
	now := time.Now()
	s.tolerated = append(s.tolerated, callers.Disruption{Host: host, ZoneOut: zone, From: now, To: now.Add(toleratedWindow)})
}

// tolerateFailures implements the verb excuse HOST..., which tolerates broken
// flows at the hosts for toleratedWindow.
func (s *scriptState) tolerateFailures(args []string) error {
	for _, host := range args {
		s.addTolerated(host, false)
	}
	return nil
}

func (s *scriptState) publish([]string) error {
	return s.world.Publish()
}

// setPlatformState implements the verb platform down|up|remember|stale|fresh,
// which makes the platform fail or serve the state remembered earlier.
func (s *scriptState) setPlatformState(args []string) error {
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

// setFaults implements the verb fabric SERVICE [loss=S] [duplicate=S]
// [delay=D] [jitter=D] [forward=cut] [backward=cut], which replaces the packet
// faults injected in front of a service.
func (s *scriptState) setFaults(args []string) error {
	id, err := fleet.ParseServiceID(args[0])
	if err != nil {
		return err
	}
	o := parseOptions("fabric", args[1:])
	faults := fabric.Faults{
		Loss:            o.fraction("loss"),
		Duplicate:       o.fraction("duplicate"),
		Delay:           o.duration("delay", 0),
		Jitter:          o.duration("jitter", 0),
		DropFromCallers: o.cutFlag("forward"),
		DropToCallers:   o.cutFlag("backward"),
	}
	if err := o.finish(); err != nil {
		return err
	}
	s.world.Fabric(id).SetFaults(faults)
	return nil
}

// silencePaths implements the verb silence SERVICE, which drops all further
// packets from the callers' current addresses.
func (s *scriptState) silencePaths(args []string) error {
	id, err := fleet.ParseServiceID(args[0])
	if err != nil {
		return err
	}
	s.world.Fabric(id).SilenceKnownCallers()
	return nil
}

// startSink implements the verb sink NAME NODE, which counts packets that
// arrive at the address of a node that has ended.
func (s *scriptState) startSink(args []string) error {
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

// recordMark implements the verb mark NAME NODE..., which records the current
// request counts of nodes.
func (s *scriptState) recordMark(args []string) error {
	m := mark{}
	for _, name := range args[1:] {
		node, err := s.node(name)
		if err != nil {
			return err
		}
		m.nodes = append(m.nodes, node)
		m.requests += node.ReceivedRequests()
		s.overloadsAtMark[name] = node.Backend.Stats().ColdOverloads
	}
	s.marks[args[0]] = m
	return nil
}

func (s *scriptState) sleep(args []string) error {
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return &UsageError{Verb: "sleep", Argument: args[0], Allowed: "a duration"}
	}
	world.Sleep(s.ctx, d)
	return nil
}

// splitNodes implements the verb split NODE..., which disconnects nodes from
// the platform and from all other nodes' mesh links.
func (s *scriptState) splitNodes(args []string) error {
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

// healAll implements the verb mend, which undoes every cut and split.
func (s *scriptState) healAll([]string) error {
	for _, node := range s.world.Nodes() {
		node.SetPlatformDisconnected(false)
	}
	s.world.HealPartition()
	return nil
}

// rotateKeys implements the verb rotate add|use|drop N, which adds, selects or
// removes generation N of the fleet's shared keys.
func (s *scriptState) rotateKeys(args []string) error {
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
