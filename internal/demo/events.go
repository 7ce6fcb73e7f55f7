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
	world.Sleep(ctx, warmupWish+shortSettle)
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
	world.Sleep(ctx, shortSettle)
	return nil
}

func (t *trial) killEntry(ctx context.Context) error {
	defer t.event(eventEntryKilled)()
	t.world.Node("entry-1").Kill()
	world.Sleep(ctx, sprayLag+shortSettle)
	return nil
}

func (t *trial) addEntry(ctx context.Context) error {
	defer t.event(eventEntryAdded)()
	_, err := t.world.StartEntry("entry-5", entryZone(0))
	world.Sleep(ctx, shortSettle)
	return err
}

// replaceHost adds a host and lets another one leave.
func (t *trial) replaceHost(ctx context.Context) error {
	if err := t.addHost(ordering, t.service(ordering).hosts); err != nil {
		return err
	}
	leaving := t.node(ordering, 0)
	done := t.event(eventHostDrained)
	if err := t.world.SetListing(leaving, fleet.VMLeaving); err != nil {
		return err
	}
	t.group.Go(func() {
		defer done()
		t.drainHost(ctx, leaving)
	})
	world.Sleep(ctx, graceTime)
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
	world.Sleep(ctx, graceTime)
	before := leaving.ReceivedRequests()
	inTime := leaving.Stop(drainWish + stopMargin)
	late := leaving.ReceivedRequests() - before
	t.note(func(f *facts) {
		f.late += late
		if !inTime {
			f.notInTime++
		}
	})
	leaving.KillBackend()
	t.fail(t.world.SetListing(leaving, ""))
}

// coldStart restarts a backend server that nobody was told about.
func (t *trial) coldStart(ctx context.Context) error {
	defer t.event(eventColdStart)()
	node := t.busiest(ordering)
	now := time.Now()
	node.KillBackend()
	t.note(func(f *facts) {
		f.excuses = append(f.excuses, callers.Disruption{Host: node.VM().ID, From: now, To: now.Add(excuseTime)})
		f.started = append(f.started, &coldServer{
			node:    node,
			allowed: t.service(ordering).slots,
			before:  node.Backend.Stats().ColdOverloads,
		})
	})
	if err := node.StartBackend(); err != nil {
		return err
	}
	world.Sleep(ctx, settle)
	return nil
}

// silencePaths drops the packets of all open press flows for good. They go on
// from new addresses.
func (t *trial) silencePaths(ctx context.Context) error {
	defer t.event(eventSilentPaths)()
	t.world.Fabric(press).SilenceKnownCallers()
	world.Sleep(ctx, silentLength)
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
			f.started = append(f.started, &coldServer{node: node, before: node.Backend.Stats().ColdOverloads})
		})
	}
	t.awaitInForce(ctx)
	world.Sleep(ctx, warmupWish+shortSettle)
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
			f.excuses = append(f.excuses, callers.Disruption{Host: node.VM().ID, ZoneOut: true, From: now, To: end})
		})
	}
	if err := t.world.SetZoneOut(outZone, true); err != nil {
		return err
	}
	world.Sleep(ctx, graceTime)
	gone := hosts[0]
	gone.Kill()
	sink, err := gone.OpenSink()
	if err != nil {
		return err
	}
	defer sink.Close()
	before := begunBy(hosts)
	world.Sleep(ctx, outLength)
	// A backend server restarts cold with its zone.
	for _, node := range hosts[1:] {
		node.Backend.Restart()
	}
	late := begunBy(hosts) - before + int(sink.PacketCount())
	t.note(func(f *facts) { f.zoneLate += late })
	return t.world.SetListing(gone, "")
}

func begunBy(nodes []*world.Node) int {
	sum := 0
	for _, node := range nodes {
		sum += node.ReceivedRequests()
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
	t.world.Platform.SetUnavailable(true)
	world.Sleep(ctx, platformDownLength)
	t.world.Platform.SetUnavailable(false)
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
	entry.RemoveFromRotation()
	t.group.Go(func() {
		defer done()
		if !entry.Stop(drainWish + stopMargin) {
			t.note(func(f *facts) { f.notInTime++ })
		}
	})
	world.Sleep(ctx, shortSettle)
	return nil
}

// awaitInForce waits until the last revision is in force at every running
// node.
func (t *trial) awaitInForce(ctx context.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, inForceWait)
	defer cancel()
	for t.behind() > 0 && ctx.Err() == nil {
		world.Sleep(ctx, inForcePoll)
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
