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
	concurrentOpens = 32
	measureTimeout  = 2 * time.Minute
)

// flowMeasurements returns the measurements of flows and requests, for which the
// entry and the agent run as processes of the given binary.
func flowMeasurements(binary string) []Measurement {
	bench := &flowBench{binary: binary, results: make(map[float64]flowCosts)}
	costFunc := func(cost func(flowCosts) float64) func(float64) (float64, error) {
		return func(flows float64) (float64, error) {
			costs, err := bench.measure(flows)
			return cost(costs), err
		}
	}
	return []Measurement{
		{Name: "agent_flow_memory", Unit: "B", Per: "flow", Sizes: flowSizes, Run: costFunc(func(c flowCosts) float64 { return c.agentMemory })},
		{Name: "agent_flow_cpu", Unit: "us", Per: "new flow", Sizes: flowSizes, Run: costFunc(func(c flowCosts) float64 { return c.agentCPU })},
		{Name: "entry_flow_memory", Unit: "B", Per: "flow", Sizes: flowSizes, Run: bench.entryMemory},
		{Name: "entry_flow_cpu", Unit: "us", Per: "new flow", Sizes: flowSizes, Run: costFunc(func(c flowCosts) float64 { return c.entryCPU })},
		{Name: "agent_request_cpu", Unit: "us", Per: "request", Sizes: requestSizes, Run: bench.requestCPU},
	}
}

// flowCosts are the costs of opening flows and keeping them open: memory in
// bytes, processor time in microseconds.
type flowCosts struct {
	agentMemory float64
	agentCPU    float64
	entryCPU    float64
}

type flowBench struct {
	binary  string
	results map[float64]flowCosts
}

// measure opens the given number of flows, sends one request on each and returns
// the costs. Each size is measured only once for all series.
func (b *flowBench) measure(flows float64) (flowCosts, error) {
	if costs, found := b.results[flows]; found {
		return costs, nil
	}
	var costs flowCosts
	err := b.withFleet(func(ctx context.Context, f *smallFleet) error {
		before, err := f.usage()
		if err != nil {
			return err
		}
		clients, err := f.openFlows(ctx, int(flows))
		defer closeClients(clients)
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
	b.results[flows] = costs
	return costs, err
}

// entryMemory returns by how many bytes an entry's resident memory grows when
// its callers open the given number of flows. The largest number of flows is
// opened and closed first, so that the growth of the heap to its working size is
// not counted.
func (b *flowBench) entryMemory(flows float64) (float64, error) {
	var growth float64
	err := b.withFleet(func(ctx context.Context, f *smallFleet) error {
		warmupClients, err := f.openFlows(ctx, int(flowSizes[len(flowSizes)-1]))
		closeClients(warmupClients)
		if err != nil {
			return err
		}
		before, err := f.usage()
		if err != nil {
			return err
		}
		clients, err := f.openFlows(ctx, int(flows))
		defer closeClients(clients)
		if err != nil {
			return err
		}
		after, err := f.usage()
		growth = float64(after.entry.ResidentBytes) - float64(before.entry.ResidentBytes)
		return err
	})
	return growth, err
}

// requestCPU returns the agent's processor time, in microseconds, for requests on
// open flows.
func (b *flowBench) requestCPU(requests float64) (float64, error) {
	var cost float64
	err := b.withFleet(func(ctx context.Context, f *smallFleet) error {
		clients, err := f.openFlows(ctx, concurrentOpens)
		defer closeClients(clients)
		if err != nil {
			return err
		}
		before, err := f.usage()
		if err != nil {
			return err
		}
		err = forEachClient(ctx, clients, func(ctx context.Context, client *caller.Client) error {
			for range int(requests) / len(clients) {
				if err := sendRequest(ctx, client); err != nil {
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

// smallFleet is a fleet of one entry and one agent.
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

func (b *flowBench) withFleet(run func(context.Context, *smallFleet) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), measureTimeout)
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
		Slots:       concurrentOpens,
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
	if f.agent, err = w.StartAgent("host-1", smallZone, id, backend.Config{Slots: 2 * concurrentOpens}); err != nil {
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

// openFlows opens count flows and sends one request on each. It returns the
// clients also if an error occurs.
func (f *smallFleet) openFlows(ctx context.Context, count int) ([]*caller.Client, error) {
	clients := make([]*caller.Client, count)
	for i := range clients {
		clients[i] = f.world.Client(f.service)
	}
	return clients, forEachClient(ctx, clients, sendRequest)
}

func forEachClient(ctx context.Context, clients []*caller.Client, do func(context.Context, *caller.Client) error) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(concurrentOpens)
	for _, client := range clients {
		group.Go(func() error { return do(ctx, client) })
	}
	return group.Wait()
}

func sendRequest(ctx context.Context, client *caller.Client) error {
	_, err := client.Do(ctx, caller.Request{Method: http.MethodGet, Path: "/specimen"})
	return err
}

func closeClients(clients []*caller.Client) {
	for _, client := range clients {
		client.Close()
	}
}
