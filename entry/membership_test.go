package entry

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/node"
	"github.com/turmericrock/turmericrock/tunnel"
)

func TestSilentHostIsAvoidedAndRecovers(t *testing.T) {
	b := newTestbed(t, "a")
	addrs := b.addHosts("a", 7)
	b.advance(3 * time.Second)
	must.MapLen(t, 7, b.eligibleWeights())

	b.silentHosts[addrs[0]] = true
	b.advance(4 * time.Second)
	must.Eq(t, HostSuspect, b.hostState(addrs[0]))
	must.MapNotContainsKey(t, b.eligibleWeights(), addrs[0])

	b.advance(goneAfter)
	must.Eq(t, HostGone, b.hostState(addrs[0]))
	must.MapLen(t, 6, b.eligibleWeights())

	delete(b.silentHosts, addrs[0])
	b.advance(goneProbeInterval + time.Second)
	must.Eq(t, HostLive, b.hostState(addrs[0]))
	must.MapLen(t, 7, b.eligibleWeights())
}

func TestUnreportedNewFlowsMakeHostSuspect(t *testing.T) {
	b := newTestbed(t, "a")
	addrs := b.addHosts("a", 2)
	b.advance(3 * time.Second)
	h := b.board.hosts[addrs[0]]
	b.silentHosts[addrs[0]] = true
	b.advance(time.Second + 200*time.Millisecond)
	h.shared.newFlowPackets.Add(1)
	b.advance(b.board.Config.SuspectAfter + 2*scanInterval)
	must.Eq(t, HostSuspect, b.hostState(addrs[0]))
}

func TestReportedStateDeterminesHostState(t *testing.T) {
	for _, c := range []struct {
		reported tunnel.HostState
		want     HostState
	}{
		{tunnel.HostCold, HostLive},
		{tunnel.HostLeaving, HostLeaving},
		{tunnel.HostDown, HostDown},
		{tunnel.HostZoneOut, HostDown},
	} {
		b := newTestbed(t, "a")
		addrs := b.addHosts("a", 3)
		report := b.reports[addrs[1]]
		report.State = c.reported
		b.reports[addrs[1]] = report
		b.advance(3 * time.Second)
		must.Eq(t, c.want, b.hostState(addrs[1]))
		_, eligible := b.eligibleWeights()[addrs[1]]
		must.Eq(t, c.reported.Accepting(), eligible)
	}
}

func TestListedLeavingTakesNoNewFlows(t *testing.T) {
	b := newTestbed(t, "a")
	addrs := b.addHosts("a", 3)
	b.advance(3 * time.Second)
	list := b.lists["a"]
	list.VMs[2].State = fleet.VMLeaving
	b.publishList(list)
	b.advance(scanInterval)
	must.Eq(t, HostLeaving, b.hostState(addrs[2]))
	must.MapNotContainsKey(t, b.eligibleWeights(), addrs[2])
}

func TestHostReplacedOnSameAddress(t *testing.T) {
	b := newTestbed(t, "a")
	addrs := b.addHosts("a", 3)
	b.advance(3 * time.Second)
	earlier := b.reports[addrs[0]]
	b.silentHosts[addrs[0]] = true
	list := b.lists["a"]
	list.VMs[0].ID = "replacement"
	b.publishList(list)
	must.Eq(t, HostUnreported, b.hostState(addrs[0]))
	b.advance(scanInterval)
	must.Eq(t, coldWeight, b.eligibleWeights()[addrs[0]])

	// A late report of the earlier VM is rejected.
	earlier.Sequence += 10
	event := ReportReceived{Agent: addrs[0], Service: testService.Tag(), Report: earlier}
	b.engine.Step(b.now, event)
	must.Eq(t, 1, b.board.Counters.CountReports(ReportOldIncarnation))
	must.False(t, b.board.hosts[addrs[0]].reported())

	next := earlier
	next.Incarnation, next.Sequence = 999, 0
	b.reports[addrs[0]] = next
	delete(b.silentHosts, addrs[0])
	b.advance(2 * time.Second)
	must.Eq(t, HostLive, b.hostState(addrs[0]))
}

func TestReportsAreRefused(t *testing.T) {
	b := newTestbed(t, "a")
	addrs := b.addHosts("a", 2)
	b.advance(3 * time.Second)
	b.silentHosts[addrs[0]] = true
	good := b.reports[addrs[0]]
	good.Sequence++
	unlisted := netip.MustParseAddrPort("10.200.0.1:1")
	for _, c := range []struct {
		from    netip.AddrPort
		service uint32
		edit    func(*tunnel.Report)
		want    ReportVerdict
	}{
		{unlisted, testService.Tag(), func(*tunnel.Report) {}, ReportUnlisted},
		{addrs[0], 1, func(*tunnel.Report) {}, ReportWrongService},
		{addrs[0], testService.Tag(), func(r *tunnel.Report) { r.Sequence-- }, ReportReplayed},
		{addrs[0], testService.Tag(), func(*tunnel.Report) {}, ReportAccepted},
		{addrs[0], testService.Tag(), func(r *tunnel.Report) { r.Incarnation = 77 }, ReportAccepted},
		{addrs[0], testService.Tag(), func(r *tunnel.Report) { r.Sequence += 9 }, ReportOldIncarnation},
	} {
		report := good
		c.edit(&report)
		event := ReportReceived{Agent: c.from, Service: c.service, Report: report}
		must.Eq(t, c.want, b.board.applyReport(b.now, event), must.Sprint(c.want))
	}
}

func TestLostZoneYieldsOneAuditRecordAndKeepsOtherZones(t *testing.T) {
	b := newTestbed(t, "a", "b", "c")
	for _, zone := range []string{"a", "b", "c"} {
		b.addHosts(zone, 40)
	}
	b.advance(10 * time.Second)
	must.MapLen(t, 120, b.eligibleWeights())
	for addr := range b.reports {
		b.silentHosts[addr] = addr.Addr().As4()[1] == 2
	}
	b.auditRecords = nil
	b.probeCount = 0
	b.advance(20 * time.Second)
	must.MapLen(t, 80, b.eligibleWeights())
	must.Less(t, 20, len(b.auditRecords))
	must.LessEq(t, probeRate*20+probeBurst, b.probeCount)
	var lost bool
	for _, record := range b.auditRecords {
		lost = lost || record.What == "hosts/b" && record.To == "suspect" && strings.Contains(record.Cause, "hosts, first 10.2.")
	}
	must.True(t, lost)
}

func TestFailOpenWhenTooFewHostsAnswer(t *testing.T) {
	b := newTestbed(t, "a", "b")
	b.addHosts("a", 4)
	b.addHosts("b", 4)
	b.advance(5 * time.Second)
	live := netip.AddrPort{}
	for addr := range b.reports {
		b.silentHosts[addr] = live.IsValid()
		if !live.IsValid() {
			live = addr
		}
	}
	b.advance(4 * time.Second)
	must.MapLen(t, 8, b.eligibleWeights())
	must.True(t, b.view.Services[testAddr].FailOpen)
	must.Eq(t, 1.0, b.eligibleWeights()[live])
	for addr, weight := range b.eligibleWeights() {
		must.True(t, addr == live || weight == coldWeight)
	}

	// With a quarter of the hosts answering, silent hosts are excluded again.
	second := netip.AddrPort{}
	for addr := range b.reports {
		if addr != live {
			second = addr
		}
	}
	b.silentHosts[second] = false
	b.advance(4 * time.Second)
	must.MapLen(t, 2, b.eligibleWeights())
}

func TestPausedEntrySuspectsNoHost(t *testing.T) {
	b := newTestbed(t, "a")
	b.addHosts("a", 5)
	b.advance(3 * time.Second)
	for addr := range b.reports {
		b.silentHosts[addr] = true
	}
	b.advance(time.Second)
	b.now = b.now.Add(time.Minute)
	b.advance(b.board.Config.SuspectAfter / 2)
	must.Zero(t, b.board.countState(HostSuspect)+b.board.countState(HostGone))
}

func TestUnlistedHostIsRemoved(t *testing.T) {
	b := newTestbed(t, "a")
	b.addHosts("a", 3)
	b.advance(2 * time.Second)
	list := b.lists["a"]
	list.VMs = list.VMs[:2]
	b.publishList(list)
	must.MapLen(t, 2, b.board.hosts)
	must.MapLen(t, 2, b.eligibleWeights())
}

func TestListDroppingMostOfAZoneKeepsAnsweringHosts(t *testing.T) {
	b := newTestbed(t, "a", "b")
	addrs := b.addHosts("a", 4)
	b.addHosts("b", 2)
	b.advance(2 * time.Second)
	list := b.lists["a"]
	kept := list.VMs
	list.VMs = nil
	b.publishList(list)
	b.publishList(b.lists["b"])
	b.advance(3 * time.Second)
	must.MapLen(t, 6, b.eligibleWeights())

	// Kept hosts are removed once they are silent or report that they are
	// leaving.
	b.silentHosts[addrs[0]] = true
	leaving := b.reports[addrs[1]]
	leaving.State = tunnel.HostLeaving
	b.reports[addrs[1]] = leaving
	b.advance(4 * time.Second)
	must.MapLen(t, 4, b.board.hosts)
	must.MapLen(t, 4, b.eligibleWeights())

	list = b.lists["a"]
	list.VMs = kept[2:]
	b.publishList(list)
	b.advance(time.Second)
	must.MapLen(t, 4, b.eligibleWeights())
	must.False(t, b.board.hosts[addrs[2]].unlisted)
}

func TestHostsAreColdAfterZoneReturns(t *testing.T) {
	b := newTestbed(t, "a", "b")
	addrs := b.addHosts("a", 2)
	b.addHosts("b", 2)
	b.advance(3 * time.Second)
	must.Eq(t, 1.0, b.eligibleWeights()[addrs[0]])
	b.zones[0].Out = true
	b.publishConfig()
	b.advance(time.Minute)
	for _, addr := range addrs {
		b.silentHosts[addr] = true
	}
	b.zones[0].Out = false
	b.publishConfig()
	b.advance(scanInterval)
	must.Eq(t, HostUnreported, b.hostState(addrs[0]))
	must.Eq(t, coldWeight, b.eligibleWeights()[addrs[0]])

	// A report from before the zone was out is rejected.
	old := b.reports[addrs[0]]
	event := ReportReceived{Agent: addrs[0], Service: testService.Tag(), Report: old}
	must.Eq(t, ReportReplayed, b.board.applyReport(b.now, event))
	b.silentHosts = make(map[netip.AddrPort]bool)
	b.advance(2 * time.Second)
	must.Eq(t, 1.0, b.eligibleWeights()[addrs[0]])
}

func TestUnusableAddressesAreExcluded(t *testing.T) {
	b := newTestbed(t, "a")
	b.addHosts("a", 1)
	list := b.lists["a"]
	for _, addr := range []string{"192.0.2.1:7000", "[fd00::1]:7000"} {
		vm := list.VMs[0]
		vm.ID, vm.Addr = addr, netip.MustParseAddrPort(addr)
		list.VMs = append(list.VMs, vm)
	}
	b.publishList(list)
	b.advance(time.Second)
	must.Eq(t, 2, b.board.countState(HostUnusable))
	must.MapLen(t, 1, b.eligibleWeights())
}

func TestAgentReportOfHigherRevisionClosesItsZone(t *testing.T) {
	b := newTestbed(t, "a", "b")
	addrs := b.addHosts("a", 2)
	b.addHosts("b", 2)
	b.advance(3 * time.Second)
	report := b.reports[addrs[0]]
	report.State, report.Revision = tunnel.HostZoneOut, b.revision+1
	b.reports[addrs[0]] = report
	b.advance(2 * time.Second)
	must.True(t, b.view.ZonesOut[1])
	must.False(t, b.view.ZonesOut[2])
	must.MapLen(t, 2, b.eligibleWeights())

	// The entry's own configuration of that revision overrides the report.
	b.publishConfig()
	b.advance(time.Second)
	must.False(t, b.view.ZonesOut[1])
}

func TestZoneOutAndUndeclaredZonesAreClosed(t *testing.T) {
	b := newTestbed(t, "a", "b")
	b.addHosts("a", 2)
	b.addHosts("b", 2)
	b.advance(2 * time.Second)
	b.zones[0].Out = true
	b.publishConfig()
	b.advance(scanInterval)
	must.True(t, b.view.ZonesOut[1])
	must.True(t, b.view.ZonesOut[77])
	must.MapLen(t, 2, b.eligibleWeights())
}

func TestStatusCountsHostsByStateAndZone(t *testing.T) {
	b := newTestbed(t, "a", "b")
	b.addHosts("a", 2)
	lost := b.addHosts("b", 2)
	b.silentHosts[lost[0]] = true
	b.advance(6 * time.Second)
	must.Eq(t, map[string]int{"live": 3, "suspect": 1}, b.status.Hosts)
	must.Eq(t, []ZoneStatus{
		{Zone: "a", Hosts: map[string]int{"live": 2}},
		{Zone: "b", Hosts: map[string]int{"live": 1, "suspect": 1}},
	}, b.status.Services[0].Zones)
	must.Eq(t, 3, b.status.Services[0].Eligible)
}

func (b *Board) countState(state HostState) int {
	count := 0
	for _, h := range b.hostsByAddr {
		if h.state == state {
			count++
		}
	}
	return count
}

func TestHostLostByPeersIsSuspectUntilItReports(t *testing.T) {
	b := newTestbed(t, "a")
	addrs := b.addHosts("a", 4)
	b.advance(3 * time.Second)
	hello := dissemination.Hello{Protocol: dissemination.Protocol, ID: b.board.hosts[addrs[1]].vm.ID, Zone: "a"}
	link := dissemination.LinkID(2)
	b.applyUpdate(node.ReplicaEvent{Event: dissemination.LinkOpened{Link: link, Hello: hello, Inbound: true}})
	b.applyUpdate(node.ReplicaEvent{Event: dissemination.LinkClosed{Link: link}})
	b.silentHosts[addrs[1]] = true
	b.advance(scanInterval)
	must.Eq(t, HostSuspect, b.hostState(addrs[1]))
	must.MapNotContainsKey(t, b.eligibleWeights(), addrs[1])
	b.silentHosts[addrs[1]] = false
	b.advance(probeInterval + 2*scanInterval)
	must.Eq(t, HostLive, b.hostState(addrs[1]))
}

func TestNewFlowsExpectReportUnlessOneIsRecent(t *testing.T) {
	now := time.Unix(1000, 0)
	h := &host{shared: &sharedHost{}}
	report := tunnel.Report{Incarnation: 1, State: tunnel.HostServing, Sequence: 1, Capacity: 1000}
	must.Eq(t, ReportAccepted, h.acceptReport(now, h.vm.Service.Tag(), report))
	h.shared.newFlowPackets.Add(2)
	h.observeNewFlows(now.Add(scanInterval))
	must.Zero(t, h.silence(now.Add(time.Minute)))
	h.observeNewFlows(now.Add(reportCoalesceWindow))
	must.Zero(t, h.silence(now.Add(time.Minute)))
	h.shared.newFlowPackets.Add(1)
	h.observeNewFlows(now.Add(reportCoalesceWindow))
	must.Eq(t, time.Second, h.silence(now.Add(reportCoalesceWindow+time.Second)))
}

func TestStaleLoadsAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	h := &host{shared: &sharedHost{}}
	h.acceptReport(now, h.vm.Service.Tag(), tunnel.Report{Sequence: 1, Flows: 9, Capacity: 1000})
	h.observeNewFlows(now.Add(LoadMaxAge))
	must.Eq(t, 10, h.shared.load.Load())
	h.observeNewFlows(now.Add(LoadMaxAge + 1))
	must.Eq(t, uint32(tunnel.UnknownLoad), h.shared.load.Load())
}

func TestWeightsFollowCapacityAndLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	warmup := func(fleet.ServiceID) time.Duration { return time.Minute }
	makeHosts := func(editFirst func(*tunnel.Report)) []*host {
		var hosts []*host
		for i := range 3 {
			h := &host{shared: &sharedHost{}, state: HostLive}
			report := tunnel.Report{State: tunnel.HostServing, Sequence: 1, Flows: 100, Capacity: 1000}
			if i == 0 {
				editFirst(&report)
			}
			h.acceptReport(now, h.vm.Service.Tag(), report)
			hosts = append(hosts, h)
		}
		return hosts
	}
	weights := func(at time.Time, edit func(*tunnel.Report)) []float64 {
		hosts := makeHosts(edit)
		must.True(t, updateServiceWeights(at, hosts, warmup))
		must.False(t, updateServiceWeights(at, hosts, warmup))
		return []float64{hosts[0].weight, hosts[1].weight, hosts[2].weight}
	}
	cold := func(r *tunnel.Report) { r.State, r.Capacity, r.Flows = tunnel.HostCold, 200, 0 }
	must.Eq(t, []float64{1, 1, 1}, weights(now, func(*tunnel.Report) {}))
	must.Eq(t, []float64{2, 1, 1}, weights(now, func(r *tunnel.Report) { r.Flows = 50 }))
	must.Eq(t, []float64{0.25, 1, 1}, weights(now, cold))
	must.Eq(t, []float64{0.75, 1, 1}, weights(now.Add(30*time.Second), cold))
	must.Eq(t, []float64{1, 1, 1}, weights(now.Add(time.Hour), cold))
	must.Eq(t, []float64{0.5, 1, 1}, weights(now, func(r *tunnel.Report) { r.Capacity, r.Flows = 490, 50 }))
}

func TestZoneReportedOutIsClosedWithoutHosts(t *testing.T) {
	b := newTestbed(t, "a", "b")
	b.addHosts("a", 2)
	b.advance(2 * time.Second)
	b.board.zoneOutRevisions["b"] = b.revision + 1
	b.advance(time.Second)
	must.True(t, b.view.ZonesOut[2])
}

func TestGoneHostsAreProbedRarely(t *testing.T) {
	b := newTestbed(t, "a")
	addrs := b.addHosts("a", 4)
	b.advance(3 * time.Second)
	b.silentHosts[addrs[0]] = true
	b.advance(goneAfter + 2*time.Second)
	must.Eq(t, HostGone, b.hostState(addrs[0]))
	b.probesByHost = make(map[netip.AddrPort]int)
	b.advance(10 * goneProbeInterval)
	must.Between(t, 9, b.probesByHost[addrs[0]], 11)
	must.Greater(t, 50, b.probesByHost[addrs[1]])
}

func TestChangesAreBatched(t *testing.T) {
	b := newTestbed(t, "a")
	batcher := newChangeBatcher()
	kind := hostChange{zone: "a", from: "live", to: "suspect", cause: "silent"}
	b.board.Node.TakeEffects()
	batcher.add(kind, testEntry)
	batcher.flush(b.now, b.board.Node)
	must.Len(t, 1, b.board.Node.TakeEffects())
	batcher.add(kind, testEntry)
	batcher.flush(b.now.Add(changeBatchInterval-1), b.board.Node)
	must.Len(t, 0, b.board.Node.TakeEffects())
	batcher.add(kind, testEntry)
	batcher.flush(b.now.Add(changeBatchInterval), b.board.Node)
	must.Len(t, 1, b.board.Node.TakeEffects())
	must.MapLen(t, 0, batcher.groups)
}

func TestZoneSilenceIsOverriddenByRecentReport(t *testing.T) {
	b := newTestbed(t, "a")
	h := b.board.hosts[b.addHosts("a", 1)[0]]
	h.reportedAt = b.now
	must.Eq(t, "", findPeerEvidence(b.now.Add(zoneReportMaxAge), b.board, h, true))
	must.Eq(t, "zone silent", findPeerEvidence(b.now.Add(zoneReportMaxAge+1), b.board, h, true))
	must.Eq(t, "", findPeerEvidence(b.now.Add(time.Hour), b.board, h, false))
}
