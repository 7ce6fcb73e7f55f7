package demo

import (
	"context"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/callers"
	"github.com/turmericrock/turmericrock/internal/standin/world"
)

// Names of events.
const (
	eventEntryKilled   = "entry_killed"
	eventEntryAdded    = "entry_added"
	eventEntryStopped  = "entry_stopped"
	eventHostDrained   = "host_drained"
	eventHostAdded     = "host_added"
	eventColdStart     = "cold_start_unannounced"
	eventZoneOut       = "zone_out"
	eventZoneBack      = "zone_back"
	eventPlatformDown  = "platform_down"
	eventPlatformBack  = "platform_back"
	eventPublished     = "published"
	eventSilentPaths   = "silent_paths"
	outZone            = "ceredigion-2"
	graceTime          = 3 * time.Second
	settle             = 3 * time.Second
	shortSettle        = 1500 * time.Millisecond
	outLength          = 3 * time.Second
	silentLength       = 4 * time.Second
	platformDownLength = 4 * time.Second
	stopMargin         = 5 * time.Second
	inForceWait        = 20 * time.Second
	inForcePoll        = 50 * time.Millisecond
	excuseTime         = 2 * time.Second
)

// play plays the events one after the other. The drained host leaves while
// later events go on.
func (t *trial) play(ctx context.Context) error {
	world.Pause(ctx, warmupWish+shortSettle)
	t.measureBalance(ctx, "steady")
	steps := []func(context.Context) error{
		t.killEntry,
		t.addEntry,
		t.replaceHost,
		t.coldStart,
		t.silencePaths,
		t.zoneOutAndBack,
		t.stopEntry,
		t.platformOutage,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	world.Pause(ctx, shortSettle)
	return nil
}

func (t *trial) killEntry(ctx context.Context) error {
	defer t.event(eventEntryKilled)()
	t.world.Node("entry-1").Kill()
	world.Pause(ctx, sprayLag+shortSettle)
	return nil
}

func (t *trial) addEntry(ctx context.Context) error {
	defer t.event(eventEntryAdded)()
	_, err := t.world.StartEntry("entry-5", entryZone(0))
	world.Pause(ctx, shortSettle)
	return err
}

// replaceHost adds a host and lets another one leave.
func (t *trial) replaceHost(ctx context.Context) error {
	if err := t.addHost(ordering, t.service(ordering).hosts); err != nil {
		return err
	}
	leaving := t.node(ordering, 0)
	done := t.event(eventHostDrained)
	if err := t.world.List(leaving, fleet.VMLeaving); err != nil {
		return err
	}
	t.group.Go(func() {
		defer done()
		t.drainHost(ctx, leaving)
	})
	world.Pause(ctx, graceTime)
	return nil
}

func (t *trial) addHost(id fleet.ServiceID, i int) error {
	defer t.event(eventHostAdded)()
	service := t.service(id)
	node, err := t.world.StartAgent(service.host(i), service.zone(i), id, service.backend())
	if err != nil {
		return err
	}
	t.note(func(f *facts) { f.started = append(f.started, &coldServer{node: node}) })
	return nil
}

// drainHost counts what a leaving host is still given, and stops it.
func (t *trial) drainHost(ctx context.Context, leaving *world.Node) {
	world.Pause(ctx, graceTime)
	before := leaving.Begun()
	inTime := leaving.Stop(drainWish + stopMargin)
	late := leaving.Begun() - before
	t.note(func(f *facts) {
		f.late += late
		if !inTime {
			f.notInTime++
		}
	})
	leaving.KillBackend()
	t.fail(t.world.List(leaving, ""))
}

// coldStart restarts a backend server that nobody was told about.
func (t *trial) coldStart(ctx context.Context) error {
	defer t.event(eventColdStart)()
	node := t.busiest(ordering)
	now := time.Now()
	node.KillBackend()
	t.note(func(f *facts) {
		f.excuses = append(f.excuses, callers.Excuse{Host: node.VM().ID, From: now, To: now.Add(excuseTime)})
		f.started = append(f.started, &coldServer{
			node:    node,
			allowed: t.service(ordering).slots,
			before:  node.Backend.Stats().Fallen,
		})
	})
	if err := node.StartBackend(); err != nil {
		return err
	}
	world.Pause(ctx, settle)
	return nil
}

// silencePaths drops the packets of all open press flows for good. They go on
// from new addresses.
func (t *trial) silencePaths(ctx context.Context) error {
	defer t.event(eventSilentPaths)()
	t.world.Fabric(press).Silence()
	world.Pause(ctx, silentLength)
	return nil
}

// busiest returns the running host of the service with the most requests in
// service.
func (t *trial) busiest(id fleet.ServiceID) *world.Node {
	var best *world.Node
	for _, node := range t.world.Nodes() {
		vm := node.VM()
		if vm.Service != id || vm.State != fleet.VMLive || !node.Running() {
			continue
		}
		if best == nil || node.Backend.Stats().InService > best.Backend.Stats().InService {
			best = node
		}
	}
	return best
}

// zoneOutAndBack takes a zone out, counts what still arrives there, and
// brings it back. One of its VMs goes for good, and its address is listened
// to.
func (t *trial) zoneOutAndBack(ctx context.Context) error {
	hosts := t.hostsIn(outZone)
	if err := t.takeOut(ctx, hosts); err != nil {
		return err
	}
	defer t.event(eventZoneBack)()
	if err := t.world.SetZoneOut(outZone, false); err != nil {
		return err
	}
	for _, node := range hosts[1:] {
		t.note(func(f *facts) {
			f.started = append(f.started, &coldServer{node: node, before: node.Backend.Stats().Fallen})
		})
	}
	t.awaitInForce(ctx)
	world.Pause(ctx, warmupWish+shortSettle)
	t.measureBalance(ctx, "after_zone_back")
	return nil
}

func (t *trial) takeOut(ctx context.Context, hosts []*world.Node) error {
	done := t.event(eventZoneOut)
	defer done()
	now := time.Now()
	for _, node := range hosts {
		t.note(func(f *facts) {
			end := now.Add(graceTime + outLength)
			f.excuses = append(f.excuses, callers.Excuse{Host: node.VM().ID, Zone: true, From: now, To: end})
		})
	}
	if err := t.world.SetZoneOut(outZone, true); err != nil {
		return err
	}
	world.Pause(ctx, graceTime)
	gone := hosts[0]
	gone.Kill()
	sink, err := gone.Sink()
	if err != nil {
		return err
	}
	defer sink.Close()
	before := begunBy(hosts)
	world.Pause(ctx, outLength)
	// A backend server restarts cold with its zone.
	for _, node := range hosts[1:] {
		node.Backend.Restart()
	}
	late := begunBy(hosts) - before + int(sink.Packets())
	t.note(func(f *facts) { f.zoneLate += late })
	return t.world.List(gone, "")
}

func begunBy(nodes []*world.Node) int {
	sum := 0
	for _, node := range nodes {
		sum += node.Begun()
	}
	return sum
}

func (t *trial) hostsIn(zone string) []*world.Node {
	var hosts []*world.Node
	for _, node := range t.world.Nodes() {
		if vm := node.VM(); vm.Role == fleet.RoleAgent && vm.Zone == zone {
			hosts = append(hosts, node)
		}
	}
	return hosts
}

func (t *trial) platformOutage(ctx context.Context) error {
	done := t.event(eventPlatformDown)
	t.world.Platform.SetDown(true)
	world.Pause(ctx, platformDownLength)
	t.world.Platform.SetDown(false)
	done()
	defer t.event(eventPlatformBack)()
	defer t.event(eventPublished)()
	if err := t.world.Publish(); err != nil {
		return err
	}
	t.awaitInForce(ctx)
	return nil
}

// stopEntry stops an entry gracefully. The fabric notices after a lag.
func (t *trial) stopEntry(ctx context.Context) error {
	done := t.event(eventEntryStopped)
	entry := t.world.Node("entry-2")
	entry.Withdraw()
	t.group.Go(func() {
		defer done()
		if !entry.Stop(drainWish + stopMargin) {
			t.note(func(f *facts) { f.notInTime++ })
		}
	})
	world.Pause(ctx, shortSettle)
	return nil
}

// awaitInForce waits until the last revision is in force at every running
// node.
func (t *trial) awaitInForce(ctx context.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, inForceWait)
	defer cancel()
	for t.behind() > 0 && ctx.Err() == nil {
		world.Pause(ctx, inForcePoll)
	}
	took := time.Since(began)
	t.note(func(f *facts) { f.inForce = append(f.inForce, took) })
}

// behind returns the number of running nodes at which the last revision is
// not in force.
func (t *trial) behind() int {
	revision := t.world.Revision()
	count := 0
	for _, node := range t.world.Nodes() {
		if node.Running() && !node.InForce(revision) {
			count++
		}
	}
	return count
}
