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
	// maxConcurrentOpens bounds the flows that are opened at a time.
	maxConcurrentOpens = 32
	// openTimeout bounds the first answer on a flow.
	openTimeout = 10 * time.Second
	// singleLineFeedPath is a feed of one line, which takes no slot.
	singleLineFeedPath = FeedPath + "?n=1&ms=1"
)

// FlowDistribution is how flows that are open at the same time spread over hosts.
type FlowDistribution struct {
	FlowsPerHost map[string]int
	// Failed counts flows that could not be opened.
	Failed int
}

// Imbalance returns the flows of the fullest host over the mean of the hosts
// given.
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

// OpenFlows opens the flows, holds them together and closes them.
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

// openFlow returns the host that answers on a new flow.
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
