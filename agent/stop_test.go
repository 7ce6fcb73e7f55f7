package agent

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/audit"
	"github.com/turmericrock/turmericrock/platform"
)

// unavailablePlatform blocks each read until its context is done, then fails it.
type unavailablePlatform struct{}

// Read implements platform.Reader.
func (unavailablePlatform) Read(ctx context.Context, key string) (platform.Value, error) {
	return unavailablePlatform{}.Watch(ctx, key, 0, 0)
}

// Watch implements platform.Reader.
func (unavailablePlatform) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (platform.Value, error) {
	<-ctx.Done()
	return platform.Value{}, &platform.ReadError{Key: key, Err: ctx.Err()}
}

// Guards against an agent that runs on although it was told to stop before it had a
// configuration: Run waited for the first one only.
func TestAgentToldToStopBeforeItIsReadyEnds(t *testing.T) {
	template, _ := newTestAgent(t, "http://127.0.0.1:1", nil)
	a, err := New(template.config, template.ring, unavailablePlatform{}, template.log, audit.NewTrail(template.log, 10))
	must.NoError(t, err)
	a.Stop()
	ended := make(chan error, 1)
	go func() { ended <- a.Run(context.Background()) }()
	select {
	case err := <-ended:
		must.NoError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the agent runs on")
	}
}
