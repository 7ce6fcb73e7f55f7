package agent

import (
	"context"
	"net/http"
	"time"
)

// watchHealth looks at the backend server's health endpoint, and at the limit
// learned from the traffic, until ctx ends.
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

// HealthPath is the backend server's health endpoint. It answers 200 when
// healthy; 503 with the body "draining" when it drains.
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
