package slopes

import (
	"github.com/turmericrock/turmericrock/tunnel"
)

// The users' plan beyond the size of the fleet.
const (
	openFlows   = 6.2e6
	newFlows    = 70_000 // a second
	changesADay = 610
	// vmChangesADay counts failures and replacements, each seen as two
	// changes of a list.
	vmChangesADay = 2 * (15 + 880)
	secondsADay   = 86_400
	larger        = 3
)

const (
	megabyte     = 1e6
	kilobyte     = 1e3
	cpuPercent   = 1e4 // microseconds a second in a percent of a core
	stepsASecond = 20
	scansASecond = 5
	// partsOfConfig is the number of parts of the configuration.
	partsOfConfig = 64
	// probesASecond is the bound of one entry's probes.
	probesASecond = 20
	// datagramHead is the size of the IPv4 and UDP headers in bytes.
	datagramHead = 28
)

// Role is one kind of node with its figures.
type Role struct {
	Name  string
	About string
	Lines []Line
}

func (p *page) entryNewFlows() float64 { return newFlows / float64(p.size.Entries) }
func (p *page) hostNewFlows() float64  { return newFlows / float64(p.size.Hosts) }
func (p *page) hostFlows() float64     { return openFlows / float64(p.size.Hosts) }
func (p *page) zoneNodes() float64     { return float64(p.size.Nodes()) / float64(p.size.Zones) }

func (p *page) roles() []Role {
	return []Role{p.entryRole(), p.agentRole(), p.watcherRole()}
}

func (p *page) entryRole() Role {
	return Role{
		Name:  "Entry",
		About: "Holds the whole configuration, the VM lists of every zone and the state of every host. It has no state for flows: `entry_flow_memory` is what its memory grew by with the flows behind it.",
		Lines: []Line{
			p.memory("entry_idle_memory", Term{"reports and host states", float64(p.size.Hosts), p.slope("entry_board_memory"), "entry_board_memory"},
				"entry/board.go Board, entry/view.go View, dissemination/values.go valueStore"),
			p.entryCPU("entry"),
			p.reportBytesIn(),
			p.probeBytesOut(),
			p.meshBytes("entry"),
			p.totalBytes("entry"),
			p.messages("entry"),
		},
	}
}

func (p *page) agentRole() Role {
	return Role{
		Name:  "Agent",
		About: "Holds its own service's part, the VM list of its own zone and the flows that it terminates. The flows' memory and processor time are the price of the traffic and not of control; they stand here without a limit.",
		Lines: []Line{
			p.memory("agent_idle_memory", Term{}, "agent/board.go Board, dissemination/values.go valueStore"),
			p.agentCPU(),
			p.agentReportBytes(),
			p.meshBytes("agent"),
			p.messages("agent"),
			{
				Name: "memory of flows", Unit: "MB", Scale: megabyte, Mechanism: "agent/flows.go flowTable, the QUIC library",
				Terms: []Term{{"flows", p.hostFlows(), p.slope("agent_flow_memory"), "agent_flow_memory"}},
			},
			{
				Name: "processor time of new flows", Unit: "% of a core", Scale: cpuPercent, Mechanism: "agent/packetconn.go packetConn, the QUIC and TLS libraries",
				Terms: []Term{{"new flows a second with one request each", p.hostNewFlows(), p.slope("agent_flow_cpu"), "agent_flow_cpu"}},
			},
		},
	}
}

func (p *page) watcherRole() Role {
	return Role{
		Name:  "Watcher",
		About: "One of three entries in each zone that follow the platform for it. It has an entry's figures and these.",
		Lines: []Line{
			p.meshBytes("watcher"),
			p.platformBytes(),
			p.totalBytes("watcher"),
			p.messages("watcher"),
			{
				Name: "platform reads of all watchers", Unit: "reads/s", Scale: 1, Limit: limitReads, Mechanism: "dissemination/reads.go readState",
				Terms: []Term{{"worst second, measured", 1, p.at(eventSeries("steady", "reads"), p.size.Nodes()), "spread/steady/reads"}},
			},
		},
	}
}

func (p *page) memory(series string, more Term, mechanism string) Line {
	line := Line{
		Name: "memory of control", Unit: "MB", Scale: megabyte, Limit: limitMemory, Mechanism: mechanism,
		Terms: []Term{{"resident process that knows the fleet, measured", 1, p.at(series, p.size.Nodes()), series}},
	}
	line.Growth = []float64{p.slope(series) * float64(p.size.Nodes())}
	if more.Count > 0 {
		line.Terms = append(line.Terms, more)
		line.Growth = append(line.Growth, more.Count*more.Cost)
	}
	return line
}

func (p *page) entryCPU(kind string) Line {
	listCost := p.slope("list_cpu") * p.zoneNodes()
	return Line{
		Name: "processor time of control", Unit: "% of a core", Scale: cpuPercent, Limit: limitCPU,
		Mechanism: "blackboard/blackboard.go Engine, entry/membership.go Membership, dissemination/replica.go Replica",
		Terms: []Term{
			{"idle process cut off from its peers, measured", 1, cpuPercent * p.at("entry_idle_cpu", p.size.Nodes()), "entry_idle_cpu"},
			{"load reports a second", p.entryNewFlows() + probesASecond, p.at("entry_report_cpu", reportBatch) / reportBatch, "entry_report_cpu"},
			{"steps of the replica a second", stepsASecond, p.at("spread_step_cpu", p.size.Nodes()), "spread_step_cpu"},
			{"changes of configuration a second", changesADay / float64(secondsADay), p.at("config_cpu", p.size.Services), "config_cpu"},
			{"changes of a list a second", vmChangesADay / float64(secondsADay), listCost, "list_cpu"},
		},
		Growth: []float64{
			cpuPercent * p.slope("entry_idle_cpu") * float64(p.size.Nodes()),
			0,
			0,
			changesADay / float64(secondsADay) * p.slope("config_cpu") * float64(p.size.Services),
			vmChangesADay / float64(secondsADay) * listCost,
		},
	}
}

// reportBatch is the size at which the cost of a report is taken.
const reportBatch = 8000

func (p *page) agentCPU() Line {
	return Line{
		Name: "processor time of control", Unit: "% of a core", Scale: cpuPercent, Limit: limitCPU,
		Mechanism: "blackboard/blackboard.go Engine, agent/lifecycle.go Lifecycle, dissemination/replica.go Replica",
		Terms: []Term{
			{"idle process cut off from its peers, measured", 1, cpuPercent * p.at("agent_idle_cpu", p.size.Nodes()), "agent_idle_cpu"},
			{"steps of the replica a second", stepsASecond, p.at("spread_step_cpu", p.size.Nodes()), "spread_step_cpu"},
			{"changes of a list a second", vmChangesADay / float64(secondsADay), p.slope("list_cpu") * p.zoneNodes(), "list_cpu"},
		},
		Growth: []float64{cpuPercent * p.slope("agent_idle_cpu") * float64(p.size.Nodes()), 0, 0},
	}
}

// reportSize is the size of a load report on the wire in bytes.
func (p *page) reportSize() float64 {
	payload, err := tunnel.EncodeReport(sampleReport)
	if err != nil && p.err == nil {
		p.err = err
	}
	return float64(datagramHead + tunnel.HeaderSize + len(payload) + tunnel.TagSize)
}

var sampleReport = tunnel.Report{
	Incarnation: 1 << 15,
	State:       tunnel.HostServing,
	Revision:    1 << 20,
	Flows:       1500,
	Limit:       300,
	InService:   300,
	Capacity:    1000,
	Sequence:    1 << 20,
}

const probeSize = datagramHead + tunnel.HeaderSize + tunnel.TagSize

func (p *page) reportTerms() []Term {
	return []Term{
		{"reports that follow new flows, a second", p.entryNewFlows(), p.reportSize(), "tunnel.EncodeReport"},
		{"reports that follow probes, a second", probesASecond, p.reportSize(), "tunnel.EncodeReport"},
	}
}

func (p *page) reportBytesIn() Line {
	return Line{
		Name: "load reports received", Unit: "KB/s", Scale: kilobyte, Mechanism: "entry/reports.go, tunnel/report.go Report",
		Terms: p.reportTerms(),
	}
}

func (p *page) probeBytesOut() Line {
	return Line{
		Name: "probes sent", Unit: "KB/s", Scale: kilobyte, Mechanism: "entry/prober.go prober",
		Terms: []Term{{"probes a second", probesASecond, probeSize, "tunnel.HeaderSize"}},
	}
}

func (p *page) agentReportBytes() Line {
	probes := probesASecond * float64(p.size.Entries) / float64(p.size.Hosts)
	return Line{
		Name: "load reports and probes", Unit: "KB/s", Scale: kilobyte, Mechanism: "agent/packetconn.go packetConn",
		Terms: []Term{
			{"reports a second", p.hostNewFlows() + probes, p.reportSize(), "tunnel.EncodeReport"},
			{"probes a second", probes, probeSize, "tunnel.HeaderSize"},
		},
	}
}

func (p *page) meshTerms(kind string) []Term {
	nodes := p.size.Nodes()
	name := eventSeries("steady", kind+" mean")
	return []Term{
		{"steady state, sent and received, measured", 1, p.at(name, nodes), name},
		{"changes of configuration a second, 5 s of their phase", 5 * changesADay / float64(secondsADay), p.more("one service changed", kind), "spread/one service changed"},
		{"changes of a list a second, 5 s of their phase", 5 * vmChangesADay / float64(secondsADay), p.more("one VM gone from a list", kind), "spread/one VM gone from a list"},
	}
}

// more returns what an event costs above the steady state, in bytes a second.
func (p *page) more(event, kind string) float64 {
	nodes := p.size.Nodes()
	steady := p.at(eventSeries("steady", kind+" mean"), nodes)
	return max(0, p.at(eventSeries(event, kind+" mean"), nodes)-steady)
}

func (p *page) meshBytes(kind string) Line {
	line := Line{
		Name: "mesh, sent and received", Unit: "KB/s", Scale: kilobyte,
		Mechanism: "dissemination/state.go State, mesh/mesh.go Mesh",
		Terms:     p.meshTerms(kind),
	}
	if kind == "agent" {
		line.Limit = limitBytes
	}
	return line
}

// totalBytes is all of control on the wire.
func (p *page) totalBytes(kind string) Line {
	terms := append(p.meshTerms(kind), p.reportTerms()...)
	terms = append(terms, Term{"probes a second", probesASecond, probeSize, "tunnel.HeaderSize"})
	growth := []float64{p.slope(eventSeries("steady", kind+" mean")) * float64(p.size.Nodes()), 0, 0, 0, 0, 0}
	if kind == "watcher" {
		terms = append(terms, p.platformTerms()...)
		growth = append(growth, 0, 0, 0)
	}
	return Line{
		Name: "control on the wire, all of it", Unit: "KB/s", Scale: kilobyte, Limit: limitBytes,
		Mechanism: "those above", Terms: terms, Growth: growth,
	}
}

// watchesASecond is the rate at which the manifest's watch and that of the
// zone's list end unchanged.
const watchesASecond = 2

// base64Growth is by how much the store's encoding makes values longer.
const base64Growth = 4.0 / 3

// platformTerms are what a watcher reads of the platform.
func (p *page) platformTerms() []Term {
	return []Term{
		{"watches that end unchanged, a second", watchesASecond, p.slope("platform_watch_bytes"), "platform_watch_bytes"},
		{"manifests, and the part that changed, a second", changesADay / float64(secondsADay), base64Growth * (p.at("manifest_bytes", partsOfConfig) + p.at("config_bytes", p.size.Services)/partsOfConfig), "manifest_bytes, config_bytes"},
		{"lists of its zone, a second", vmChangesADay / float64(secondsADay*p.size.Zones), base64Growth * p.zoneNodes() * p.slope("list_bytes"), "list_bytes"},
	}
}

func (p *page) platformBytes() Line {
	return Line{
		Name: "reads of the platform", Unit: "KB/s", Scale: kilobyte,
		Mechanism: "platform/reader.go StoreReader, dissemination/reads.go readState",
		Terms:     p.platformTerms(),
	}
}

func (p *page) messages(kind string) Line {
	name := eventSeries("steady", kind+" messages")
	return Line{
		Name: "mesh messages", Unit: "1/s", Scale: 1, Mechanism: "dissemination/message.go Message",
		Terms: []Term{{"steady state, measured", 1, p.at(name, p.size.Nodes()), name}},
	}
}
