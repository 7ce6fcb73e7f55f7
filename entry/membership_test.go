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

func TestSilentHostIsAvoidedAndComesBack(t *testing.T) {
	b := newBed(t, "a")
	addrs := b.list("a", 7)
	b.run(3 * time.Second)
	must.MapLen(t, 7, b.eligible())

	b.silent[addrs[0]] = true
	b.run(4 * time.Second)
	must.Eq(t, HostSuspect, b.state(addrs[0]))
	must.MapNotContainsKey(t, b.eligible(), addrs[0])

	b.run(goneAfter)
	must.Eq(t, HostGone, b.state(addrs[0]))
	must.MapLen(t, 6, b.eligible())

	delete(b.silent, addrs[0])
	b.run(probeGone + time.Second)
	must.Eq(t, HostLive, b.state(addrs[0]))
	must.MapLen(t, 7, b.eligible())
}

func TestNewFlowsWithoutReportMakeSuspect(t *testing.T) {
	b := newBed(t, "a")
	addrs := b.list("a", 2)
	b.run(3 * time.Second)
	h := b.board.hosts[addrs[0]]
	b.silent[addrs[0]] = true
	b.run(time.Second + 200*time.Millisecond)
	h.cell.placed.Add(1)
	b.run(b.board.Config.SuspectAfter + 2*scanInterval)
	must.Eq(t, HostSuspect, b.state(addrs[0]))
}

func TestOwnWordOfHosts(t *testing.T) {
	for _, c := range []struct {
		said tunnel.HostState
		want HostState
	}{
		{tunnel.HostCold, HostLive},
		{tunnel.HostLeaving, HostLeaving},
		{tunnel.HostDown, HostDown},
		{tunnel.HostZoneOut, HostDown},
	} {
		b := newBed(t, "a")
		addrs := b.list("a", 3)
		report := b.reports[addrs[1]]
		report.State = c.said
		b.reports[addrs[1]] = report
		b.run(3 * time.Second)
		must.Eq(t, c.want, b.state(addrs[1]))
		_, eligible := b.eligible()[addrs[1]]
		must.Eq(t, c.said.Accepting(), eligible)
	}
}

func TestListedLeavingTakesNoNewFlows(t *testing.T) {
	b := newBed(t, "a")
	addrs := b.list("a", 3)
	b.run(3 * time.Second)
	list := b.lists["a"]
	list.VMs[2].State = fleet.VMLeaving
	b.setList(list)
	b.run(scanInterval)
	must.Eq(t, HostLeaving, b.state(addrs[2]))
	must.MapNotContainsKey(t, b.eligible(), addrs[2])
}

func TestReplacedOnSameAddress(t *testing.T) {
	b := newBed(t, "a")
	addrs := b.list("a", 3)
	b.run(3 * time.Second)
	earlier := b.reports[addrs[0]]
	b.silent[addrs[0]] = true
	list := b.lists["a"]
	list.VMs[0].ID = "replacement"
	b.setList(list)
	must.Eq(t, HostUnreported, b.state(addrs[0]))
	b.run(scanInterval)
	must.Eq(t, coldWeight, b.eligible()[addrs[0]])

	// A late report of the earlier VM does not speak for the new one.
	earlier.Sequence += 10
	event := ReportReceived{Agent: addrs[0], Service: testService.Tag(), Report: earlier}
	b.engine.Step(b.now, event)
	must.Eq(t, 1, b.board.Counters.CountReports(ReportOldIncarnation))
	must.False(t, b.board.hosts[addrs[0]].reported())

	next := earlier
	next.Incarnation, next.Sequence = 999, 0
	b.reports[addrs[0]] = next
	delete(b.silent, addrs[0])
	b.run(2 * time.Second)
	must.Eq(t, HostLive, b.state(addrs[0]))
}

func TestReportsAreRefused(t *testing.T) {
	b := newBed(t, "a")
	addrs := b.list("a", 2)
	b.run(3 * time.Second)
	b.silent[addrs[0]] = true
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
		must.Eq(t, c.want, b.board.takeReport(b.now, event), must.Sprint(c.want))
	}
}

func TestLostZoneIsOneRecordAndLeavesTheRest(t *testing.T) {
	b := newBed(t, "a", "b", "c")
	for _, zone := range []string{"a", "b", "c"} {
		b.list(zone, 40)
	}
	b.run(10 * time.Second)
	must.MapLen(t, 120, b.eligible())
	for addr := range b.reports {
		b.silent[addr] = addr.Addr().As4()[1] == 2
	}
	b.audits = nil
	b.probes = 0
	b.run(20 * time.Second)
	must.MapLen(t, 80, b.eligible())
	must.Less(t, 20, len(b.audits))
	must.LessEq(t, probeRate*20+probeBurst, b.probes)
	var lost bool
	for _, record := range b.audits {
		lost = lost || record.What == "hosts/b" && record.To == "suspect" && strings.Contains(record.Cause, "hosts, first 10.2.")
	}
	must.True(t, lost)
}

func TestListIsBelievedWhenTooFewAnswer(t *testing.T) {
	b := newBed(t, "a", "b")
	b.list("a", 4)
	b.list("b", 4)
	b.run(5 * time.Second)
	live := netip.AddrPort{}
	for addr := range b.reports {
		b.silent[addr] = live.IsValid()
		if !live.IsValid() {
			live = addr
		}
	}
	b.run(4 * time.Second)
	must.MapLen(t, 8, b.eligible())
	must.True(t, b.view.Services[testAddr].ListBelieved)
	must.Eq(t, 1.0, b.eligible()[live])
	for addr, weight := range b.eligible() {
		must.True(t, addr == live || weight == coldWeight)
	}

	// With a quarter answering, silence counts again.
	second := netip.AddrPort{}
	for addr := range b.reports {
		if addr != live {
			second = addr
		}
	}
	b.silent[second] = false
	b.run(4 * time.Second)
	must.MapLen(t, 2, b.eligible())
}

func TestPausedEntrySuspectsNobody(t *testing.T) {
	b := newBed(t, "a")
	b.list("a", 5)
	b.run(3 * time.Second)
	for addr := range b.reports {
		b.silent[addr] = true
	}
	b.run(time.Second)
	b.now = b.now.Add(time.Minute)
	b.run(b.board.Config.SuspectAfter / 2)
	must.Zero(t, b.board.countState(HostSuspect)+b.board.countState(HostGone))
}

func TestUnlistedHostIsForgotten(t *testing.T) {
	b := newBed(t, "a")
	b.list("a", 3)
	b.run(2 * time.Second)
	list := b.lists["a"]
	list.VMs = list.VMs[:2]
	b.setList(list)
	must.MapLen(t, 2, b.board.hosts)
	must.MapLen(t, 2, b.eligible())
}

func TestListThatDropsMostOfAZoneIsDoubted(t *testing.T) {
	b := newBed(t, "a", "b")
	addrs := b.list("a", 4)
	b.list("b", 2)
	b.run(2 * time.Second)
	list := b.lists["a"]
	kept := list.VMs
	list.VMs = nil
	b.setList(list)
	b.setList(b.lists["b"])
	b.run(3 * time.Second)
	must.MapLen(t, 6, b.eligible())

	// Those that are gone or leaving do not answer for long.
	b.silent[addrs[0]] = true
	leaving := b.reports[addrs[1]]
	leaving.State = tunnel.HostLeaving
	b.reports[addrs[1]] = leaving
	b.run(4 * time.Second)
	must.MapLen(t, 4, b.board.hosts)
	must.MapLen(t, 4, b.eligible())

	list = b.lists["a"]
	list.VMs = kept[2:]
	b.setList(list)
	b.run(time.Second)
	must.MapLen(t, 4, b.eligible())
	must.False(t, b.board.hosts[addrs[2]].unlisted)
}

func TestHostsAreColdWhenTheirZoneIsBack(t *testing.T) {
	b := newBed(t, "a", "b")
	addrs := b.list("a", 2)
	b.list("b", 2)
	b.run(3 * time.Second)
	must.Eq(t, 1.0, b.eligible()[addrs[0]])
	b.zones[0].Out = true
	b.publish()
	b.run(time.Minute)
	for _, addr := range addrs {
		b.silent[addr] = true
	}
	b.zones[0].Out = false
	b.publish()
	b.run(scanInterval)
	must.Eq(t, HostUnreported, b.state(addrs[0]))
	must.Eq(t, coldWeight, b.eligible()[addrs[0]])

	// What a host said before does not count.
	old := b.reports[addrs[0]]
	event := ReportReceived{Agent: addrs[0], Service: testService.Tag(), Report: old}
	must.Eq(t, ReportReplayed, b.board.takeReport(b.now, event))
	b.silent = make(map[netip.AddrPort]bool)
	b.run(2 * time.Second)
	must.Eq(t, 1.0, b.eligible()[addrs[0]])
}

func TestUnusableAddressesAreLeftOut(t *testing.T) {
	b := newBed(t, "a")
	b.list("a", 1)
	list := b.lists["a"]
	for _, addr := range []string{"192.0.2.1:7000", "[fd00::1]:7000"} {
		vm := list.VMs[0]
		vm.ID, vm.Addr = addr, netip.MustParseAddrPort(addr)
		list.VMs = append(list.VMs, vm)
	}
	b.setList(list)
	b.run(time.Second)
	must.Eq(t, 2, b.board.countState(HostUnusable))
	must.MapLen(t, 1, b.eligible())
}

func TestHostOutranksOurRevisionOnItsZone(t *testing.T) {
	b := newBed(t, "a", "b")
	addrs := b.list("a", 2)
	b.list("b", 2)
	b.run(3 * time.Second)
	report := b.reports[addrs[0]]
	report.State, report.Revision = tunnel.HostZoneOut, b.revision+1
	b.reports[addrs[0]] = report
	b.run(2 * time.Second)
	must.True(t, b.view.ZonesOut[1])
	must.False(t, b.view.ZonesOut[2])
	must.MapLen(t, 2, b.eligible())

	// Our own configuration of that revision has the last word.
	b.publish()
	b.run(time.Second)
	must.False(t, b.view.ZonesOut[1])
}

func TestZoneOutAndUndeclaredZonesAreClosed(t *testing.T) {
	b := newBed(t, "a", "b")
	b.list("a", 2)
	b.list("b", 2)
	b.run(2 * time.Second)
	b.zones[0].Out = true
	b.publish()
	b.run(scanInterval)
	must.True(t, b.view.ZonesOut[1])
	must.True(t, b.view.ZonesOut[77])
	must.MapLen(t, 2, b.eligible())
}

func TestStatusCountsHostsByStateAndZone(t *testing.T) {
	b := newBed(t, "a", "b")
	b.list("a", 2)
	lost := b.list("b", 2)
	b.silent[lost[0]] = true
	b.run(6 * time.Second)
	must.Eq(t, map[string]int{"live": 3, "suspect": 1}, b.status.Hosts)
	must.Eq(t, []ZoneStatus{
		{Zone: "a", Hosts: map[string]int{"live": 2}},
		{Zone: "b", Hosts: map[string]int{"live": 1, "suspect": 1}},
	}, b.status.Services[0].Zones)
	must.Eq(t, 3, b.status.Services[0].Eligible)
}

func (b *Board) countState(state HostState) int {
	count := 0
	for _, h := range b.order {
		if h.state == state {
			count++
		}
	}
	return count
}

func TestPeersWordMakesSuspectUntilTheHostReports(t *testing.T) {
	b := newBed(t, "a")
	addrs := b.list("a", 4)
	b.run(3 * time.Second)
	hello := dissemination.Hello{Protocol: dissemination.Protocol, ID: b.board.hosts[addrs[1]].vm.ID, Zone: "a"}
	link := dissemination.LinkID(2)
	b.update(node.Happened{Event: dissemination.LinkOpened{Link: link, Hello: hello, Inbound: true}})
	b.update(node.Happened{Event: dissemination.LinkClosed{Link: link}})
	b.silent[addrs[1]] = true
	b.run(scanInterval)
	must.Eq(t, HostSuspect, b.state(addrs[1]))
	must.MapNotContainsKey(t, b.eligible(), addrs[1])
	b.silent[addrs[1]] = false
	b.run(probeInterval + 2*scanInterval)
	must.Eq(t, HostLive, b.state(addrs[1]))
}

func TestNewFlowsAwaitAReportUnlessOneJustCame(t *testing.T) {
	now := time.Unix(1000, 0)
	h := &host{cell: &hostCell{}}
	report := tunnel.Report{Incarnation: 1, State: tunnel.HostServing, Sequence: 1, Capacity: 1000}
	must.Eq(t, ReportAccepted, h.accept(now, h.vm.Service.Tag(), report))
	h.cell.placed.Add(2)
	h.observe(now.Add(scanInterval))
	must.Zero(t, h.silence(now.Add(time.Minute)))
	h.observe(now.Add(reportQuiet))
	must.Zero(t, h.silence(now.Add(time.Minute)))
	h.cell.placed.Add(1)
	h.observe(now.Add(reportQuiet))
	must.Eq(t, time.Second, h.silence(now.Add(reportQuiet+time.Second)))
}

func TestOldLoadsAreNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	h := &host{cell: &hostCell{}}
	h.accept(now, h.vm.Service.Tag(), tunnel.Report{Sequence: 1, Flows: 9, Capacity: 1000})
	h.observe(now.Add(LoadMaxAge))
	must.Eq(t, 10, h.cell.load.Load())
	h.observe(now.Add(LoadMaxAge + 1))
	must.Eq(t, uint32(tunnel.UnknownLoad), h.cell.load.Load())
}

func TestWeightsFollowCapacityAndLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	warmup := func(fleet.ServiceID) time.Duration { return time.Minute }
	make3 := func(edit func(*tunnel.Report)) []*host {
		var hosts []*host
		for i := range 3 {
			h := &host{cell: &hostCell{}, state: HostLive}
			report := tunnel.Report{State: tunnel.HostServing, Sequence: 1, Flows: 100, Capacity: 1000}
			if i == 0 {
				edit(&report)
			}
			h.accept(now, h.vm.Service.Tag(), report)
			hosts = append(hosts, h)
		}
		return hosts
	}
	weigh := func(at time.Time, edit func(*tunnel.Report)) []float64 {
		hosts := make3(edit)
		must.True(t, reweigh(at, hosts, warmup))
		must.False(t, reweigh(at, hosts, warmup))
		return []float64{hosts[0].weight, hosts[1].weight, hosts[2].weight}
	}
	cold := func(r *tunnel.Report) { r.State, r.Capacity, r.Flows = tunnel.HostCold, 200, 0 }
	must.Eq(t, []float64{1, 1, 1}, weigh(now, func(*tunnel.Report) {}))
	must.Eq(t, []float64{2, 1, 1}, weigh(now, func(r *tunnel.Report) { r.Flows = 50 }))
	must.Eq(t, []float64{0.25, 1, 1}, weigh(now, cold))
	must.Eq(t, []float64{0.75, 1, 1}, weigh(now.Add(30*time.Second), cold))
	must.Eq(t, []float64{1, 1, 1}, weigh(now.Add(time.Hour), cold))
	must.Eq(t, []float64{0.5, 1, 1}, weigh(now, func(r *tunnel.Report) { r.Capacity, r.Flows = 490, 50 }))
}

func TestZoneWithoutHostsIsClosedToo(t *testing.T) {
	b := newBed(t, "a", "b")
	b.list("a", 2)
	b.run(2 * time.Second)
	b.board.zoneWord["b"] = b.revision + 1
	b.run(time.Second)
	must.True(t, b.view.ZonesOut[2])
}

func TestGoneHostsAreProbedSeldom(t *testing.T) {
	b := newBed(t, "a")
	addrs := b.list("a", 4)
	b.run(3 * time.Second)
	b.silent[addrs[0]] = true
	b.run(goneAfter + 2*time.Second)
	must.Eq(t, HostGone, b.state(addrs[0]))
	b.asked = make(map[netip.AddrPort]int)
	b.run(10 * probeGone)
	must.Between(t, 9, b.asked[addrs[0]], 11)
	must.Greater(t, 50, b.asked[addrs[1]])
}

func TestChangesAreGathered(t *testing.T) {
	b := newBed(t, "a")
	c := newChanges()
	kind := change{zone: "a", from: "live", to: "suspect", cause: "silent"}
	b.board.Node.TakeEffects()
	c.add(kind, testEntry)
	c.flush(b.now, b.board.Node)
	must.Len(t, 1, b.board.Node.TakeEffects())
	c.add(kind, testEntry)
	c.flush(b.now.Add(changesInterval-1), b.board.Node)
	must.Len(t, 0, b.board.Node.TakeEffects())
	c.add(kind, testEntry)
	c.flush(b.now.Add(changesInterval), b.board.Node)
	must.Len(t, 1, b.board.Node.TakeEffects())
	must.MapLen(t, 0, c.groups)
}

func TestSilentZoneCountsUnlessTheHostReported(t *testing.T) {
	b := newBed(t, "a")
	h := b.board.hosts[b.list("a", 1)[0]]
	h.reportedAt = b.now
	must.Eq(t, "", peersWord(b.now.Add(zoneReportAge), b.board, h, true))
	must.Eq(t, "zone silent", peersWord(b.now.Add(zoneReportAge+1), b.board, h, true))
	must.Eq(t, "", peersWord(b.now.Add(time.Hour), b.board, h, false))
}
