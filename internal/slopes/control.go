package slopes

import (
	"net/netip"
	"time"

	"github.com/turmericrock/turmericrock/entry"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/fleetgen"
	"github.com/turmericrock/turmericrock/internal/node"
	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

// shares are the parts of the design size that are measured.
var shares = []float64{0.125, 0.25, 0.5, 1}

func sizesOf(whole int) []float64 {
	sizes := make([]float64, len(shares))
	for i, share := range shares {
		sizes[i] = float64(int(float64(whole) * share))
	}
	return sizes
}

func withHosts(hosts float64) fleetgen.Size {
	size := fleetgen.DesignSize()
	return size.Scaled(hosts / float64(size.Hosts))
}

func withServices(services float64) fleetgen.Size {
	size := fleetgen.DesignSize()
	return size.Scaled(services / float64(size.Services))
}

// controlMeasures are the costs of control state and decisions.
func controlMeasures() []Measure {
	design := fleetgen.DesignSize()
	services := sizesOf(design.Services)
	nodes := sizesOf(design.Nodes())
	hosts := sizesOf(design.Hosts)
	return []Measure{
		{Name: "config_bytes", Unit: "B", Per: "service", Sizes: services, Run: configBytes},
		{Name: "config_memory", Unit: "B", Per: "service", Sizes: services, Run: configMemory},
		{Name: "config_cpu", Unit: "us", Per: "service", Sizes: services, Run: configCPU},
		{Name: "manifest_bytes", Unit: "B", Per: "part", Sizes: []float64{16, 32, 64, 128}, Run: manifestBytes},
		{Name: "list_bytes", Unit: "B", Per: "VM", Sizes: nodes, Run: listBytes},
		{Name: "list_memory", Unit: "B", Per: "VM", Sizes: nodes, Run: listMemory},
		{Name: "list_cpu", Unit: "us", Per: "VM", Sizes: nodes, Run: listCPU},
		{Name: "entry_board_memory", Unit: "B", Per: "host", Sizes: hosts, Run: boardMemory},
		{Name: "entry_step_cpu", Unit: "us", Per: "host", Sizes: hosts, Run: stepCPU},
		{Name: "entry_report_cpu", Unit: "us", Per: "report", Sizes: []float64{1000, 2000, 4000, 8000}, Run: reportCPU},
	}
}

func configBytes(services float64) (float64, error) {
	generated, err := fleetgen.Generate(withServices(services), 1)
	if err != nil {
		return 0, err
	}
	total := 0
	for _, part := range generated.Parts {
		total += len(part)
	}
	return float64(total), nil
}

func configMemory(services float64) (float64, error) {
	generated, err := fleetgen.Generate(withServices(services), 1)
	if err != nil {
		return 0, err
	}
	return heapOf(generated, func() any {
		config, _ := generated.Config()
		return config
	}), nil
}

func configCPU(services float64) (float64, error) {
	generated, err := fleetgen.Generate(withServices(services), 1)
	if err != nil {
		return 0, err
	}
	took := fastest(func() { _, err = generated.Config() })
	return microseconds(took), err
}

func manifestBytes(parts float64) (float64, error) {
	size := fleetgen.DesignSize()
	size.Parts = int(parts)
	generated, err := fleetgen.Generate(size, 1)
	if err != nil {
		return 0, err
	}
	data, err := fleet.Encode(generated.Manifest)
	return float64(len(data)), err
}

func encodedLists(nodes float64) ([][]byte, error) {
	size := fleetgen.DesignSize()
	generated, err := fleetgen.Generate(size.Scaled(nodes/float64(size.Nodes())), 1)
	if err != nil {
		return nil, err
	}
	var encoded [][]byte
	for _, list := range generated.Lists {
		data, err := fleet.Encode(list)
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, data)
	}
	return encoded, nil
}

func listBytes(nodes float64) (float64, error) {
	encoded, err := encodedLists(nodes)
	total := 0
	for _, data := range encoded {
		total += len(data)
	}
	return float64(total), err
}

func listMemory(nodes float64) (float64, error) {
	encoded, err := encodedLists(nodes)
	if err != nil {
		return 0, err
	}
	return heapOf(encoded, func() any {
		lists, _ := decodeLists(encoded)
		return lists
	}), nil
}

func listCPU(nodes float64) (float64, error) {
	encoded, err := encodedLists(nodes)
	if err != nil {
		return 0, err
	}
	took := fastest(func() { _, err = decodeLists(encoded) })
	return microseconds(took), err
}

func decodeLists(encoded [][]byte) ([]fleet.VMList, error) {
	var lists []fleet.VMList
	for _, data := range encoded {
		list, err := fleet.DecodeVMList(data)
		if err != nil {
			return nil, err
		}
		lists = append(lists, list)
	}
	return lists, nil
}

// fullEntry returns the board and the viewer of an entry that knows the whole
// fleet and has a report of each host.
func fullEntry(hosts float64) (*entry.Board, *entry.Viewer, error) {
	generated, err := fleetgen.Generate(withHosts(hosts), 1)
	if err != nil {
		return nil, nil, err
	}
	config, err := generated.Config()
	if err != nil {
		return nil, nil, err
	}
	ring, err := keyring.NewRing(keyring.Keys{Keys: []keyring.Key{{}}})
	if err != nil {
		return nil, nil, err
	}
	settings := entry.DefaultConfig()
	settings.AgentNetworks = []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}
	board := entry.NewBoard(settings, ring)
	now := time.Now()
	node.ConfigOffered{Config: config, AsOf: now, Source: "slopes"}.ApplyTo(now, board.Node)
	for _, list := range generated.Lists {
		node.ListOffered{List: list, Source: "slopes"}.ApplyTo(now, board.Node)
		for _, vm := range list.VMs {
			if vm.Role == fleet.RoleAgent {
				entry.ReportReceived{Agent: vm.Addr, Report: sampleReport}.Apply(now, board)
			}
		}
	}
	return board, &entry.Viewer{}, nil
}

var sampleReport = tunnel.Report{
	Incarnation: 1,
	State:       tunnel.HostServing,
	Revision:    1,
	Flows:       1000,
	Limit:       5,
	InService:   2,
	Capacity:    1000,
}

func boardMemory(hosts float64) (float64, error) {
	var failed error
	bytes := heapOf(nil, func() any {
		board, viewer, err := fullEntry(hosts)
		if err != nil {
			failed = err
			return nil
		}
		return []any{board, viewer, viewer.Step(time.Now(), board)}
	})
	return bytes, failed
}

func stepCPU(hosts float64) (float64, error) {
	board, viewer, err := fullEntry(hosts)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	took := fastest(func() {
		now = now.Add(time.Second)
		viewer.Step(now, board)
	})
	return microseconds(took), nil
}

func reportCPU(reports float64) (float64, error) {
	board, _, err := fullEntry(float64(fleetgen.DesignSize().Hosts))
	if err != nil {
		return 0, err
	}
	payload, err := tunnel.EncodeReport(sampleReport)
	if err != nil {
		return 0, err
	}
	agent := netip.MustParseAddrPort("127.212.0.1:7300")
	took := fastest(func() {
		now := time.Now()
		for range int(reports) {
			report, _ := tunnel.DecodeReport(payload)
			entry.ReportReceived{Agent: agent, Report: report}.Apply(now, board)
		}
	})
	return microseconds(took), nil
}

func microseconds(d time.Duration) float64 {
	return float64(d.Nanoseconds()) / 1000
}
