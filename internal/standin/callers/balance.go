package callers

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/turmericrock/turmericrock/caller"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/backend"
	"github.com/turmericrock/turmericrock/internal/standin/world"
)

const (
	// maxConcurrentOpens limits how many flows are being opened at the same
	// time.
	maxConcurrentOpens = 32
	// openTimeout limits the time until the first response on a new flow.
	openTimeout = 10 * time.Second
	// singleLineFeedPath requests a feed of one line. Feeds do not occupy a
	// request slot of the backend server.
	singleLineFeedPath = FeedPath + "?n=1&ms=1"
)

// FlowDistribution tells how a set of concurrently open flows is distributed
// over hosts.
type FlowDistribution struct {
	FlowsPerHost map[string]int
	// Failed is the number of flows that could not be opened.
	Failed int
}

// Imbalance returns the flow count of the most loaded host divided by the mean
// over the given number of hosts, or 0 if there are no flows or no hosts.
func (d FlowDistribution) Imbalance(hosts int) float64 {
	total, maxFlows := 0, 0
	for _, flows := range d.FlowsPerHost {
		total += flows
		maxFlows = max(maxFlows, flows)
	}
	if total == 0 || hosts == 0 {
		return 0
	}
	return float64(maxFlows) * float64(hosts) / float64(total)
}

// OpenFlows opens the given number of flows, keeps all of them open until the
// last one has been answered or has failed, and then closes them.
func OpenFlows(ctx context.Context, w *world.World, service fleet.ServiceID, flows int) FlowDistribution {
	distribution := FlowDistribution{FlowsPerHost: make(map[string]int)}
	var mu sync.Mutex
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentOpens)
	clients := make([]*caller.Client, flows)
	for i := range clients {
		clients[i] = w.Client(service)
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			host, found := openFlow(ctx, clients[i], service)
			mu.Lock()
			defer mu.Unlock()
			if !found {
				distribution.Failed++
				return
			}
			distribution.FlowsPerHost[host]++
		})
	}
	group.Wait()
	for _, client := range clients {
		client.Close()
	}
	return distribution
}

// openFlow opens a flow and returns the host that answers on it.
func openFlow(ctx context.Context, client *caller.Client, service fleet.ServiceID) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	response, err := client.Do(ctx, newRequest(http.MethodGet, singleLineFeedPath, service))
	if err != nil {
		return "", false
	}
	_, host, found := strings.Cut(response.Header.Get(backend.HeaderServedBy), "@")
	return host, found
}
