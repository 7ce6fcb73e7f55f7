package slopes

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/turmericrock/turmericrock/caller"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/backend"
	"github.com/turmericrock/turmericrock/internal/standin/world"
)

var (
	flowSizes    = []float64{100, 200, 400, 800}
	requestSizes = []float64{1000, 2000, 4000, 8000}
)

const (
	openAtOnce  = 32
	measureTime = 2 * time.Minute
)

// flowMeasures are the costs of flows and requests, taken on the shipped
// binary as separate processes.
func flowMeasures(binary string) []Measure {
	bench := &flowBench{binary: binary, taken: make(map[float64]flowCosts)}
	pick := func(cost func(flowCosts) float64) func(float64) (float64, error) {
		return func(flows float64) (float64, error) {
			costs, err := bench.take(flows)
			return cost(costs), err
		}
	}
	return []Measure{
		{Name: "agent_flow_memory", Unit: "B", Per: "flow", Sizes: flowSizes, Run: pick(func(c flowCosts) float64 { return c.agentMemory })},
		{Name: "agent_flow_cpu", Unit: "us", Per: "new flow", Sizes: flowSizes, Run: pick(func(c flowCosts) float64 { return c.agentCPU })},
		{Name: "entry_flow_memory", Unit: "B", Per: "flow", Sizes: flowSizes, Run: bench.entryMemory},
		{Name: "entry_flow_cpu", Unit: "us", Per: "new flow", Sizes: flowSizes, Run: pick(func(c flowCosts) float64 { return c.entryCPU })},
		{Name: "agent_request_cpu", Unit: "us", Per: "request", Sizes: requestSizes, Run: bench.requestCPU},
	}
}

// flowCosts are the costs of opening and holding flows.
type flowCosts struct {
	agentMemory float64
	agentCPU    float64
	entryCPU    float64
}

type flowBench struct {
	binary string
	taken  map[float64]flowCosts
}

// take opens the flows, one request on each, and returns what it cost. The
// same size is measured once for all series.
func (b *flowBench) take(flows float64) (flowCosts, error) {
	if costs, found := b.taken[flows]; found {
		return costs, nil
	}
	var costs flowCosts
	err := b.inFleet(func(ctx context.Context, f *smallFleet) error {
		before, err := f.usage()
		if err != nil {
			return err
		}
		clients, err := f.openFlows(ctx, int(flows))
		defer closeAll(clients)
		if err != nil {
			return err
		}
		after, err := f.usage()
		costs = flowCosts{
			agentMemory: float64(after.agent.ResidentBytes) - float64(before.agent.ResidentBytes),
			agentCPU:    microseconds(after.agent.CPUTime - before.agent.CPUTime),
			entryCPU:    microseconds(after.entry.CPUTime - before.entry.CPUTime),
		}
		return err
	})
	b.taken[flows] = costs
	return costs, err
}

// entryMemory returns the growth of an entry's memory with the flows behind
// it, once its heap has reached its working size.
func (b *flowBench) entryMemory(flows float64) (float64, error) {
	var growth float64
	err := b.inFleet(func(ctx context.Context, f *smallFleet) error {
		warm, err := f.openFlows(ctx, int(flowSizes[len(flowSizes)-1]))
		closeAll(warm)
		if err != nil {
			return err
		}
		before, err := f.usage()
		if err != nil {
			return err
		}
		clients, err := f.openFlows(ctx, int(flows))
		defer closeAll(clients)
		if err != nil {
			return err
		}
		after, err := f.usage()
		growth = float64(after.entry.ResidentBytes) - float64(before.entry.ResidentBytes)
		return err
	})
	return growth, err
}

// requestCPU returns the agent's processor time for requests on open flows.
func (b *flowBench) requestCPU(requests float64) (float64, error) {
	var cost float64
	err := b.inFleet(func(ctx context.Context, f *smallFleet) error {
		clients, err := f.openFlows(ctx, openAtOnce)
		defer closeAll(clients)
		if err != nil {
			return err
		}
		before, err := f.usage()
		if err != nil {
			return err
		}
		err = forEach(ctx, clients, func(ctx context.Context, client *caller.Client) error {
			for range int(requests) / len(clients) {
				if err := ask(ctx, client); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
		after, err := f.usage()
		cost = microseconds(after.agent.CPUTime - before.agent.CPUTime)
		return err
	})
	return cost, err
}

// smallFleet is one entry and one agent.
type smallFleet struct {
	world   *world.World
	entry   *world.Node
	agent   *world.Node
	service fleet.ServiceID
}

type fleetUsage struct {
	entry world.Usage
	agent world.Usage
}

func (b *flowBench) inFleet(run func(context.Context, *smallFleet) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), measureTime)
	defer cancel()
	folder, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	f, err := startSmallFleet(b.binary, folder)
	if err != nil {
		return err
	}
	defer f.world.Close()
	if err := f.world.WaitReady(ctx, f.service); err != nil {
		return err
	}
	return run(ctx, f)
}

const smallZone = "zone-1"

func smallService(id fleet.ServiceID) fleet.Service {
	return fleet.Service{
		ID:          id,
		Slots:       openAtOnce,
		Connections: 10_000,
		Zones:       []string{smallZone},
	}
}

func startSmallFleet(binary, folder string) (*smallFleet, error) {
	absolute, err := filepath.Abs(binary)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	id := fleet.ServiceID{Customer: "customer-1", Name: "proofs"}
	w, err := world.New(world.Config{
		Binary:   absolute,
		Folder:   folder,
		Zones:    []fleet.Zone{{Name: smallZone, Region: "region-1", Number: 1}},
		Services: []fleet.Service{smallService(id)},
	})
	if err != nil {
		return nil, err
	}
	f := &smallFleet{world: w, service: id}
	if f.entry, err = w.StartEntry("entry-1", smallZone); err != nil {
		w.Close()
		return nil, err
	}
	if f.agent, err = w.StartAgent("host-1", smallZone, id, backend.Config{Slots: 2 * openAtOnce}); err != nil {
		w.Close()
		return nil, err
	}
	return f, nil
}

func (f *smallFleet) usage() (fleetUsage, error) {
	entry, err := f.entry.Usage()
	if err != nil {
		return fleetUsage{}, err
	}
	agent, err := f.agent.Usage()
	return fleetUsage{entry: entry, agent: agent}, err
}

// openFlows opens flows with one request on each.
func (f *smallFleet) openFlows(ctx context.Context, count int) ([]*caller.Client, error) {
	clients := make([]*caller.Client, count)
	for i := range clients {
		clients[i] = f.world.Client(f.service)
	}
	return clients, forEach(ctx, clients, ask)
}

func forEach(ctx context.Context, clients []*caller.Client, do func(context.Context, *caller.Client) error) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(openAtOnce)
	for _, client := range clients {
		group.Go(func() error { return do(ctx, client) })
	}
	return group.Wait()
}

func ask(ctx context.Context, client *caller.Client) error {
	_, err := client.Do(ctx, caller.Request{Method: http.MethodGet, Path: "/specimen"})
	return err
}

func closeAll(clients []*caller.Client) {
	for _, client := range clients {
		client.Close()
	}
}
