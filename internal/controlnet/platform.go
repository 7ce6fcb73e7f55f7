package controlnet

import (
	"maps"
	"net/http"
	"time"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/platform"
)

// Platform is a fake of the platform that holds values in memory.
type Platform struct {
	net    *Network
	values Snapshot
	served Snapshot
	down   bool
	// watches holds the waiting watches by key.
	watches map[string][]func()
	// readsPerSecond counts reads by second.
	readsPerSecond map[int64]int
	pendingWatches int
}

// Put publishes a value.
func (p *Platform) Put(key string, data []byte) {
	p.values[key] = platform.Value{Key: key, Version: p.values[key].Version + 1, Data: data}
	p.notify(key)
}

// SetDown makes reads fail, or ends that.
func (p *Platform) SetDown(down bool) {
	p.down = down
	for key := range p.watches {
		p.notify(key)
	}
}

// Snapshot is what a platform held at one moment.
type Snapshot map[string]platform.Value

// Snapshot returns the values of this moment.
func (p *Platform) Snapshot() Snapshot {
	return maps.Clone(p.values)
}

// ServeSnapshot makes reads return the values given instead of the latest ones, or
// ends that when values is nil.
func (p *Platform) ServeSnapshot(snapshot Snapshot) {
	p.served = snapshot
	for key := range p.watches {
		p.notify(key)
	}
}

// PeakReadsPerSecond returns the greatest number of reads in one second from the
// time on. A watch counts as one.
func (p *Platform) PeakReadsPerSecond(from time.Time) int {
	peak := 0
	for second, count := range p.readsPerSecond {
		if second >= from.Unix() {
			peak = max(peak, count)
		}
	}
	return peak
}

// Reads returns the number of reads from the time on.
func (p *Platform) Reads(from time.Time) int {
	total := 0
	for second, count := range p.readsPerSecond {
		if second >= from.Unix() {
			total += count
		}
	}
	return total
}

// PendingWatches returns the number of watches that wait.
func (p *Platform) PendingWatches() int {
	return p.pendingWatches
}

func (p *Platform) notify(key string) {
	callbacks := p.watches[key]
	delete(p.watches, key)
	for _, run := range callbacks {
		run()
	}
}

// read answers a read of a node.
func (p *Platform) read(n *Node, read dissemination.Read) {
	started := p.net.Now()
	incarnation := n.incarnation
	respond := func(value platform.Value, err error) {
		p.net.afterFunc(p.net.latency(), func() {
			if n.platformUnreachable {
				value, err = platform.Value{}, &platform.ReadError{Key: read.Key}
			}
			if n.incarnation == incarnation {
				n.handle(dissemination.ReadDone{Key: read.Key, Started: started, Value: value, Err: err})
			}
		})
	}
	if n.platformUnreachable {
		p.net.afterFunc(readTimeout+read.Wait, func() { respond(platform.Value{}, &platform.ReadError{Key: read.Key}) })
		return
	}
	p.net.afterFunc(p.net.latency(), func() {
		p.readsPerSecond[p.net.Now().Unix()]++
		p.respondOnChange(read, p.net.Now().Add(read.Wait), respond)
	})
}

const readTimeout = 2 * time.Second

// respondOnChange answers when the value differs from what the reader has, or the time
// is over.
func (p *Platform) respondOnChange(read dissemination.Read, deadline time.Time, respond func(platform.Value, error)) {
	value, err := p.lookup(read.Key)
	if err != nil || value.Version != read.After || !p.net.Now().Before(deadline) {
		respond(value, err)
		return
	}
	done := false
	p.pendingWatches++
	recheck := func() {
		if !done {
			done = true
			p.pendingWatches--
			p.respondOnChange(read, deadline, respond)
		}
	}
	p.watches[read.Key] = append(p.watches[read.Key], recheck)
	p.net.afterFunc(deadline.Sub(p.net.Now()), recheck)
}

func (p *Platform) lookup(key string) (platform.Value, error) {
	if p.down {
		return platform.Value{}, &platform.ReadError{Key: key, Status: http.StatusServiceUnavailable}
	}
	values := p.values
	if p.served != nil {
		values = p.served
	}
	value, found := values[key]
	if !found {
		return platform.Value{}, &platform.ReadError{Key: key, Status: http.StatusNotFound}
	}
	return value, nil
}
