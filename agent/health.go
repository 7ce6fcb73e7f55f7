package agent

import (
	"context"
	"net/http"
	"time"
)

// pollHealth posts the backend server's health and the current concurrency limit
// to the engine at each HealthInterval, until ctx is done.
func (a *Agent) pollHealth(ctx context.Context) {
	client := &http.Client{Timeout: dialTimeout}
	ticker := time.NewTicker(a.config.HealthInterval)
	defer ticker.Stop()
	for {
		a.engine.Post(HealthChecked{Health: checkHealth(ctx, client, a.config.Backend)})
		a.engine.Post(LimitSampled{Limit: a.admitter.limit()})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// HealthPath is the path of the backend server's health endpoint. It responds
// with 200 when healthy, and with 503 and the body "draining" while draining.
const HealthPath = "/healthz"

func checkHealth(ctx context.Context, client *http.Client, backend string) Health {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, backend+HealthPath, nil)
	if err != nil {
		return HealthFailing
	}
	response, err := client.Do(request)
	if err != nil {
		return HealthFailing
	}
	defer func() { _ = response.Body.Close() }()
	body := make([]byte, len(drainingBody))
	n, _ := response.Body.Read(body)
	switch {
	case response.StatusCode == http.StatusOK:
		return HealthOK
	case string(body[:n]) == drainingBody:
		return HealthDraining
	default:
		return HealthFailing
	}
}

const drainingBody = "draining"
