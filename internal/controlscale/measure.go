package controlscale

import (
	"runtime/debug"
	"time"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/controlnet"
	"github.com/turmericrock/turmericrock/internal/fleetgen"
)

// FrameOverhead is the number of bytes on the wire per message in addition to
// its payload: IPv4 and TCP with timestamps 52, a TLS record 22, a WebSocket
// header 8.
const FrameOverhead = 82

// NodeLoad is the control traffic of the nodes of one kind.
type NodeLoad struct {
	Nodes int
	// MeanBytes and MaxBytes are bytes per second per node, sent and received,
	// including FrameOverhead.
	MeanBytes float64
	MaxBytes  float64
	// MeanMessages and MaxMessages are messages per second per node, sent and
	// received.
	MeanMessages float64
	MaxMessages  float64
}

// Phase is the cost of one event.
type Phase struct {
	Name string
	// Elapsed is the time until every node had the change or a recently
	// confirmed configuration again, or the length of a phase of fixed length.
	Elapsed time.Duration
	// PeakReads is the greatest number of platform reads in one second,
	// including reads that wait for a change.
	PeakReads int
	// MaxConfirmationAge is the greatest age of any node's last confirmation
	// of its configuration at the end of the phase.
	MaxConfirmationAge time.Duration
	// Unfinished counts the nodes that had not met the phase's condition at
	// its end.
	Unfinished int
	// Loads holds the load of each kind of node.
	Loads map[string]NodeLoad
}

// Result holds the results of one call of Measure.
type Result struct {
	Size   fleetgen.Size
	Phases []Phase
	// StepTime is the mean CPU time of one replica step in the steady phase,
	// including the handling of the messages received meanwhile.
	StepTime time.Duration
	// CPUFraction is the fraction of a core that a node uses at StepRate if
	// each step costs StepTime. It is an upper bound: the measurement takes
	// fewer steps per second than a node does, so each of them carries the
	// messages of several.
	CPUFraction float64
}

// StepRate is the number of replica steps per second of a production node.
const StepRate = 20

// Kinds of nodes in Phase.Loads. A watcher is a node of either role that
// currently reads the platform.
const (
	KindWatcher = "watcher"
	KindEntry   = "entry"
	KindAgent   = "agent"
)

// measurement is the state of one call of Measure.
type measurement struct {
	*controlnet.Network
	*controlnet.Fleet
	phases []Phase
}

// gcPercent is the garbage collection target during a measurement. At the
// default of 100, collection would take most of the time of a large run.
const gcPercent = 400

const (
	stepInterval   = 500 * time.Millisecond
	startSpread    = 5 * time.Second
	settleLimit    = 30 * time.Second
	changeLimit    = 10 * time.Second
	outageTime     = 12 * time.Second
	steadyDuration = 5 * time.Second
	// quietTime is the time between two phases, which is not measured.
	quietTime = 5 * time.Second
)

// Measure runs a fleet of the given size through typical changes and failures
// and returns the cost of each.
func Measure(size fleetgen.Size, seed uint64) (Result, error) {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	net := controlnet.New(controlnet.Config{
		Seed:         seed,
		Delay:        500 * time.Microsecond,
		StepInterval: stepInterval,
		Control:      dissemination.DefaultConfig(),
		Builder:      newCachingBuilder(),
	})
	f, err := controlnet.NewFleet(net, size)
	if err != nil {
		return Result{}, err
	}
	m := &measurement{Network: net, Fleet: f}
	m.runUntilDone("start of all", settleLimit, func() { f.Start(startSpread) }, m.isCurrent)
	m.Advance(quietTime)
	cpu := m.measureSteady()
	if err := m.runChanges(); err != nil {
		return Result{}, err
	}
	if err := m.runFailures(); err != nil {
		return Result{}, err
	}
	steps := steadyDuration.Seconds() / stepInterval.Seconds() * float64(size.Nodes())
	step := time.Duration(float64(cpu) / steps)
	return Result{
		Size:        size,
		Phases:      m.phases,
		StepTime:    step,
		CPUFraction: step.Seconds() * StepRate,
	}, nil
}

// measureSteady measures a phase without changes and returns the CPU time that
// it took.
func (m *measurement) measureSteady() time.Duration {
	start := processCPUTime()
	m.runFor("steady", steadyDuration, nil)
	return processCPUTime() - start
}

func (m *measurement) runChanges() error {
	var err error
	m.runUntilDone("one service changed", changeLimit, func() { err = m.ChangeService(0) }, m.hasLastRevision)
	if err != nil {
		return err
	}
	m.runUntilDone("zone taken out", changeLimit, func() { err = m.SetZoneOut(0, true) }, m.hasLastRevision)
	if err != nil {
		return err
	}
	m.Advance(quietTime)
	list := m.Lists[m.Zones()[0].Name]
	list.VMs = list.VMs[:len(list.VMs)-1]
	m.runFor("one VM gone from a list", steadyDuration, func() { err = m.PublishList(list) })
	return err
}

func (m *measurement) runFailures() error {
	m.Platform.SetDown(true)
	m.runFor("platform down", outageTime, nil)
	m.runUntilDone("end of outage", settleLimit, func() { m.Platform.SetDown(false) }, m.isCurrent)
	m.runUntilDone("half restarted", settleLimit, m.restartHalf, m.isCurrent)
	m.Advance(quietTime)
	err := m.emptyLists()
	if err != nil {
		return err
	}
	m.Partitioned = m.regionPartition()
	m.runFor("regions split", outageTime, nil)
	m.runUntilDone("regions joined", settleLimit, func() { m.Partitioned = nil }, m.isCurrent)
	m.runUntilDone("one zone lost", settleLimit, m.loseZone, m.isCurrent)
	return nil
}

// regionPartition returns a partition between nodes of different regions. Both
// sides still reach the platform.
func (m *measurement) regionPartition() func(from, to *controlnet.Node) bool {
	regions := make(map[string]string)
	for _, zone := range m.Zones() {
		regions[zone.Name] = zone.Region
	}
	return func(from, to *controlnet.Node) bool { return regions[from.VM.Zone] != regions[to.VM.Zone] }
}

func (m *measurement) restartHalf() {
	for i, n := range m.Nodes() {
		if i%2 == 0 {
			n.Kill()
			n.Start(0)
		}
	}
}

func (m *measurement) emptyLists() error {
	var err error
	m.runFor("empty lists", outageTime, func() {
		for _, zone := range m.Zones() {
			if publishErr := m.PublishList(fleet.VMList{Zone: zone.Name}); publishErr != nil {
				err = publishErr
			}
		}
	})
	if err != nil {
		return err
	}
	m.runFor("lists restored", steadyDuration, func() { err = m.PublishLists() })
	m.Advance(quietTime)
	return err
}

func (m *measurement) loseZone() {
	for _, n := range m.Nodes() {
		if n.VM.Zone == m.Zones()[1].Name {
			n.Kill()
		}
	}
}

// hasLastRevision reports whether the node has the last published revision.
func (m *measurement) hasLastRevision(n *controlnet.Node) bool {
	return n.Holder.Revision() == m.Revision()
}

// isCurrent reports whether the node has the last published revision and
// confirmed it no longer ago than the configured limit.
func (m *measurement) isCurrent(n *controlnet.Node) bool {
	config := dissemination.DefaultConfig()
	return m.hasLastRevision(n) && n.Holder.Age(m.Now()) <= config.MaxConfirmationAge
}

// runUntilDone triggers an event and records a phase that ends when done holds
// for every node or the limit is reached.
func (m *measurement) runUntilDone(name string, limit time.Duration, trigger func(), done func(*controlnet.Node) bool) {
	from, before := m.Now(), m.trafficByNode()
	trigger()
	for m.Now().Sub(from) < limit && (m.Now().Equal(from) || m.countUnfinished(done) > 0) {
		m.Advance(pollInterval)
	}
	elapsed := m.Now().Sub(from)
	if remaining := minPhaseTime - elapsed; remaining > 0 {
		m.Advance(remaining)
	}
	m.recordPhase(name, from, elapsed, before, m.countUnfinished(done))
}

const (
	pollInterval = 50 * time.Millisecond
	// minPhaseTime is the minimum time over which the loads of a phase are
	// averaged.
	minPhaseTime = 5 * time.Second
)

// runFor triggers an event and records a phase of length d. trigger may be
// nil.
func (m *measurement) runFor(name string, d time.Duration, trigger func()) {
	from, before := m.Now(), m.trafficByNode()
	if trigger != nil {
		trigger()
	}
	m.Advance(d)
	m.recordPhase(name, from, d, before, 0)
}

func (m *measurement) countUnfinished(done func(*controlnet.Node) bool) int {
	unfinished := 0
	for _, n := range m.Nodes() {
		if n.Replica == nil || n.Alive() && !done(n) {
			unfinished++
		}
	}
	return unfinished
}

func (m *measurement) recordPhase(name string, from time.Time, elapsed time.Duration, before []controlnet.Traffic, unfinished int) {
	phase := Phase{
		Name:       name,
		Elapsed:    elapsed,
		PeakReads:  m.Platform.PeakReadsPerSecond(from),
		Unfinished: unfinished,
		Loads:      make(map[string]NodeLoad),
	}
	seconds := m.Now().Sub(from).Seconds()
	for i, n := range m.Nodes() {
		if !n.Alive() {
			continue
		}
		if n.Holder.Config() != nil {
			phase.MaxConfirmationAge = max(phase.MaxConfirmationAge, n.Holder.Age(m.Now()))
		}
		previous := controlnet.Traffic{}
		if i < len(before) {
			previous = before[i]
		}
		kind := m.nodeKind(n)
		phase.Loads[kind] = phase.Loads[kind].add(previous, n.Traffic, seconds)
	}
	for kind, load := range phase.Loads {
		load.MeanBytes /= float64(load.Nodes)
		load.MeanMessages /= float64(load.Nodes)
		phase.Loads[kind] = load
	}
	m.phases = append(m.phases, phase)
}

func (m *measurement) nodeKind(n *controlnet.Node) string {
	switch {
	case n.Replica.Watching(m.Now()):
		return KindWatcher
	case n.VM.Role == fleet.RoleEntry:
		return KindEntry
	default:
		return KindAgent
	}
}

func (l NodeLoad) add(before, after controlnet.Traffic, seconds float64) NodeLoad {
	messages := float64(after.MessagesIn+after.MessagesOut-before.MessagesIn-before.MessagesOut) / seconds
	payload := float64(after.BytesIn+after.BytesOut-before.BytesIn-before.BytesOut) / seconds
	bytes := payload + FrameOverhead*messages
	return NodeLoad{
		Nodes:        l.Nodes + 1,
		MeanBytes:    l.MeanBytes + bytes,
		MaxBytes:     max(l.MaxBytes, bytes),
		MeanMessages: l.MeanMessages + messages,
		MaxMessages:  max(l.MaxMessages, messages),
	}
}

func (m *measurement) trafficByNode() []controlnet.Traffic {
	traffic := make([]controlnet.Traffic, len(m.Nodes()))
	for i, n := range m.Nodes() {
		traffic[i] = n.Traffic
	}
	return traffic
}
