package demo

import (
	"context"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/callers"
	"github.com/turmericrock/turmericrock/internal/standin/world"
)

// Names of events, and the timing of the run.
const (
	eventEntryKilled       = "entry_killed"
	eventEntryAdded        = "entry_added"
	eventEntryStopped      = "entry_stopped"
	eventHostDrained       = "host_drained"
	eventHostAdded         = "host_added"
	eventColdStart         = "cold_start_unannounced"
	eventZoneOut           = "zone_out"
	eventZoneBack          = "zone_back"
	eventPlatformDown      = "platform_down"
	eventPlatformBack      = "platform_back"
	eventPublished         = "published"
	eventSilentPaths       = "silent_paths"
	outZone                = "ceredigion-2"
	evacuationGrace        = 3 * time.Second
	settleTime             = 3 * time.Second
	shortSettleTime        = 1500 * time.Millisecond
	zoneOutDuration        = 3 * time.Second
	silentPathsDuration    = 4 * time.Second
	platformDownDuration   = 4 * time.Second
	stopMargin             = 5 * time.Second
	activationTimeout      = 20 * time.Second
	activationPollInterval = 50 * time.Millisecond
	toleratedWindow        = 2 * time.Second
)

// runEvents runs the events in sequence, except that the host drained by
// replaceHost shuts down while later events run.
func (r *demoRun) runEvents(ctx context.Context) error {
	world.Sleep(ctx, warmupTime+shortSettleTime)
	r.measureBalance(ctx, "steady")
	steps := []func(context.Context) error{
		r.killEntry,
		r.addEntry,
		r.replaceHost,
		r.coldStart,
		r.silencePaths,
		r.zoneOutAndBack,
		r.stopEntry,
		r.platformOutage,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	world.Sleep(ctx, shortSettleTime)
	return nil
}

func (r *demoRun) killEntry(ctx context.Context) error {
	defer r.beginEvent(eventEntryKilled)()
	r.world.Node("entry-1").Kill()
	world.Sleep(ctx, fabricDetectionLag+shortSettleTime)
	return nil
}

func (r *demoRun) addEntry(ctx context.Context) error {
	defer r.beginEvent(eventEntryAdded)()
	_, err := r.world.StartEntry("entry-5", entryZone(0))
	world.Sleep(ctx, shortSettleTime)
	return err
}

// replaceHost adds a host, marks another one as leaving and drains it in the
// background.
func (r *demoRun) replaceHost(ctx context.Context) error {
	if err := r.addHost(ordering, r.serviceByID(ordering).hosts); err != nil {
		return err
	}
	leaving := r.node(ordering, 0)
	done := r.beginEvent(eventHostDrained)
	if err := r.world.SetListing(leaving, fleet.VMLeaving); err != nil {
		return err
	}
	r.group.Go(func() {
		defer done()
		r.drainHost(ctx, leaving)
	})
	world.Sleep(ctx, evacuationGrace)
	return nil
}

func (r *demoRun) addHost(id fleet.ServiceID, i int) error {
	defer r.beginEvent(eventHostAdded)()
	service := r.serviceByID(id)
	node, err := r.world.StartAgent(service.hostName(i), service.hostZone(i), id, service.backendConfig())
	if err != nil {
		return err
	}
	r.record(func(obs *observations) { obs.coldServers = append(obs.coldServers, &coldServer{node: node}) })
	return nil
}

// drainHost counts the requests that a leaving host receives after
// evacuationGrace, and stops it.
func (r *demoRun) drainHost(ctx context.Context, leaving *world.Node) {
	world.Sleep(ctx, evacuationGrace)
	before := leaving.ReceivedRequests()
	stoppedInTime := leaving.Stop(drainTimeout + stopMargin)
	lateRequests := leaving.ReceivedRequests() - before
	r.record(func(obs *observations) {
		obs.lateRequests += lateRequests
		if !stoppedInTime {
			obs.stopTimeouts++
		}
	})
	leaving.KillBackend()
	r.recordError(r.world.SetListing(leaving, ""))
}

// coldStart restarts a busy host's backend server without announcing it, so
// that the fleet has to detect the cold start. It accounts for as many
// overloads as the service has slots, because these requests can arrive before
// the detection.
func (r *demoRun) coldStart(ctx context.Context) error {
	defer r.beginEvent(eventColdStart)()
	node := r.busiestHost(ordering)
	now := time.Now()
	node.KillBackend()
	r.record(func(obs *observations) {
		obs.tolerated = append(obs.tolerated, callers.Disruption{Host: node.VM().ID, From: now, To: now.Add(toleratedWindow)})
		obs.coldServers = append(obs.coldServers, &coldServer{
			node:             node,
			allowedOverloads: r.serviceByID(ordering).slots,
			overloadsBefore:  node.Backend.Stats().ColdOverloads,
		})
	})
	if err := node.StartBackend(); err != nil {
		return err
	}
	world.Sleep(ctx, settleTime)
	return nil
}

// silencePaths permanently drops all packets from the callers' current
// addresses to the press service. Callers have to continue their flows from
// new addresses.
func (r *demoRun) silencePaths(ctx context.Context) error {
	defer r.beginEvent(eventSilentPaths)()
	r.world.Fabric(press).SilenceKnownCallers()
	world.Sleep(ctx, silentPathsDuration)
	return nil
}

// busiestHost returns the running host of the service that has the most
// requests in service, or nil.
func (r *demoRun) busiestHost(id fleet.ServiceID) *world.Node {
	var best *world.Node
	for _, node := range r.world.Nodes() {
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

// zoneOutAndBack takes a zone out of service, counts the traffic that still
// arrives there, and puts the zone back into service. One of its VMs is killed
// and removed, and a sink at its address counts packets.
func (r *demoRun) zoneOutAndBack(ctx context.Context) error {
	hosts := r.hostsInZone(outZone)
	if err := r.takeZoneOut(ctx, hosts); err != nil {
		return err
	}
	defer r.beginEvent(eventZoneBack)()
	if err := r.world.SetZoneOut(outZone, false); err != nil {
		return err
	}
	for _, node := range hosts[1:] {
		r.record(func(obs *observations) {
			obs.coldServers = append(obs.coldServers, &coldServer{node: node, overloadsBefore: node.Backend.Stats().ColdOverloads})
		})
	}
	r.awaitActivation(ctx)
	world.Sleep(ctx, warmupTime+shortSettleTime)
	r.measureBalance(ctx, "after_zone_back")
	return nil
}

// takeZoneOut takes the zone of the hosts out of service, kills the first host
// and counts the requests and packets that arrive after evacuationGrace.
func (r *demoRun) takeZoneOut(ctx context.Context, hosts []*world.Node) error {
	done := r.beginEvent(eventZoneOut)
	defer done()
	now := time.Now()
	for _, node := range hosts {
		r.record(func(obs *observations) {
			end := now.Add(evacuationGrace + zoneOutDuration)
			obs.tolerated = append(obs.tolerated, callers.Disruption{Host: node.VM().ID, ZoneOut: true, From: now, To: end})
		})
	}
	if err := r.world.SetZoneOut(outZone, true); err != nil {
		return err
	}
	world.Sleep(ctx, evacuationGrace)
	killedHost := hosts[0]
	killedHost.Kill()
	sink, err := killedHost.OpenSink()
	if err != nil {
		return err
	}
	defer sink.Close()
	before := startedRequests(hosts)
	world.Sleep(ctx, zoneOutDuration)
	// Backend servers are cold again when their zone returns to service.
	for _, node := range hosts[1:] {
		node.Backend.Restart()
	}
	lateTraffic := startedRequests(hosts) - before + int(sink.PacketCount())
	r.record(func(obs *observations) { obs.lateZoneTraffic += lateTraffic })
	return r.world.SetListing(killedHost, "")
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

func (r *demoRun) hostsInZone(zone string) []*world.Node {
	var hosts []*world.Node
	for _, node := range r.world.Nodes() {
		if vm := node.VM(); vm.Role == fleet.RoleAgent && vm.Zone == zone {
			hosts = append(hosts, node)
		}
	}
	return hosts
}

func (r *demoRun) platformOutage(ctx context.Context) error {
	done := r.beginEvent(eventPlatformDown)
	r.world.Platform.SetUnavailable(true)
	world.Sleep(ctx, platformDownDuration)
	r.world.Platform.SetUnavailable(false)
	done()
	defer r.beginEvent(eventPlatformBack)()
	defer r.beginEvent(eventPublished)()
	if err := r.world.Publish(); err != nil {
		return err
	}
	r.awaitActivation(ctx)
	return nil
}

// stopEntry withdraws an entry from the fabric and shuts it down gracefully.
// The fabric stops sending to it only after fabricDetectionLag.
func (r *demoRun) stopEntry(ctx context.Context) error {
	done := r.beginEvent(eventEntryStopped)
	entry := r.world.Node("entry-2")
	entry.RemoveFromRotation()
	r.group.Go(func() {
		defer done()
		if !entry.Stop(drainTimeout + stopMargin) {
			r.record(func(obs *observations) { obs.stopTimeouts++ })
		}
	})
	world.Sleep(ctx, shortSettleTime)
	return nil
}

// awaitActivation waits until every running node uses the last published
// revision, for at most activationTimeout, and records how long that took.
func (r *demoRun) awaitActivation(ctx context.Context) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, activationTimeout)
	defer cancel()
	for r.outdatedNodes() > 0 && ctx.Err() == nil {
		world.Sleep(ctx, activationPollInterval)
	}
	elapsed := time.Since(start)
	r.record(func(obs *observations) { obs.activationTimes = append(obs.activationTimes, elapsed) })
}

// outdatedNodes returns the number of running nodes that do not use the last
// published revision.
func (r *demoRun) outdatedNodes() int {
	revision := r.world.Revision()
	count := 0
	for _, node := range r.world.Nodes() {
		if node.Running() && !node.InForce(revision) {
			count++
		}
	}
	return count
}
