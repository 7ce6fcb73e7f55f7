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

// TestEligibleHostsUnderRandomEvents drives the controllers through lists,
// reports, silences, zone changes and pauses, and checks after each what must
// hold of the view.
func TestEligibleHostsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newBed(t, "a", "b", "c")
		for _, zone := range b.zones {
			b.list(zone.Name, 4)
		}
		b.run(2 * time.Second)
		m := &machine{bed: b}
		rt.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"wait":    m.wait,
			"silence": m.silence,
			"say":     m.say,
			"list":    m.relist,
			"zone":    m.zone,
			"pause":   m.pause,
			"replace": m.replace,
		})
	})
}

type machine struct {
	*bed
	revision uint64
}

func (m *machine) anyHost(t *rapid.T) (netip.AddrPort, bool) {
	if len(m.board.order) == 0 {
		return netip.AddrPort{}, false
	}
	at := rapid.IntRange(0, len(m.board.order)-1).Draw(t, "host")
	return m.board.order[at].vm.Addr, true
}

func (m *machine) wait(t *rapid.T) {
	m.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * 100 * time.Millisecond)
}

func (m *machine) silence(t *rapid.T) {
	if addr, found := m.anyHost(t); found {
		m.silent[addr] = !m.silent[addr]
	}
}

func (m *machine) say(t *rapid.T) {
	addr, found := m.anyHost(t)
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

func (m *machine) relist(t *rapid.T) {
	zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
	list := m.lists[zone]
	list.VMs = append([]fleet.VM(nil), list.VMs...)
	switch {
	case len(list.VMs) == 0:
		m.list(zone, 3)
		return
	case rapid.Bool().Draw(t, "leaving"):
		list.VMs[0].State = fleet.VMLeaving
	default:
		list.VMs = list.VMs[rapid.IntRange(0, len(list.VMs)).Draw(t, "dropped"):]
	}
	m.setList(list)
}

func (m *machine) zone(t *rapid.T) {
	at := rapid.IntRange(0, 2).Draw(t, "zone")
	m.zones[at].Out = !m.zones[at].Out
	m.publish()
}

func (m *machine) pause(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(2, 60).Draw(t, "seconds")) * time.Second)
	m.run(time.Second)
}

func (m *machine) replace(t *rapid.T) {
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
	m.setList(list)
}

// check holds the view against what the board knows, once control has looked.
func (m *machine) check(t *rapid.T) {
	m.run(2 * scanInterval)
	must.GreaterEq(t, m.machineRevision(), m.view.Revision)
	service := m.view.Services[testAddr]
	config := m.board.Node.Holder.Config()
	for i, h := range service.Hosts {
		known := m.board.hosts[h.Addr]
		must.NotNil(t, known)
		must.False(t, config.ZoneOut(known.vm.Zone))
		must.Eq(t, fleet.VMLive, known.vm.State)
		must.NotEq(t, HostDown, known.state)
		must.NotEq(t, HostLeaving, known.state)
		must.Positive(t, service.Candidates[i].Weight)
		must.LessEq(t, 2.0, service.Candidates[i].Weight)
	}
	willing, silent := 0, 0
	for _, h := range m.board.order {
		willing += bit(h.state.believed() || h.state.silent())
		silent += bit(h.state.silent())
	}
	must.Eq(t, willing > 0, len(service.Hosts) > 0)
	if !service.ListBelieved {
		must.Eq(t, willing-silent, len(service.Hosts))
	}
	must.LessEq(t, len(m.reports), len(m.board.hosts))
	must.Eq(t, len(m.board.hosts), len(m.board.order))
}

// machineRevision returns the greatest revision that the view has had.
func (m *machine) machineRevision() uint64 {
	before := m.revision
	m.revision = max(m.revision, m.view.Revision)
	return before
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}
