package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/internal/invariant"
	"github.com/turmericrock/turmericrock/internal/metrics"
	"github.com/turmericrock/turmericrock/mesh"
	"github.com/turmericrock/turmericrock/platform"
)

// ControlPlane performs the I/O of a process's replica: it runs the mesh links and
// reads from the platform.
type ControlPlane struct {
	reader       platform.Reader
	post         func(ctx context.Context, update Update)
	log          *logrus.Logger
	mesh         *mesh.Mesh
	pendingReads chan dissemination.Read
	snapshot     atomic.Pointer[Snapshot]
}

// maxPendingReads is the maximum number of platform reads queued for execution.
const maxPendingReads = 1024

// NewControlPlane returns a control plane that delivers its events by calling post,
// which may block. If config has no TLS configuration, no links are run.
func NewControlPlane(config mesh.Config, state *FleetState, reader platform.Reader, log *logrus.Logger, post func(context.Context, Update)) *ControlPlane {
	c := &ControlPlane{reader: reader, post: post, log: log, pendingReads: make(chan dissemination.Read, maxPendingReads)}
	if config.TLS == nil {
		return c
	}
	config.Hello = state.replica.Hello()
	c.mesh = mesh.New(config, func(ctx context.Context, event dissemination.Event) {
		post(ctx, ReplicaEvent{Event: event})
	})
	return c
}

// NewRandom returns a random source with a different seed in each process.
func NewRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// Run executes queued platform reads and runs the links until ctx is done. It
// returns the error of the mesh.
func (c *ControlPlane) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	if c.mesh == nil {
		c.serveReads(ctx)
		return nil
	}
	group.Go(func() { c.serveReads(ctx) })
	return c.mesh.Run(ctx)
}

func (c *ControlPlane) serveReads(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case read := <-c.pendingReads:
			group.Go(func() { c.read(ctx, read) })
		}
	}
}

func (c *ControlPlane) read(ctx context.Context, read dissemination.Read) {
	result := dissemination.ReadDone{Key: read.Key, StartedAt: time.Now()}
	if read.Wait > 0 {
		result.Value, result.Err = c.reader.Watch(ctx, read.Key, read.After, read.Wait)
	} else {
		result.Value, result.Err = c.reader.Read(ctx, read.Key)
	}
	if result.Err != nil && ctx.Err() == nil {
		c.log.WithFields(logrus.Fields{"key": read.Key, "error": result.Err}).Warn("platform_read_failed")
	}
	c.post(ctx, ReplicaEvent{Event: result})
}

// Execute performs an effect of the replica. It returns false if the effect is of
// another kind and was not handled. It blocks while too many reads are queued.
func (c *ControlPlane) Execute(effect blackboard.Effect) bool {
	switch action := effect.(type) {
	case Snapshot:
		c.snapshot.Store(&action)
	case dissemination.Read:
		c.pendingReads <- action
	case dissemination.Action:
		if c.mesh != nil {
			c.mesh.Apply(action)
		}
	default:
		return false
	}
	return true
}

// Snapshot returns the latest snapshot of the replica, or nil if there is none yet.
func (c *ControlPlane) Snapshot() *Snapshot {
	return c.snapshot.Load()
}

// Collect implements metrics.Source.
func (c *ControlPlane) Collect(emit func(metrics.Sample)) {
	if c.mesh != nil {
		c.mesh.Collect(emit)
	}
	if snapshot := c.snapshot.Load(); snapshot != nil {
		snapshot.collect(emit)
	}
	invariant.Source{}.Collect(emit)
}
