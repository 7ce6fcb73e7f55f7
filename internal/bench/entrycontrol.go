package bench

import (
	"net/netip"
	"time"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/entry"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/fleetgen"
	"github.com/turmericrock/turmericrock/internal/node"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

// EntryControl runs the control plane of an entry that knows a whole fleet. It
// advances its own clock and needs no network.
type EntryControl struct {
	Board *entry.Board

	engine    *blackboard.Engine[*entry.Board]
	now       time.Time
	view      *entry.View
	viewCount int
	agents    []fleet.VM
	nextAgent int
	reports   map[netip.AddrPort]tunnel.Report
	config    *fleet.Config
	lists     map[string]fleet.VMList
}

// NewEntryControl generates a fleet of the given size and returns the control
// plane of an entry that has received one load report from each host.
func NewEntryControl(size fleetgen.Size) (*EntryControl, error) {
	generated, err := fleetgen.Generate(size, 1)
	if err != nil {
		return nil, err
	}
	config, err := generated.Config()
	if err != nil {
		return nil, err
	}
	ring, err := keyring.NewRing(keyring.Keys{Keys: []keyring.Key{{}}})
	if err != nil {
		return nil, err
	}
	settings := entry.DefaultConfig()
	settings.AgentNetworks = []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}
	c := &EntryControl{
		Board:   entry.NewBoard(settings, ring),
		now:     time.Now(),
		reports: make(map[netip.AddrPort]tunnel.Report),
		config:  config,
		lists:   generated.Lists,
	}
	c.engine = entry.NewEngine(c.Board, c)
	c.update(node.ConfigOffered{Config: config, AsOf: c.now, Source: "bench"})
	for _, list := range generated.Lists {
		c.update(node.ListOffered{List: list, Source: "bench"})
		c.addAgents(list)
	}
	for range c.agents {
		c.DeliverReport()
	}
	c.Scan()
	return c, nil
}

func (c *EntryControl) addAgents(list fleet.VMList) {
	for _, vm := range list.VMs {
		if vm.Role == fleet.RoleAgent {
			c.agents = append(c.agents, vm)
		}
	}
}

// Execute implements blackboard.Executor.
func (c *EntryControl) Execute(effect blackboard.Effect) {
	if changed, ok := effect.(entry.ViewChanged); ok {
		c.view = changed.View
		c.viewCount++
	}
}

// View returns the most recent view.
func (c *EntryControl) View() *entry.View {
	return c.view
}

// Scan advances the clock by scanInterval and runs one step, which scans all
// hosts.
func (c *EntryControl) Scan() {
	c.now = c.now.Add(scanInterval)
	c.update(node.RevisionConfirmed{Revision: c.config.Revision(), AsOf: c.now})
}

// scanInterval is the time between two scans of all hosts.
const scanInterval = 200 * time.Millisecond

// DeliverReport processes a report with a changed load from the next agent, in
// round-robin order.
func (c *EntryControl) DeliverReport() {
	c.engine.Step(c.now, c.nextReport())
}

func (c *EntryControl) nextReport() entry.ReportReceived {
	vm := c.agents[c.nextAgent%len(c.agents)]
	c.nextAgent++
	report, found := c.reports[vm.Addr]
	if !found {
		report = tunnel.Report{Incarnation: 1, State: tunnel.HostServing, Revision: 1, Limit: 5, Capacity: fullCapacity}
	}
	report.Sequence++
	report.Flows++
	c.reports[vm.Addr] = report
	return entry.ReportReceived{Agent: vm.Addr, Service: vm.Service.Tag(), Report: report}
}

const fullCapacity = 1000

// ToggleHostCapacity processes a report that switches the next agent between
// cold and warm, which changes the view.
func (c *EntryControl) ToggleHostCapacity() {
	event := c.nextReport()
	event.Report.Capacity = fullCapacity - c.reports[event.Agent].Capacity*9/10
	c.reports[event.Agent] = event.Report
	c.engine.Step(c.now, event)
}

// UpdateZoneList offers a new version of one zone's list, which causes the
// control plane to process all lists and rebuild the whole view.
func (c *EntryControl) UpdateZoneList() {
	zone := fleetgen.ZoneName(0)
	list := c.lists[zone]
	list.Version++
	c.lists[zone] = list
	c.update(node.ListOffered{List: list, Source: "bench"})
}

func (c *EntryControl) update(update node.Update) {
	c.engine.Step(c.now, entry.NodeUpdated{Update: update})
}
