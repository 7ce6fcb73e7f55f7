package controlscale

import (
	"runtime/debug"
	"time"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/controlnet"
	"github.com/turmericrock/turmericrock/internal/fleetgen"
)

// Frame is what a message costs on the wire beside its payload, in bytes:
// IPv4 and TCP with timestamps 52, a TLS record 22, a WebSocket header 8.
const Frame = 82

// Load is what nodes of one kind spend on control.
type Load struct {
	Nodes int
	// MeanBytes and MaxBytes are bytes a second, sent and received, with
	// frames.
	MeanBytes float64
	MaxBytes  float64
	// MeanMessages and MaxMessages are messages a second, sent and received.
	MeanMessages float64
	MaxMessages  float64
}

// Phase is what one event costs.
type Phase struct {
	Name string
	// Took is how long the event lasted: until every node had the change, or
	// was current again.
	Took time.Duration
	// WorstReads is the greatest number of platform reads in one second,
	// with the watches that wait.
	WorstReads int
	// OldestAge is the greatest age of a confirmation at the end.
	OldestAge time.Duration
	// Missed counts the nodes that had not got there at the end.
	Missed int
	// Loads holds what each kind of node spent, by kind.
	Loads map[string]Load
}

// Result is the outcome of one measurement.
type Result struct {
	Size   fleetgen.Size
	Phases []Phase
	// Step is the mean processor time of one step of a replica, with its
	// share of the messages, in virtual steady state.
	Step time.Duration
	// CPUShare is the share of a core that a node spends at StepRate, had
	// each step the mean cost of those measured. It is an upper bound: the
	// steps measured are fewer and carry the same messages.
	CPUShare float64
}

// StepRate is the number of steps a second of a shipped node.
const StepRate = 20

// Kinds of nodes in Phase.Loads.
const (
	KindWatcher = "watcher"
	KindEntry   = "entry"
	KindAgent   = "agent"
)

type bench struct {
	*controlnet.Network
	*controlnet.Fleet
	phases []Phase
}

// gcPercent keeps the collector from taking most of the time of a large run.
const gcPercent = 400

const (
	stepEvery   = 500 * time.Millisecond
	startWithin = 5 * time.Second
	settle      = 30 * time.Second
	changeLimit = 10 * time.Second
	outage      = 12 * time.Second
	steadyTime  = 5 * time.Second
	// rest is the time between two events, in which nothing is counted.
	rest = 5 * time.Second
)

// Measure runs a fleet of the size through the events of a day, and returns
// what each cost.
func Measure(size fleetgen.Size, seed uint64) (Result, error) {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	net := controlnet.New(controlnet.Config{
		Seed:      seed,
		Delay:     500 * time.Microsecond,
		StepEvery: stepEvery,
		Control:   dissemination.DefaultConfig(),
		Builder:   newSharedBuilder(),
	})
	f, err := controlnet.NewFleet(net, size)
	if err != nil {
		return Result{}, err
	}
	b := &bench{Network: net, Fleet: f}
	b.phase("start of all", settle, func() { f.Start(startWithin) }, b.current)
	b.Advance(rest)
	cpu := b.steady()
	if err := b.changes(); err != nil {
		return Result{}, err
	}
	if err := b.failures(); err != nil {
		return Result{}, err
	}
	steps := steadyTime.Seconds() / stepEvery.Seconds() * float64(size.Nodes())
	step := time.Duration(float64(cpu) / steps)
	return Result{
		Size:     size,
		Phases:   b.phases,
		Step:     step,
		CPUShare: step.Seconds() * StepRate,
	}, nil
}

// steady measures a fleet in which nothing happens, and returns the processor
// time that it took.
func (b *bench) steady() time.Duration {
	begin := processorTime()
	b.run("steady", steadyTime, nil)
	return processorTime() - begin
}

func (b *bench) changes() error {
	var err error
	b.phase("one service changed", changeLimit, func() { err = b.ChangeService(0) }, b.latest)
	if err != nil {
		return err
	}
	b.phase("zone taken out", changeLimit, func() { err = b.SetZoneOut(0, true) }, b.latest)
	if err != nil {
		return err
	}
	b.Advance(rest)
	list := b.Lists[b.Zones()[0].Name]
	list.VMs = list.VMs[:len(list.VMs)-1]
	b.run("one VM gone from a list", steadyTime, func() { err = b.PublishList(list) })
	return err
}

func (b *bench) failures() error {
	b.Platform.SetDown(true)
	b.run("platform down", outage, nil)
	b.phase("end of outage", settle, func() { b.Platform.SetDown(false) }, b.current)
	b.phase("half restarted", settle, b.restartHalf, b.current)
	b.Advance(rest)
	err := b.emptyLists()
	if err != nil {
		return err
	}
	b.Cut = b.betweenRegions()
	b.run("regions split", outage, nil)
	b.phase("regions joined", settle, func() { b.Cut = nil }, b.current)
	b.phase("one zone lost", settle, b.loseZone, b.current)
	return nil
}

// betweenRegions returns a cut between nodes of different regions. Each side
// still reaches the platform.
func (b *bench) betweenRegions() func(from, to *controlnet.Node) bool {
	regions := make(map[string]string)
	for _, zone := range b.Zones() {
		regions[zone.Name] = zone.Region
	}
	return func(from, to *controlnet.Node) bool { return regions[from.VM.Zone] != regions[to.VM.Zone] }
}

func (b *bench) restartHalf() {
	for i, n := range b.Nodes() {
		if i%2 == 0 {
			n.Kill()
			n.Start(0)
		}
	}
}

func (b *bench) emptyLists() error {
	var err error
	b.run("empty lists", outage, func() {
		for _, zone := range b.Zones() {
			if e := b.PublishList(fleet.VMList{Zone: zone.Name}); e != nil {
				err = e
			}
		}
	})
	if err != nil {
		return err
	}
	b.run("lists restored", steadyTime, func() { err = b.PublishLists() })
	b.Advance(rest)
	return err
}

func (b *bench) loseZone() {
	for _, n := range b.Nodes() {
		if n.VM.Zone == b.Zones()[1].Name {
			n.Kill()
		}
	}
}

// latest reports whether a node has the revision published last.
func (b *bench) latest(n *controlnet.Node) bool {
	return n.Holder.Revision() == b.Revision()
}

// current reports whether a node's configuration was confirmed a short time
// ago.
func (b *bench) current(n *controlnet.Node) bool {
	config := dissemination.DefaultConfig()
	return b.latest(n) && n.Holder.Age(b.Now()) <= config.MaxConfirmationAge
}

// phase runs until every node is done, or the limit is over.
func (b *bench) phase(name string, limit time.Duration, begin func(), done func(*controlnet.Node) bool) {
	from, before := b.Now(), b.traffic()
	begin()
	for b.Now().Sub(from) < limit && (b.Now().Equal(from) || b.missing(done) > 0) {
		b.Advance(pollEvery)
	}
	took := b.Now().Sub(from)
	if rest := minPhase - took; rest > 0 {
		b.Advance(rest)
	}
	b.record(name, from, took, before, b.missing(done))
}

const (
	pollEvery = 50 * time.Millisecond
	// minPhase is the least time over which a phase's loads are counted.
	minPhase = 5 * time.Second
)

// run runs for the time given.
func (b *bench) run(name string, d time.Duration, begin func()) {
	from, before := b.Now(), b.traffic()
	if begin != nil {
		begin()
	}
	b.Advance(d)
	b.record(name, from, d, before, 0)
}

func (b *bench) missing(done func(*controlnet.Node) bool) int {
	missing := 0
	for _, n := range b.Nodes() {
		if n.Replica == nil || n.Alive() && !done(n) {
			missing++
		}
	}
	return missing
}

func (b *bench) record(name string, from time.Time, took time.Duration, before []controlnet.Traffic, missed int) {
	phase := Phase{
		Name:       name,
		Took:       took,
		WorstReads: b.Platform.WorstSecond(from),
		Missed:     missed,
		Loads:      make(map[string]Load),
	}
	seconds := b.Now().Sub(from).Seconds()
	for i, n := range b.Nodes() {
		if !n.Alive() {
			continue
		}
		if n.Holder.Config() != nil {
			phase.OldestAge = max(phase.OldestAge, n.Holder.Age(b.Now()))
		}
		was := controlnet.Traffic{}
		if i < len(before) {
			was = before[i]
		}
		kind := b.kind(n)
		phase.Loads[kind] = phase.Loads[kind].add(was, n.Traffic, seconds)
	}
	for kind, load := range phase.Loads {
		load.MeanBytes /= float64(load.Nodes)
		load.MeanMessages /= float64(load.Nodes)
		phase.Loads[kind] = load
	}
	b.phases = append(b.phases, phase)
}

func (b *bench) kind(n *controlnet.Node) string {
	switch {
	case n.Replica.Watching(b.Now()):
		return KindWatcher
	case n.VM.Role == fleet.RoleEntry:
		return KindEntry
	default:
		return KindAgent
	}
}

func (l Load) add(was, is controlnet.Traffic, seconds float64) Load {
	messages := float64(is.MessagesIn+is.MessagesOut-was.MessagesIn-was.MessagesOut) / seconds
	payload := float64(is.BytesIn+is.BytesOut-was.BytesIn-was.BytesOut) / seconds
	bytes := payload + Frame*messages
	return Load{
		Nodes:        l.Nodes + 1,
		MeanBytes:    l.MeanBytes + bytes,
		MaxBytes:     max(l.MaxBytes, bytes),
		MeanMessages: l.MeanMessages + messages,
		MaxMessages:  max(l.MaxMessages, messages),
	}
}

func (b *bench) traffic() []controlnet.Traffic {
	traffic := make([]controlnet.Traffic, len(b.Nodes()))
	for i, n := range b.Nodes() {
		traffic[i] = n.Traffic
	}
	return traffic
}
