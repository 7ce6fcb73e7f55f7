// Package demo runs the fleets of two customers as processes on loopback,
// under load and through planned changes and failures. It then evaluates each
// guarantee of the system from what the callers and simulated backend servers
// counted.
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
	// Folder is the directory for settings, keys and logs.
	Folder string
	// LogLevel is the processes' log level.
	LogLevel string
	// Out receives the progress, the figures and the results.
	Out io.Writer
}

const (
	seed               = 930
	startTimeout       = 30 * time.Second
	fabricDetectionLag = time.Second
)

// demoRun is the state of a run.
type demoRun struct {
	config   Config
	world    *world.World
	services []fleetService
	load     *callers.LoadGenerator
	group    sync.WaitGroup

	mu       sync.Mutex
	observed observations
	errors   []error
}

// observations holds what the events recorded, in addition to the outcomes
// counted by the callers.
type observations struct {
	startedAt       time.Time
	events          map[string]int
	windows         []eventWindow
	tolerated       []callers.Disruption
	coldServers     []*coldServer
	lateRequests    int
	lateZoneTraffic int
	stopTimeouts    int
	activationTimes []time.Duration
	balances        []flowBalance
}

// eventWindow is the time span of one event.
type eventWindow struct {
	name     string
	from, to time.Time
}

// flowBalance is how evenly a burst of flows was distributed over hosts.
type flowBalance struct {
	name      string
	imbalance float64
	failed    int
}

// coldServer is a backend server that was started or restarted during the run.
type coldServer struct {
	node *world.Node
	// allowedOverloads is the number of requests that may exceed its capacity
	// before the cold start is detectable.
	allowedOverloads int
	overloadsBefore  int
}

// Run runs the demo and reports whether every promise was held. It returns an
// error if the run could not be completed.
func Run(ctx context.Context, config Config) (bool, error) {
	r := &demoRun{config: config, services: services()}
	r.observed.events = make(map[string]int)
	if err := r.start(ctx); err != nil {
		return false, err
	}
	defer r.world.Close()
	err := r.runEvents(ctx)
	r.group.Wait()
	r.load.Stop()
	if err == nil {
		err = errors.WithStack(ctx.Err())
	}
	if err == nil {
		err = r.firstError()
	}
	if err != nil {
		return false, err
	}
	return r.report(), nil
}

func (r *demoRun) start(ctx context.Context) error {
	config := world.Config{
		Binary:            r.config.Binary,
		Folder:            r.config.Folder,
		Zones:             zones(),
		Seed:              seed,
		LogLevel:          r.config.LogLevel,
		FabricUpdateDelay: fabricDetectionLag,
	}
	for _, service := range r.services {
		config.Services = append(config.Services, service.declaration())
	}
	w, err := world.New(config)
	if err != nil {
		return err
	}
	r.world = w
	if err := r.startNodes(ctx); err != nil {
		w.Close()
		return err
	}
	r.observed.startedAt = time.Now()
	r.startLoad(ctx)
	return nil
}

func (r *demoRun) startLoad(ctx context.Context) {
	r.load = callers.New(ctx, r.world, callers.DefaultConfig())
	for _, service := range r.services {
		r.load.StartSubmitters(service.id, service.submitters)
		r.load.StartFeedReaders(service.id, service.feeds)
	}
}

func (r *demoRun) startNodes(ctx context.Context) error {
	for i := range entryCount {
		if _, err := r.world.StartEntry(fmt.Sprintf("entry-%d", i+1), entryZone(i)); err != nil {
			return err
		}
	}
	for _, service := range r.services {
		for i := range service.hosts {
			if _, err := r.world.StartAgent(service.hostName(i), service.hostZone(i), service.id, service.backendConfig()); err != nil {
				return err
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, service := range r.services {
		if err := r.world.WaitReady(ctx, service.id); err != nil {
			return err
		}
	}
	return nil
}

// node returns host i of the service.
func (r *demoRun) node(id fleet.ServiceID, i int) *world.Node {
	return r.world.Node(r.serviceByID(id).hostName(i))
}

func (r *demoRun) serviceByID(id fleet.ServiceID) fleetService {
	i := slices.IndexFunc(r.services, func(s fleetService) bool { return s.id == id })
	return r.services[i]
}

// beginEvent prints and counts an event, and returns a function that marks its
// end.
func (r *demoRun) beginEvent(name string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := time.Now()
	r.observed.events[name]++
	_, _ = fmt.Fprintf(r.config.Out, "event at=%.1fs name=%s\n", from.Sub(r.observed.startedAt).Seconds(), name)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.observed.windows = append(r.observed.windows, eventWindow{name: name, from: from, to: time.Now()})
	}
}

// record updates the observations under the lock.
func (r *demoRun) record(update func(*observations)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.observed)
}

func (r *demoRun) recordError(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, err)
}

func (r *demoRun) firstError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.errors) == 0 {
		return nil
	}
	return r.errors[0]
}
