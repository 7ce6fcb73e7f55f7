package slopes

import (
	"github.com/turmericrock/turmericrock/tunnel"
)

// The load that the users plan for, in addition to the size of the fleet.
const (
	openFlows           = 6.2e6
	newFlowsPerSecond   = 70_000 // per second
	configChangesPerDay = 610
	// listChangesPerDay is the number of changes to VM lists: 15 failures and 880
	// replacements per day, each of which changes a list twice.
	listChangesPerDay = 2 * (15 + 880)
	secondsPerDay     = 86_400
	growthFactor      = 3
)

const (
	megabyte               = 1e6
	kilobyte               = 1e3
	microsecondsPerPercent = 1e4 // microseconds per second in one percent of a core
	stepsPerSecond         = 20
	scansPerSecond         = 5
	// configParts is the number of parts into which the configuration is divided.
	configParts = 64
	// probesPerSecond is the maximum rate at which one entry sends probes.
	probesPerSecond = 20
	// ipUDPHeaderSize is the total size of the IPv4 and UDP headers in bytes.
	ipUDPHeaderSize = 28
)

// Role is the section of the page about one kind of node.
type Role struct {
	Name        string
	Description string
	Figures     []Figure
}

func (p *pageBuilder) entryNewFlows() float64 { return newFlowsPerSecond / float64(p.size.Entries) }
func (p *pageBuilder) hostNewFlows() float64  { return newFlowsPerSecond / float64(p.size.Hosts) }
func (p *pageBuilder) hostFlows() float64     { return openFlows / float64(p.size.Hosts) }
func (p *pageBuilder) zoneNodes() float64     { return float64(p.size.Nodes()) / float64(p.size.Zones) }

func (p *pageBuilder) roles() []Role {
	return []Role{p.entryRole(), p.agentRole(), p.watcherRole()}
}

func (p *pageBuilder) entryRole() Role {
	return Role{
		Name:        "Entry",
		Description: "Holds the whole configuration, the VM lists of every zone and the state of every host. It has no state for flows: `entry_flow_memory` is what its memory grew by with the flows behind it.",
		Figures: []Figure{
			p.memoryFigure("entry_idle_memory", Term{"reports and host states", float64(p.size.Hosts), p.slope("entry_board_memory"), "entry_board_memory"},
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

func (p *pageBuilder) agentRole() Role {
	return Role{
		Name:        "Agent",
		Description: "Holds its own service's part, the VM list of its own zone and the flows that it terminates. The flows' memory and processor time are the price of the traffic and not of control; they stand here without a limit.",
		Figures: []Figure{
			p.memoryFigure("agent_idle_memory", Term{}, "agent/board.go Board, dissemination/values.go valueStore"),
			p.agentCPU(),
			p.agentReportBytes(),
			p.meshBytes("agent"),
			p.messages("agent"),
			{
				Name: "memory of flows", Unit: "MB", Scale: megabyte, Mechanism: "agent/flows.go flowTable, the QUIC library",
				Terms: []Term{{"flows", p.hostFlows(), p.slope("agent_flow_memory"), "agent_flow_memory"}},
			},
			{
				Name: "processor time of new flows", Unit: "% of a core", Scale: microsecondsPerPercent, Mechanism: "agent/packetconn.go packetConn, the QUIC and TLS libraries",
				Terms: []Term{{"new flows a second with one request each", p.hostNewFlows(), p.slope("agent_flow_cpu"), "agent_flow_cpu"}},
			},
		},
	}
}

func (p *pageBuilder) watcherRole() Role {
	return Role{
		Name:        "Watcher",
		Description: "One of three entries in each zone that follow the platform for it. It has an entry's figures and these.",
		Figures: []Figure{
			p.meshBytes("watcher"),
			p.platformBytes(),
			p.totalBytes("watcher"),
			p.messages("watcher"),
			{
				Name: "platform reads of all watchers", Unit: "reads/s", Scale: 1, Limit: limitReads, Mechanism: "dissemination/reads.go readState",
				Terms: []Term{{"worst second, measured", 1, p.costAt(phaseSeriesName("steady", "reads"), p.size.Nodes()), "spread/steady/reads"}},
			},
		},
	}
}

func (p *pageBuilder) memoryFigure(series string, extra Term, mechanism string) Figure {
	figure := Figure{
		Name: "memory of control", Unit: "MB", Scale: megabyte, Limit: limitMemory, Mechanism: mechanism,
		Terms: []Term{{"resident process that knows the fleet, measured", 1, p.costAt(series, p.size.Nodes()), series}},
	}
	figure.Growth = []float64{p.slope(series) * float64(p.size.Nodes())}
	if extra.Count > 0 {
		figure.Terms = append(figure.Terms, extra)
		figure.Growth = append(figure.Growth, extra.Count*extra.Cost)
	}
	return figure
}

func (p *pageBuilder) entryCPU(kind string) Figure {
	listCost := p.slope("list_cpu") * p.zoneNodes()
	return Figure{
		Name: "processor time of control", Unit: "% of a core", Scale: microsecondsPerPercent, Limit: limitCPU,
		Mechanism: "blackboard/blackboard.go Engine, entry/membership.go Membership, dissemination/replica.go Replica",
		Terms: []Term{
			{"idle process cut off from its peers, measured", 1, microsecondsPerPercent * p.costAt("entry_idle_cpu", p.size.Nodes()), "entry_idle_cpu"},
			{"load reports a second", p.entryNewFlows() + probesPerSecond, p.costAt("entry_report_cpu", reportBatch) / reportBatch, "entry_report_cpu"},
			{"steps of the replica a second", stepsPerSecond, p.costAt("spread_step_cpu", p.size.Nodes()), "spread_step_cpu"},
			{"changes of configuration a second", configChangesPerDay / float64(secondsPerDay), p.costAt("config_cpu", p.size.Services), "config_cpu"},
			{"changes of a list a second", listChangesPerDay / float64(secondsPerDay), listCost, "list_cpu"},
		},
		Growth: []float64{
			microsecondsPerPercent * p.slope("entry_idle_cpu") * float64(p.size.Nodes()),
			0,
			0,
			configChangesPerDay / float64(secondsPerDay) * p.slope("config_cpu") * float64(p.size.Services),
			listChangesPerDay / float64(secondsPerDay) * listCost,
		},
	}
}

// reportBatch is the number of reports of the measurement from which the cost of
// one report is calculated.
const reportBatch = 8000

func (p *pageBuilder) agentCPU() Figure {
	return Figure{
		Name: "processor time of control", Unit: "% of a core", Scale: microsecondsPerPercent, Limit: limitCPU,
		Mechanism: "blackboard/blackboard.go Engine, agent/lifecycle.go Lifecycle, dissemination/replica.go Replica",
		Terms: []Term{
			{"idle process cut off from its peers, measured", 1, microsecondsPerPercent * p.costAt("agent_idle_cpu", p.size.Nodes()), "agent_idle_cpu"},
			{"steps of the replica a second", stepsPerSecond, p.costAt("spread_step_cpu", p.size.Nodes()), "spread_step_cpu"},
			{"changes of a list a second", listChangesPerDay / float64(secondsPerDay), p.slope("list_cpu") * p.zoneNodes(), "list_cpu"},
		},
		Growth: []float64{microsecondsPerPercent * p.slope("agent_idle_cpu") * float64(p.size.Nodes()), 0, 0},
	}
}

// reportSize returns the size of a load report on the wire in bytes, including the
// IP and UDP headers.
func (p *pageBuilder) reportSize() float64 {
	payload, err := tunnel.EncodeReport(sampleReport)
	if err != nil && p.err == nil {
		p.err = err
	}
	return float64(ipUDPHeaderSize + tunnel.HeaderSize + len(payload) + tunnel.TagSize)
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

const probeSize = ipUDPHeaderSize + tunnel.HeaderSize + tunnel.TagSize

func (p *pageBuilder) reportTerms() []Term {
	return []Term{
		{"reports that follow new flows, a second", p.entryNewFlows(), p.reportSize(), "tunnel.EncodeReport"},
		{"reports that follow probes, a second", probesPerSecond, p.reportSize(), "tunnel.EncodeReport"},
	}
}

func (p *pageBuilder) reportBytesIn() Figure {
	return Figure{
		Name: "load reports received", Unit: "KB/s", Scale: kilobyte, Mechanism: "entry/reports.go, tunnel/report.go Report",
		Terms: p.reportTerms(),
	}
}

func (p *pageBuilder) probeBytesOut() Figure {
	return Figure{
		Name: "probes sent", Unit: "KB/s", Scale: kilobyte, Mechanism: "entry/prober.go prober",
		Terms: []Term{{"probes a second", probesPerSecond, probeSize, "tunnel.HeaderSize"}},
	}
}

func (p *pageBuilder) agentReportBytes() Figure {
	probes := probesPerSecond * float64(p.size.Entries) / float64(p.size.Hosts)
	return Figure{
		Name: "load reports and probes", Unit: "KB/s", Scale: kilobyte, Mechanism: "agent/packetconn.go packetConn",
		Terms: []Term{
			{"reports a second", p.hostNewFlows() + probes, p.reportSize(), "tunnel.EncodeReport"},
			{"probes a second", probes, probeSize, "tunnel.HeaderSize"},
		},
	}
}

func (p *pageBuilder) meshTerms(kind string) []Term {
	nodes := p.size.Nodes()
	name := phaseSeriesName("steady", kind+" mean")
	return []Term{
		{"steady state, sent and received, measured", 1, p.costAt(name, nodes), name},
		{"changes of configuration a second, 5 s of their phase", 5 * configChangesPerDay / float64(secondsPerDay), p.extraBytes("one service changed", kind), "spread/one service changed"},
		{"changes of a list a second, 5 s of their phase", 5 * listChangesPerDay / float64(secondsPerDay), p.extraBytes("one VM gone from a list", kind), "spread/one VM gone from a list"},
	}
}

// extraBytes returns by how many bytes per second the mean traffic of a node
// during an event exceeds that of the steady state.
func (p *pageBuilder) extraBytes(event, kind string) float64 {
	nodes := p.size.Nodes()
	steady := p.costAt(phaseSeriesName("steady", kind+" mean"), nodes)
	return max(0, p.costAt(phaseSeriesName(event, kind+" mean"), nodes)-steady)
}

func (p *pageBuilder) meshBytes(kind string) Figure {
	figure := Figure{
		Name: "mesh, sent and received", Unit: "KB/s", Scale: kilobyte,
		Mechanism: "dissemination/state.go State, mesh/mesh.go Mesh",
		Terms:     p.meshTerms(kind),
	}
	if kind == "agent" {
		figure.Limit = limitBytes
	}
	return figure
}

// totalBytes returns the figure of all control-plane traffic of a node.
func (p *pageBuilder) totalBytes(kind string) Figure {
	terms := append(p.meshTerms(kind), p.reportTerms()...)
	terms = append(terms, Term{"probes a second", probesPerSecond, probeSize, "tunnel.HeaderSize"})
	growth := []float64{p.slope(phaseSeriesName("steady", kind+" mean")) * float64(p.size.Nodes()), 0, 0, 0, 0, 0}
	if kind == "watcher" {
		terms = append(terms, p.platformTerms()...)
		growth = append(growth, 0, 0, 0)
	}
	return Figure{
		Name: "control on the wire, all of it", Unit: "KB/s", Scale: kilobyte, Limit: limitBytes,
		Mechanism: "those above", Terms: terms, Growth: growth,
	}
}

// unchangedWatchesPerSecond is the rate at which the watches of the manifest and
// of the zone's list time out without a change.
const unchangedWatchesPerSecond = 2

// base64Expansion is the factor by which the store's base64 encoding enlarges
// values.
const base64Expansion = 4.0 / 3

// platformTerms returns the terms of a watcher's reads from the platform.
func (p *pageBuilder) platformTerms() []Term {
	return []Term{
		{"watches that end unchanged, a second", unchangedWatchesPerSecond, p.slope("platform_watch_bytes"), "platform_watch_bytes"},
		{"manifests, and the part that changed, a second", configChangesPerDay / float64(secondsPerDay), base64Expansion * (p.costAt("manifest_bytes", configParts) + p.costAt("config_bytes", p.size.Services)/configParts), "manifest_bytes, config_bytes"},
		{"lists of its zone, a second", listChangesPerDay / float64(secondsPerDay*p.size.Zones), base64Expansion * p.zoneNodes() * p.slope("list_bytes"), "list_bytes"},
	}
}

func (p *pageBuilder) platformBytes() Figure {
	return Figure{
		Name: "reads of the platform", Unit: "KB/s", Scale: kilobyte,
		Mechanism: "platform/reader.go StoreReader, dissemination/reads.go readState",
		Terms:     p.platformTerms(),
	}
}

func (p *pageBuilder) messages(kind string) Figure {
	name := phaseSeriesName("steady", kind+" messages")
	return Figure{
		Name: "mesh messages", Unit: "1/s", Scale: 1, Mechanism: "dissemination/message.go Message",
		Terms: []Term{{"steady state, measured", 1, p.costAt(name, p.size.Nodes()), name}},
	}
}
