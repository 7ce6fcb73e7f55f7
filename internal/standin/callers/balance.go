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
	// opening bounds the flows that are opened at a time.
	opening = 32
	// openTimeout bounds the first answer on a flow.
	openTimeout = 10 * time.Second
	// shortFeed is a feed of one line, which takes no slot.
	shortFeed = FeedPath + "?n=1&ms=1"
)

// FlowDistribution is how flows that are open at the same time spread over hosts.
type FlowDistribution struct {
	FlowsPerHost map[string]int
	// Failed counts flows that could not be opened.
	Failed int
}

// Imbalance returns the flows of the fullest host over the mean of the hosts
// given.
func (b FlowDistribution) Imbalance(hosts int) float64 {
	sum, most := 0, 0
	for _, flows := range b.FlowsPerHost {
		sum += flows
		most = max(most, flows)
	}
	if sum == 0 || hosts == 0 {
		return 0
	}
	return float64(most) * float64(hosts) / float64(sum)
}

// OpenFlows opens the flows, holds them together and closes them.
func OpenFlows(ctx context.Context, w *world.World, service fleet.ServiceID, flows int) FlowDistribution {
	balance := FlowDistribution{FlowsPerHost: make(map[string]int)}
	var mu sync.Mutex
	var group sync.WaitGroup
	turns := make(chan struct{}, opening)
	clients := make([]*caller.Client, flows)
	for i := range clients {
		clients[i] = w.Client(service)
		group.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			host, found := openFlow(ctx, clients[i], service)
			mu.Lock()
			defer mu.Unlock()
			if !found {
				balance.Failed++
				return
			}
			balance.FlowsPerHost[host]++
		})
	}
	group.Wait()
	for _, client := range clients {
		client.Close()
	}
	return balance
}

// openFlow returns the host that answers on a new flow.
func openFlow(ctx context.Context, client *caller.Client, service fleet.ServiceID) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	response, err := client.Do(ctx, newRequest(http.MethodGet, shortFeed, service))
	if err != nil {
		return "", false
	}
	_, host, found := strings.Cut(response.Header.Get(backend.HeaderServedBy), "@")
	return host, found
}
