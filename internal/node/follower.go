package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/platform"
)

const (
	watchWait  = 20 * time.Second
	retryAfter = 500 * time.Millisecond
)

// Follower brings the configuration and the VM lists from the platform.
type Follower struct {
	reader platform.Reader
	post   func(Update)
	log    *logrus.Logger
	parts  map[string][]byte
}

// NewFollower returns a follower that hands updates to post.
func NewFollower(reader platform.Reader, post func(Update), log *logrus.Logger) *Follower {
	return &Follower{reader: reader, post: post, log: log, parts: make(map[string][]byte)}
}

// Run follows the manifest, and the VM list of each zone that it declares,
// until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	zones := make(map[string]bool)
	var after uint64
	for ctx.Err() == nil {
		asOf := time.Now()
		value, err := f.reader.Watch(ctx, platform.KeyManifest, after, watchWait)
		if err != nil {
			f.backOff(ctx, platform.KeyManifest, err)
			continue
		}
		if value.Version == after {
			asOf = time.Now()
		}
		config, err := f.assemble(ctx, value.Data)
		if err != nil {
			f.backOff(ctx, platform.KeyManifest, err)
			continue
		}
		after = value.Version
		f.post(ConfigOffered{Config: config, AsOf: asOf, Source: "platform"})
		f.followZones(ctx, config, zones)
	}
}

func (f *Follower) assemble(ctx context.Context, data []byte) (*fleet.Config, error) {
	manifest, err := fleet.DecodeManifest(data)
	if err != nil {
		return nil, err
	}
	parts := make(map[string][]byte, len(manifest.Parts))
	for _, ref := range manifest.Parts {
		if held, found := f.parts[ref.Digest]; found {
			parts[ref.Digest] = held
			continue
		}
		value, err := f.reader.Read(ctx, platform.KeyPart(ref.Digest))
		if err != nil {
			return nil, err
		}
		parts[ref.Digest] = value.Data
	}
	config, err := fleet.Assemble(manifest, parts, false)
	if err != nil {
		return nil, err
	}
	f.parts = parts
	return config, nil
}

func (f *Follower) followZones(ctx context.Context, config *fleet.Config, zones map[string]bool) {
	for _, zone := range config.Manifest.Zones {
		if zones[zone.Name] {
			continue
		}
		zones[zone.Name] = true
		go f.followList(ctx, platform.KeyVMs(zone.Name))
	}
}

func (f *Follower) followList(ctx context.Context, key string) {
	var after uint64
	for ctx.Err() == nil {
		value, err := f.reader.Watch(ctx, key, after, watchWait)
		if err != nil {
			f.backOff(ctx, key, err)
			continue
		}
		list, err := fleet.DecodeVMList(value.Data)
		if err != nil {
			f.backOff(ctx, key, err)
			continue
		}
		after = value.Version
		list.Version = value.Version
		f.post(ListOffered{List: list, Source: "platform"})
	}
}

func (f *Follower) backOff(ctx context.Context, key string, err error) {
	f.log.WithFields(logrus.Fields{"key": key, "error": err}).Warn("platform_read_failed")
	select {
	case <-ctx.Done():
	case <-time.After(retryAfter):
	}
}
