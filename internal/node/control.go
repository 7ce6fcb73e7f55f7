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

// Control carries out the decisions of a process's replica: it runs the links
// and reads the platform.
type Control struct {
	reader platform.Reader
	post   func(ctx context.Context, update Update)
	log    *logrus.Logger
	mesh   *mesh.Mesh
	reads  chan dissemination.Read
	latest atomic.Pointer[Snapshot]
}

// maxReads bounds the reads that wait to be sent.
const maxReads = 1024

// NewControl returns a control whose events go to post, which may block.
// Without TLS in the mesh's settings there are no links.
func NewControl(config mesh.Config, facts *Facts, reader platform.Reader, log *logrus.Logger, post func(context.Context, Update)) *Control {
	c := &Control{reader: reader, post: post, log: log, reads: make(chan dissemination.Read, maxReads)}
	if config.TLS == nil {
		return c
	}
	config.Hello = facts.replica.Hello()
	c.mesh = mesh.New(config, func(ctx context.Context, event dissemination.Event) {
		post(ctx, Happened{Event: event})
	})
	return c
}

// NewRandom returns a random source that differs with each start.
func NewRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// Run carries out effects until ctx ends.
func (c *Control) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	if c.mesh == nil {
		c.readAll(ctx)
		return nil
	}
	group.Go(func() { c.readAll(ctx) })
	return c.mesh.Run(ctx)
}

func (c *Control) readAll(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case read := <-c.reads:
			group.Go(func() { c.read(ctx, read) })
		}
	}
}

func (c *Control) read(ctx context.Context, read dissemination.Read) {
	done := dissemination.ReadDone{Key: read.Key, StartedAt: time.Now()}
	if read.Wait > 0 {
		done.Value, done.Err = c.reader.Watch(ctx, read.Key, read.After, read.Wait)
	} else {
		done.Value, done.Err = c.reader.Read(ctx, read.Key)
	}
	if done.Err != nil && ctx.Err() == nil {
		c.log.WithFields(logrus.Fields{"key": read.Key, "error": done.Err}).Warn("platform_read_failed")
	}
	c.post(ctx, Happened{Event: done})
}

// Execute carries out an effect and reports whether it was one of a replica.
func (c *Control) Execute(effect blackboard.Effect) bool {
	switch action := effect.(type) {
	case Snapshot:
		c.latest.Store(&action)
	case dissemination.Read:
		c.reads <- action
	case dissemination.Action:
		if c.mesh != nil {
			c.mesh.Apply(action)
		}
	default:
		return false
	}
	return true
}

// Snapshot returns the latest state of the replica, or nil.
func (c *Control) Snapshot() *Snapshot {
	return c.latest.Load()
}

// Collect implements metrics.Source.
func (c *Control) Collect(emit func(metrics.Sample)) {
	if c.mesh != nil {
		c.mesh.Collect(emit)
	}
	if snapshot := c.latest.Load(); snapshot != nil {
		snapshot.collect(emit)
	}
	invariant.Source{}.Collect(emit)
}
