package slopes

import (
	"context"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/fleetgen"
	"github.com/turmericrock/turmericrock/platform"
)

const (
	// settleDuration is enough for a node without peers to read the
	// configuration and all lists from the platform at its limited rate.
	settleDuration = 30 * time.Second
	idleDuration   = 10 * time.Second
	// idleRevision is greater than any revision that a small fleet publishes.
	idleRevision = 1000
)

// idleMeasurements returns the measurements of an entry and an agent without
// traffic. They run as processes and have the configuration of a generated fleet
// of which they can reach no node but each other.
func idleMeasurements(binary string) []Measurement {
	nodes := sampleSizes(fleetgen.DesignSize().Nodes())
	bench := &idleBench{flows: &flowBench{binary: binary}, results: make(map[float64]idleCosts)}
	costFunc := func(cost func(idleCosts) float64) func(float64) (float64, error) {
		return func(size float64) (float64, error) {
			costs, err := bench.measure(size)
			return cost(costs), err
		}
	}
	return []Measurement{
		{Name: "entry_idle_memory", Unit: "B", Per: "node", Sizes: nodes, Run: costFunc(func(c idleCosts) float64 { return c.entryMemory })},
		{Name: "entry_idle_cpu", Unit: "%", Per: "node", Sizes: nodes, Run: costFunc(func(c idleCosts) float64 { return c.entryCPU })},
		{Name: "agent_idle_memory", Unit: "B", Per: "node", Sizes: nodes, Run: costFunc(func(c idleCosts) float64 { return c.agentMemory })},
		{Name: "agent_idle_cpu", Unit: "%", Per: "node", Sizes: nodes, Run: costFunc(func(c idleCosts) float64 { return c.agentCPU })},
	}
}

// idleCosts are resident memory in bytes and processor time in percent of a core.
type idleCosts struct {
	entryMemory float64
	entryCPU    float64
	agentMemory float64
	agentCPU    float64
}

type idleBench struct {
	flows   *flowBench
	results map[float64]idleCosts
}

func (b *idleBench) measure(nodes float64) (idleCosts, error) {
	if costs, found := b.results[nodes]; found {
		return costs, nil
	}
	var costs idleCosts
	err := b.flows.withFleet(func(ctx context.Context, f *smallFleet) error {
		design := fleetgen.DesignSize()
		if err := f.publish(design.Scaled(nodes / float64(design.Nodes()))); err != nil {
			return err
		}
		time.Sleep(settleDuration)
		before, err := f.usage()
		if err != nil {
			return err
		}
		time.Sleep(idleDuration)
		after, err := f.usage()
		costs = idleCosts{
			entryMemory: float64(after.entry.ResidentBytes),
			entryCPU:    percent(after.entry.CPUTime - before.entry.CPUTime),
			agentMemory: float64(after.agent.ResidentBytes),
			agentCPU:    percent(after.agent.CPUTime - before.agent.CPUTime),
		}
		return err
	})
	b.results[nodes] = costs
	return costs, err
}

func percent(used time.Duration) float64 {
	return 100 * float64(used) / float64(idleDuration)
}

// publish writes the configuration and VM lists of a generated fleet of the given
// size to the platform, with the small fleet's own service and nodes added.
func (f *smallFleet) publish(size fleetgen.Size) error {
	generated, err := fleetgen.Generate(size, idleRevision)
	if err != nil {
		return err
	}
	service := smallService(f.service)
	service.Addr = f.world.Fabric(f.service).Addr()
	ownPart, err := fleet.Encode(fleet.Part{Services: []fleet.Service{service}})
	if err != nil {
		return err
	}
	manifest := generated.Manifest
	manifest.Parts = append(manifest.Parts, fleet.PartRef{Name: "own", Digest: fleet.Digest(ownPart), Size: len(ownPart)})
	generated.Parts[fleet.Digest(ownPart)] = ownPart
	for digest, data := range generated.Parts {
		f.world.Platform.Put(platform.KeyPart(digest), data)
	}
	for zone, list := range generated.Lists {
		if zone == smallZone {
			list.VMs = append(list.VMs, f.entry.VM(), f.agent.VM())
		}
		data, err := fleet.Encode(list)
		if err != nil {
			return err
		}
		f.world.Platform.Put(platform.KeyVMs(zone), data)
	}
	encodedManifest, err := fleet.Encode(manifest)
	if err != nil {
		return err
	}
	f.world.Platform.Put(platform.KeyManifest, encodedManifest)
	return nil
}
