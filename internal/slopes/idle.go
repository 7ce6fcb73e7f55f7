package slopes

import (
	"context"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/fleetgen"
	"github.com/turmericrock/turmericrock/platform"
)

const (
	// settleTime lets a node read the configuration and every list by itself,
	// at the rate that a node without peers has.
	settleTime = 30 * time.Second
	idleTime   = 10 * time.Second
	// idleRevision is above every revision that a small fleet publishes.
	idleRevision = 1000
)

// idleMeasures are the costs of a real entry and a real agent that know a
// fleet of which they reach nobody but each other: what a node spends while
// it carries no traffic, cut off from its peers.
func idleMeasures(binary string) []Measure {
	nodes := sizesOf(fleetgen.DesignSize().Nodes())
	bench := &idleBench{flows: &flowBench{binary: binary}, taken: make(map[float64]idleCosts)}
	pick := func(cost func(idleCosts) float64) func(float64) (float64, error) {
		return func(size float64) (float64, error) {
			costs, err := bench.take(size)
			return cost(costs), err
		}
	}
	return []Measure{
		{Name: "entry_idle_memory", Unit: "B", Per: "node", Sizes: nodes, Run: pick(func(c idleCosts) float64 { return c.entryMemory })},
		{Name: "entry_idle_cpu", Unit: "%", Per: "node", Sizes: nodes, Run: pick(func(c idleCosts) float64 { return c.entryCPU })},
		{Name: "agent_idle_memory", Unit: "B", Per: "node", Sizes: nodes, Run: pick(func(c idleCosts) float64 { return c.agentMemory })},
		{Name: "agent_idle_cpu", Unit: "%", Per: "node", Sizes: nodes, Run: pick(func(c idleCosts) float64 { return c.agentCPU })},
	}
}

// idleCosts are resident bytes and percent of a core.
type idleCosts struct {
	entryMemory float64
	entryCPU    float64
	agentMemory float64
	agentCPU    float64
}

type idleBench struct {
	flows *flowBench
	taken map[float64]idleCosts
}

func (b *idleBench) take(nodes float64) (idleCosts, error) {
	if costs, found := b.taken[nodes]; found {
		return costs, nil
	}
	var costs idleCosts
	err := b.flows.inFleet(func(ctx context.Context, f *smallFleet) error {
		design := fleetgen.DesignSize()
		if err := f.publish(design.Scaled(nodes / float64(design.Nodes()))); err != nil {
			return err
		}
		time.Sleep(settleTime)
		before, err := f.usage()
		if err != nil {
			return err
		}
		time.Sleep(idleTime)
		after, err := f.usage()
		costs = idleCosts{
			entryMemory: float64(after.entry.ResidentBytes),
			entryCPU:    percent(after.entry.CPUTime - before.entry.CPUTime),
			agentMemory: float64(after.agent.ResidentBytes),
			agentCPU:    percent(after.agent.CPUTime - before.agent.CPUTime),
		}
		return err
	})
	b.taken[nodes] = costs
	return costs, err
}

func percent(used time.Duration) float64 {
	return 100 * float64(used) / float64(idleTime)
}

// publish puts a generated fleet on the platform, with the small fleet's own
// service and nodes in it.
func (f *smallFleet) publish(size fleetgen.Size) error {
	generated, err := fleetgen.Generate(size, idleRevision)
	if err != nil {
		return err
	}
	service := smallService(f.service)
	service.Addr = f.world.Fabric(f.service).Addr()
	own, err := fleet.Encode(fleet.Part{Services: []fleet.Service{service}})
	if err != nil {
		return err
	}
	manifest := generated.Manifest
	manifest.Parts = append(manifest.Parts, fleet.PartRef{Name: "own", Digest: fleet.Digest(own), Size: len(own)})
	generated.Parts[fleet.Digest(own)] = own
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
	root, err := fleet.Encode(manifest)
	if err != nil {
		return err
	}
	f.world.Platform.Put(platform.KeyManifest, root)
	return nil
}
