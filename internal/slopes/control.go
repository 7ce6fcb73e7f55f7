package slopes

import (
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/bench"
	"github.com/turmericrock/turmericrock/internal/fleetgen"
)

// sizeFractions are the fractions of the design size at which costs are measured.
var sizeFractions = []float64{0.125, 0.25, 0.5, 1}

func sampleSizes(fullSize int) []float64 {
	sizes := make([]float64, len(sizeFractions))
	for i, fraction := range sizeFractions {
		sizes[i] = float64(int(float64(fullSize) * fraction))
	}
	return sizes
}

func sizeWithHosts(hosts float64) fleetgen.Size {
	size := fleetgen.DesignSize()
	return size.Scaled(hosts / float64(size.Hosts))
}

func sizeWithServices(services float64) fleetgen.Size {
	size := fleetgen.DesignSize()
	return size.Scaled(services / float64(size.Services))
}

// controlMeasurements returns the measurements of control-plane state and
// decisions.
func controlMeasurements() []Measurement {
	design := fleetgen.DesignSize()
	services := sampleSizes(design.Services)
	nodes := sampleSizes(design.Nodes())
	hosts := sampleSizes(design.Hosts)
	return []Measurement{
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
	generated, err := fleetgen.Generate(sizeWithServices(services), 1)
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
	generated, err := fleetgen.Generate(sizeWithServices(services), 1)
	if err != nil {
		return 0, err
	}
	return heapGrowth(generated, func() any {
		config, _ := generated.Config()
		return config
	}), nil
}

func configCPU(services float64) (float64, error) {
	generated, err := fleetgen.Generate(sizeWithServices(services), 1)
	if err != nil {
		return 0, err
	}
	elapsed := minDuration(func() { _, err = generated.Config() })
	return microseconds(elapsed), err
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
	return heapGrowth(encoded, func() any {
		lists, _ := decodeLists(encoded)
		return lists
	}), nil
}

func listCPU(nodes float64) (float64, error) {
	encoded, err := encodedLists(nodes)
	if err != nil {
		return 0, err
	}
	elapsed := minDuration(func() { _, err = decodeLists(encoded) })
	return microseconds(elapsed), err
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

// populatedEntry returns the control plane of an entry that knows the whole
// fleet and has received a report from each host.
func populatedEntry(hosts float64) (*bench.EntryControl, error) {
	return bench.NewEntryControl(sizeWithHosts(hosts))
}

func boardMemory(hosts float64) (float64, error) {
	var buildErr error
	bytes := heapGrowth(nil, func() any {
		control, err := populatedEntry(hosts)
		buildErr = err
		return control
	})
	return bytes, buildErr
}

func stepCPU(hosts float64) (float64, error) {
	control, err := populatedEntry(hosts)
	if err != nil {
		return 0, err
	}
	return microseconds(minDuration(control.Scan)), nil
}

func reportCPU(reports float64) (float64, error) {
	control, err := populatedEntry(float64(fleetgen.DesignSize().Hosts))
	if err != nil {
		return 0, err
	}
	elapsed := minDuration(func() {
		for range int(reports) {
			control.DeliverReport()
		}
	})
	return microseconds(elapsed), nil
}

func microseconds(d time.Duration) float64 {
	return float64(d.Nanoseconds()) / 1000
}
