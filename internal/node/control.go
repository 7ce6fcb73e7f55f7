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

// ControlPlane carries out the decisions of a process's replica: it runs the links
// and reads the platform.
type ControlPlane struct {
	reader       platform.Reader
	post         func(ctx context.Context, update Update)
	log          *logrus.Logger
	mesh         *mesh.Mesh
	pendingReads chan dissemination.Read
	snapshot     atomic.Pointer[Snapshot]
}

// maxPendingReads bounds the reads that wait to be sent.
const maxPendingReads = 1024

// NewControlPlane returns a control whose events go to post, which may block.
// Without TLS in the mesh's settings there are no links.
func NewControlPlane(config mesh.Config, state *State, reader platform.Reader, log *logrus.Logger, post func(context.Context, Update)) *ControlPlane {
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

// NewRandom returns a random source that differs with each start.
func NewRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// Run carries out effects until ctx ends.
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
	result := dissemination.ReadDone{Key: read.Key, Started: time.Now()}
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

// Execute carries out an effect and reports whether it was one of a replica.
func (c *ControlPlane) Execute(effect blackboard.Effect) bool {
	switch action := effect.(type) {
	case Snapshot:
		c.snapshot.Store(&action)
	case dissemination.Read:
		c.pendingReads <- action
	case dissemination.Action:
		if c.mesh != nil {
			c.mesh.Do(action)
		}
	default:
		return false
	}
	return true
}

// Snapshot returns the latest state of the replica, or nil.
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
