package entry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/tunnel"
)

// TestEligibleHostsUnderRandomEvents applies random sequences of list changes,
// reports, silences, zone changes and pauses to the controllers and checks the
// invariants of the view after each.
func TestEligibleHostsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newTestbed(t, "a", "b", "c")
		for _, zone := range b.zones {
			b.addHosts(zone.Name, 4)
		}
		b.advance(2 * time.Second)
		m := &stateMachine{testbed: b}
		rt.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"wait":    m.wait,
			"silence": m.toggleSilent,
			"say":     m.changeReport,
			"list":    m.changeList,
			"zone":    m.toggleZone,
			"pause":   m.pauseProcess,
			"replace": m.replaceVM,
		})
	})
}

type stateMachine struct {
	*testbed
	maxRevision uint64
}

func (m *stateMachine) drawHost(t *rapid.T) (netip.AddrPort, bool) {
	if len(m.board.hostsByAddr) == 0 {
		return netip.AddrPort{}, false
	}
	index := rapid.IntRange(0, len(m.board.hostsByAddr)-1).Draw(t, "host")
	return m.board.hostsByAddr[index].vm.Addr, true
}

func (m *stateMachine) wait(t *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * 100 * time.Millisecond)
}

func (m *stateMachine) toggleSilent(t *rapid.T) {
	if addr, found := m.drawHost(t); found {
		m.silentHosts[addr] = !m.silentHosts[addr]
	}
}

func (m *stateMachine) changeReport(t *rapid.T) {
	addr, found := m.drawHost(t)
	if !found {
		return
	}
	report := m.reports[addr]
	report.State = rapid.SampledFrom([]tunnel.HostState{
		tunnel.HostServing, tunnel.HostCold, tunnel.HostLeaving, tunnel.HostDown,
	}).Draw(t, "state")
	report.Capacity = uint16(rapid.IntRange(0, 1000).Draw(t, "capacity"))
	report.Flows = uint32(rapid.IntRange(0, 200).Draw(t, "flows"))
	m.reports[addr] = report
}

func (m *stateMachine) changeList(t *rapid.T) {
	zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
	list := m.lists[zone]
	list.VMs = append([]fleet.VM(nil), list.VMs...)
	switch {
	case len(list.VMs) == 0:
		m.addHosts(zone, 3)
		return
	case rapid.Bool().Draw(t, "leaving"):
		list.VMs[0].State = fleet.VMLeaving
	default:
		list.VMs = list.VMs[rapid.IntRange(0, len(list.VMs)).Draw(t, "dropped"):]
	}
	m.publishList(list)
}

func (m *stateMachine) toggleZone(t *rapid.T) {
	index := rapid.IntRange(0, 2).Draw(t, "zone")
	m.zones[index].Out = !m.zones[index].Out
	m.publishConfig()
}

func (m *stateMachine) pauseProcess(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(2, 60).Draw(t, "seconds")) * time.Second)
	m.advance(time.Second)
}

func (m *stateMachine) replaceVM(t *rapid.T) {
	zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
	list := m.lists[zone]
	if len(list.VMs) == 0 {
		return
	}
	list.VMs = append([]fleet.VM(nil), list.VMs...)
	list.VMs[0].ID += "'"
	report := m.reports[list.VMs[0].Addr]
	report.Incarnation += 1000
	report.Sequence = 0
	m.reports[list.VMs[0].Addr] = report
	m.publishList(list)
}

// check compares the view with the board after the controllers have run.
func (m *stateMachine) check(t *rapid.T) {
	m.advance(2 * scanInterval)
	must.GreaterEq(t, m.previousMaxRevision(), m.view.Revision)
	service := m.view.Services[testAddr]
	config := m.board.Node.Holder.Config()
	for i, h := range service.Hosts {
		tracked := m.board.hosts[h.Addr]
		must.NotNil(t, tracked)
		must.False(t, config.ZoneOut(tracked.vm.Zone))
		must.Eq(t, fleet.VMLive, tracked.vm.State)
		must.NotEq(t, HostDown, tracked.state)
		must.NotEq(t, HostLeaving, tracked.state)
		must.Positive(t, service.Candidates[i].Weight)
		must.LessEq(t, 2.0, service.Candidates[i].Weight)
	}
	selectable, unresponsive := 0, 0
	for _, h := range m.board.hostsByAddr {
		selectable += boolToInt(h.state.presumedLive() || h.state.unresponsive())
		unresponsive += boolToInt(h.state.unresponsive())
	}
	must.Eq(t, selectable > 0, len(service.Hosts) > 0)
	if !service.FailOpen {
		must.Eq(t, selectable-unresponsive, len(service.Hosts))
	}
	must.LessEq(t, len(m.reports), len(m.board.hosts))
	must.Eq(t, len(m.board.hosts), len(m.board.hostsByAddr))
}

// previousMaxRevision returns the highest revision that the view had up to the
// previous call, and records the current one.
func (m *stateMachine) previousMaxRevision() uint64 {
	before := m.maxRevision
	m.maxRevision = max(m.maxRevision, m.view.Revision)
	return before
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
