package world

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/caller"
	"github.com/turmericrock/turmericrock/fleet"
)

const pollInterval = 100 * time.Millisecond

// WaitReady waits until a request to the service succeeds or ctx ends.
func (w *World) WaitReady(ctx context.Context, id fleet.ServiceID) error {
	client := w.Client(id)
	defer client.Close()
	return Await(ctx, func() bool {
		response, err := client.Do(ctx, caller.Request{Method: http.MethodGet, Path: "/ready"})
		return err == nil && response.Status == http.StatusOK
	})
}

// Await polls until the condition holds. It returns the error of ctx if ctx
// ends first.
func Await(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Sleep waits for the duration d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Build builds the turmericrock binary into the folder and returns its path.
func Build(folder string) (string, error) {
	binary := filepath.Join(folder, "turmericrock")
	command := exec.Command("go", "build", "-o", binary, "github.com/turmericrock/turmericrock/cmd/turmericrock")
	command.Stdout = os.Stderr
	command.Stderr = os.Stderr
	return binary, errors.WithStack(command.Run())
}
