package world_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/caller"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/backend"
	"github.com/turmericrock/turmericrock/internal/standin/world"
)

func TestRequestsReachBackendServersOfTheirService(t *testing.T) {
	folder := t.TempDir()
	binary, err := world.Build(folder)
	must.NoError(t, err)

	serviceIDs := []fleet.ServiceID{
		{Customer: "quillhaven", Name: "proofs"},
		{Customer: "teifi", Name: "proofs"},
	}
	config := world.Config{
		Binary: binary,
		Folder: folder,
		Zones:  []fleet.Zone{{Name: "maes-1", Region: "wales", Number: 1}},
	}
	for _, id := range serviceIDs {
		config.Services = append(config.Services, fleet.Service{
			ID:          id,
			Slots:       5,
			Connections: 100,
			Zones:       []string{"maes-1"},
			Drain:       time.Second,
		})
	}
	w, err := world.New(config)
	must.NoError(t, err)
	defer w.Close()
	for _, id := range []string{"entry-1", "entry-2"} {
		_, err := w.StartEntry(id, "maes-1")
		must.NoError(t, err)
	}
	for _, id := range serviceIDs {
		_, err := w.StartAgent(id.Customer+"-1", "maes-1", id, backend.Config{Slots: 5, ServiceTime: time.Millisecond})
		must.NoError(t, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for _, id := range serviceIDs {
		must.NoError(t, w.WaitReady(ctx, id))
		client := w.Client(id)
		for range 20 {
			response, err := client.Do(ctx, caller.Request{Method: http.MethodPost, Path: "/order", Body: []byte("psalm 23")})
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, response.Status)
			must.StrHasPrefix(t, id.String()+" /order", string(response.Body))
		}
		client.Close()
	}
}
