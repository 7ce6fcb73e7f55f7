// Package demo runs both customers' fleets as processes on loopback, under
// load and through planned changes and failures, and judges each promise by
// what callers and stand-ins counted.
package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/callers"
	"github.com/turmericrock/turmericrock/internal/standin/world"
)

// Config holds the settings of a run.
type Config struct {
	// Binary is the path of the turmericrock binary.
	Binary string
	// Folder takes settings, keys and logs.
	Folder string
	// LogLevel is the processes' log level.
	LogLevel string
	// Out takes the progress, the figures and the verdicts.
	Out io.Writer
}

const (
	seed         = 930
	startTimeout = 30 * time.Second
	sprayLag     = time.Second
)

// trial is one run.
type trial struct {
	config   Config
	world    *world.World
	services []fleetService
	load     *callers.LoadGenerator
	group    sync.WaitGroup

	mu     sync.Mutex
	facts  facts
	errors []error
}

// facts are what the events noted, beside what callers counted.
type facts struct {
	began     time.Time
	events    map[string]int
	windows   []window
	excuses   []callers.Disruption
	started   []*coldServer
	late      int
	zoneLate  int
	notInTime int
	inForce   []time.Duration
	balances  []balance
}

// window is the time of one event.
type window struct {
	name     string
	from, to time.Time
}

// balance is how many flows hosts were given at a moment.
type balance struct {
	name      string
	imbalance float64
	failed    int
}

// coldServer is a backend server that has started while the fleet served.
type coldServer struct {
	node *world.Node
	// allowed is the number of requests that reach it before anybody can
	// know that it is cold again.
	allowed int
	before  int
}

// Run runs the demo and reports whether every promise was held.
func Run(ctx context.Context, config Config) (bool, error) {
	t := &trial{config: config, services: services()}
	t.facts.events = make(map[string]int)
	if err := t.start(ctx); err != nil {
		return false, err
	}
	defer t.world.Close()
	err := t.play(ctx)
	t.group.Wait()
	t.load.Stop()
	if err == nil {
		err = errors.WithStack(ctx.Err())
	}
	if err == nil {
		err = t.firstError()
	}
	if err != nil {
		return false, err
	}
	return t.report(), nil
}

func (t *trial) start(ctx context.Context) error {
	config := world.Config{
		Binary:            t.config.Binary,
		Folder:            t.config.Folder,
		Zones:             zones(),
		Seed:              seed,
		LogLevel:          t.config.LogLevel,
		FabricUpdateDelay: sprayLag,
	}
	for _, service := range t.services {
		config.Services = append(config.Services, service.declaration())
	}
	w, err := world.New(config)
	if err != nil {
		return err
	}
	t.world = w
	if err := t.startNodes(ctx); err != nil {
		w.Close()
		return err
	}
	t.facts.began = time.Now()
	t.startLoad(ctx)
	return nil
}

func (t *trial) startLoad(ctx context.Context) {
	t.load = callers.New(ctx, t.world, callers.DefaultConfig())
	for _, service := range t.services {
		t.load.StartSubmitters(service.id, service.submitters)
		t.load.StartFeedReaders(service.id, service.feeds)
	}
}

func (t *trial) startNodes(ctx context.Context) error {
	for i := range entryCount {
		if _, err := t.world.StartEntry(fmt.Sprintf("entry-%d", i+1), entryZone(i)); err != nil {
			return err
		}
	}
	for _, service := range t.services {
		for i := range service.hosts {
			if _, err := t.world.StartAgent(service.host(i), service.zone(i), service.id, service.backend()); err != nil {
				return err
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, service := range t.services {
		if err := t.world.WaitReady(ctx, service.id); err != nil {
			return err
		}
	}
	return nil
}

// node returns host i of the service.
func (t *trial) node(id fleet.ServiceID, i int) *world.Node {
	return t.world.Node(t.service(id).host(i))
}

func (t *trial) service(id fleet.ServiceID) fleetService {
	i := slices.IndexFunc(t.services, func(s fleetService) bool { return s.id == id })
	return t.services[i]
}

// event prints and counts an event, and returns the function that ends it.
func (t *trial) event(name string) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	from := time.Now()
	t.facts.events[name]++
	_, _ = fmt.Fprintf(t.config.Out, "event at=%.1fs name=%s\n", from.Sub(t.facts.began).Seconds(), name)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.facts.windows = append(t.facts.windows, window{name: name, from: from, to: time.Now()})
	}
}

// note changes the facts.
func (t *trial) note(change func(*facts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.facts)
}

func (t *trial) fail(err error) {
	if err == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.errors = append(t.errors, err)
}

func (t *trial) firstError() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.errors) == 0 {
		return nil
	}
	return t.errors[0]
}
