package entry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/audit"
	"github.com/turmericrock/turmericrock/internal/node"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

var (
	testService = fleet.ServiceID{Customer: "teifi", Name: "proofs"}
	testAddr    = netip.MustParseAddrPort("10.9.0.1:443")
	testEntry   = netip.MustParseAddrPort("10.0.0.1:7000")
)

// bed drives an entry's controllers under a clock of its own, and answers
// probes for the hosts that are not silent.
type bed struct {
	t        *testing.T
	now      time.Time
	board    *Board
	engine   *blackboard.Engine[*Board]
	view     *View
	views    int
	until    time.Time
	status   *Status
	audits   []audit.Record
	probes   int
	lists    map[string]fleet.VMList
	zones    []fleet.Zone
	revision uint64
	silent   map[netip.AddrPort]bool
	reports  map[netip.AddrPort]tunnel.Report
	answers  []ReportReceived
	asked    map[netip.AddrPort]int
}

func newBed(t *testing.T, zones ...string) *bed {
	t.Helper()
	key := keyring.Key{Generation: 1}
	ring, err := keyring.NewRing(keyring.Keys{Active: 1, Keys: []keyring.Key{key}})
	must.NoError(t, err)
	config := DefaultConfig()
	config.Self = fleet.VM{ID: "entry-1", Addr: testEntry, Zone: zones[0], Role: fleet.RoleEntry}
	config.AgentNetworks = []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
	b := &bed{
		t:       t,
		now:     time.Unix(1000, 0),
		board:   NewBoard(config, ring),
		lists:   make(map[string]fleet.VMList),
		silent:  make(map[netip.AddrPort]bool),
		reports: make(map[netip.AddrPort]tunnel.Report),
		asked:   make(map[netip.AddrPort]int),
	}
	b.engine = NewControl(b.board, b)
	for i, zone := range zones {
		b.zones = append(b.zones, fleet.Zone{Name: zone, Region: "wales", Number: uint8(i + 1)})
	}
	b.publish()
	return b
}

// Execute implements blackboard.Executor.
func (b *bed) Execute(effect blackboard.Effect) {
	switch effect := effect.(type) {
	case ViewChanged:
		b.view = effect.View
		b.views++
	case ViewExtended:
		b.until = effect.Until
	case StatusPublished:
		b.status = effect.Status
	case audit.Record:
		b.audits = append(b.audits, effect)
	case Probe:
		b.probes++
		b.asked[effect.Agent]++
		b.answer(effect.Agent)
	}
}

func (b *bed) answer(addr netip.AddrPort) {
	report, found := b.reports[addr]
	if !found || b.silent[addr] {
		return
	}
	report.Sequence++
	b.reports[addr] = report
	b.answers = append(b.answers, ReportReceived{Agent: addr, Service: testService.Tag(), Report: report})
}

func (b *bed) publish() {
	b.t.Helper()
	b.revision++
	var names []string
	for _, zone := range b.zones {
		names = append(names, zone.Name)
	}
	data, err := fleet.Encode(fleet.Part{Services: []fleet.Service{{
		ID: testService, Addr: testAddr, Slots: 2, Connections: 2000, Zones: names,
	}}})
	must.NoError(b.t, err)
	manifest := fleet.Manifest{
		Revision: b.revision,
		Zones:    append([]fleet.Zone(nil), b.zones...),
		Parts:    []fleet.PartRef{{Name: "all", Digest: fleet.Digest(data), Size: len(data)}},
	}
	config, err := fleet.Assemble(manifest, map[string][]byte{fleet.Digest(data): data}, false)
	must.NoError(b.t, err)
	b.update(node.ConfigOffered{Config: config, AsOf: b.now, Source: "test"})
}

func (b *bed) update(update node.Update) {
	b.engine.Step(b.now, NodeUpdated{Update: update})
}

// list adds count hosts to the zone's list and lets them answer probes.
func (b *bed) list(zone string, count int) []netip.AddrPort {
	list := b.lists[zone]
	number, _ := b.board.Node.Holder.Config().Zone(zone)
	var addrs []netip.AddrPort
	for range count {
		at := len(list.VMs)
		ip := netip.AddrFrom4([4]byte{10, number.Number, byte(at >> 8), byte(at)})
		addr := netip.AddrPortFrom(ip, 7000)
		list.VMs = append(list.VMs, fleet.VM{
			ID: zone + "/" + addr.String(), Addr: addr, Zone: zone,
			Role: fleet.RoleAgent, Service: testService, State: fleet.VMLive,
		})
		b.reports[addr] = tunnel.Report{
			Incarnation: uint16(at + 1), State: tunnel.HostServing, Revision: b.revision, Capacity: 1000,
		}
		addrs = append(addrs, addr)
	}
	list.Zone = zone
	b.setList(list)
	return addrs
}

func (b *bed) setList(list fleet.VMList) {
	list.Version++
	list.VMs = append([]fleet.VM(nil), list.VMs...)
	b.lists[list.Zone] = list
	b.update(node.ListOffered{List: list, Source: "test"})
}

// run lets time pass. The configuration stays confirmed.
func (b *bed) run(span time.Duration) {
	const tick = 50 * time.Millisecond
	for end := b.now.Add(span); b.now.Before(end); {
		b.now = b.now.Add(tick)
		for _, report := range b.answers {
			b.engine.Step(b.now, report)
		}
		b.answers = nil
		b.update(node.Confirmed{Revision: b.revision, AsOf: b.now})
	}
}

func (b *bed) state(addr netip.AddrPort) HostState {
	b.t.Helper()
	h := b.board.hosts[addr]
	must.NotNil(b.t, h)
	return h.state
}

// eligible returns the addresses that take new flows.
func (b *bed) eligible() map[netip.AddrPort]float64 {
	weights := make(map[netip.AddrPort]float64)
	service := b.view.Services[testAddr]
	for i, h := range service.Hosts {
		weights[h.Addr] = service.Candidates[i].Weight
	}
	return weights
}
