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

// testbed runs an entry's controllers with a simulated clock and answers
// probes for all hosts that are not in silentHosts.
type testbed struct {
	t              *testing.T
	now            time.Time
	board          *Board
	engine         *blackboard.Engine[*Board]
	view           *View
	viewCount      int
	viewValidUntil time.Time
	status         *Status
	auditRecords   []audit.Record
	probeCount     int
	lists          map[string]fleet.VMList
	zones          []fleet.Zone
	revision       uint64
	silentHosts    map[netip.AddrPort]bool
	reports        map[netip.AddrPort]tunnel.Report
	pendingReports []ReportReceived
	probesByHost   map[netip.AddrPort]int
}

func newTestbed(t *testing.T, zones ...string) *testbed {
	t.Helper()
	key := keyring.Key{Generation: 1}
	ring, err := keyring.NewRing(keyring.Keys{Active: 1, Keys: []keyring.Key{key}})
	must.NoError(t, err)
	config := DefaultConfig()
	config.Self = fleet.VM{ID: "entry-1", Addr: testEntry, Zone: zones[0], Role: fleet.RoleEntry}
	config.AgentNetworks = []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}
	b := &testbed{
		t:            t,
		now:          time.Unix(1000, 0),
		board:        NewBoard(config, ring),
		lists:        make(map[string]fleet.VMList),
		silentHosts:  make(map[netip.AddrPort]bool),
		reports:      make(map[netip.AddrPort]tunnel.Report),
		probesByHost: make(map[netip.AddrPort]int),
	}
	b.engine = NewEngine(b.board, b)
	for i, zone := range zones {
		b.zones = append(b.zones, fleet.Zone{Name: zone, Region: "wales", Number: uint8(i + 1)})
	}
	b.publishConfig()
	return b
}

// Execute implements blackboard.Executor.
func (b *testbed) Execute(effect blackboard.Effect) {
	switch effect := effect.(type) {
	case ViewChanged:
		b.view = effect.View
		b.viewCount++
	case ViewLeaseRenewed:
		b.viewValidUntil = effect.Until
	case StatusPublished:
		b.status = effect.Status
	case audit.Record:
		b.auditRecords = append(b.auditRecords, effect)
	case Probe:
		b.probeCount++
		b.probesByHost[effect.Agent]++
		b.answerProbe(effect.Agent)
	}
}

func (b *testbed) answerProbe(addr netip.AddrPort) {
	report, found := b.reports[addr]
	if !found || b.silentHosts[addr] {
		return
	}
	report.Sequence++
	b.reports[addr] = report
	b.pendingReports = append(b.pendingReports, ReportReceived{Agent: addr, Service: testService.Tag(), Report: report})
}

func (b *testbed) publishConfig() {
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
	b.applyUpdate(node.ConfigOffered{Config: config, AsOf: b.now, Source: "test"})
}

func (b *testbed) applyUpdate(update node.Update) {
	b.engine.Step(b.now, NodeUpdated{Update: update})
}

// addHosts adds count hosts to the zone's VM list and lets them answer probes.
func (b *testbed) addHosts(zone string, count int) []netip.AddrPort {
	list := b.lists[zone]
	number, _ := b.board.Node.Holder.Config().Zone(zone)
	var addrs []netip.AddrPort
	for range count {
		index := len(list.VMs)
		ip := netip.AddrFrom4([4]byte{10, number.Number, byte(index >> 8), byte(index)})
		addr := netip.AddrPortFrom(ip, 7000)
		list.VMs = append(list.VMs, fleet.VM{
			ID: zone + "/" + addr.String(), Addr: addr, Zone: zone,
			Role: fleet.RoleAgent, Service: testService, State: fleet.VMLive,
		})
		b.reports[addr] = tunnel.Report{
			Incarnation: uint16(index + 1), State: tunnel.HostServing, Revision: b.revision, Capacity: 1000,
		}
		addrs = append(addrs, addr)
	}
	list.Zone = zone
	b.publishList(list)
	return addrs
}

func (b *testbed) publishList(list fleet.VMList) {
	list.Version++
	list.VMs = append([]fleet.VM(nil), list.VMs...)
	b.lists[list.Zone] = list
	b.applyUpdate(node.ListOffered{List: list, Source: "test"})
}

// advance advances the simulated clock by span and keeps the configuration
// confirmed.
func (b *testbed) advance(span time.Duration) {
	const tick = 50 * time.Millisecond
	for end := b.now.Add(span); b.now.Before(end); {
		b.now = b.now.Add(tick)
		for _, report := range b.pendingReports {
			b.engine.Step(b.now, report)
		}
		b.pendingReports = nil
		b.applyUpdate(node.RevisionConfirmed{Revision: b.revision, AsOf: b.now})
	}
}

func (b *testbed) hostState(addr netip.AddrPort) HostState {
	b.t.Helper()
	h := b.board.hosts[addr]
	must.NotNil(b.t, h)
	return h.state
}

// eligibleWeights returns the weights of the hosts that receive new flows, by
// address.
func (b *testbed) eligibleWeights() map[netip.AddrPort]float64 {
	weights := make(map[netip.AddrPort]float64)
	service := b.view.Services[testAddr]
	for i, h := range service.Hosts {
		weights[h.Addr] = service.Candidates[i].Weight
	}
	return weights
}
