package controlnet

import (
	"maps"
	"net/http"
	"time"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/platform"
)

// Platform is an in-memory fake of the configuration platform. Reads may wait
// for a change of a key, as a long poll does.
type Platform struct {
	net    *Network
	values Snapshot
	served Snapshot
	down   bool
	// watches holds the callbacks of waiting reads by key.
	watches map[string][]func()
	// readsPerSecond counts reads by Unix second.
	readsPerSecond map[int64]int
	pendingWatches int
}

// Put stores a value under the next version of its key.
func (p *Platform) Put(key string, data []byte) {
	p.values[key] = platform.Value{Key: key, Version: p.values[key].Version + 1, Data: data}
	p.notify(key)
}

// SetDown makes reads fail with status 503, or ends the outage.
func (p *Platform) SetDown(down bool) {
	p.down = down
	for key := range p.watches {
		p.notify(key)
	}
}

// Snapshot holds the values of a platform at one moment, by key.
type Snapshot map[string]platform.Value

// Snapshot returns a copy of the current values.
func (p *Platform) Snapshot() Snapshot {
	return maps.Clone(p.values)
}

// ServeSnapshot makes reads return the values of the snapshot instead of the
// latest ones. A nil snapshot restores the latest ones.
func (p *Platform) ServeSnapshot(snapshot Snapshot) {
	p.served = snapshot
	for key := range p.watches {
		p.notify(key)
	}
}

// PeakReadsPerSecond returns the greatest number of reads in any second since
// the given time. A read that waits for a change counts once.
func (p *Platform) PeakReadsPerSecond(from time.Time) int {
	peak := 0
	for second, count := range p.readsPerSecond {
		if second >= from.Unix() {
			peak = max(peak, count)
		}
	}
	return peak
}

// Reads returns the number of reads since the given time.
func (p *Platform) Reads(from time.Time) int {
	total := 0
	for second, count := range p.readsPerSecond {
		if second >= from.Unix() {
			total += count
		}
	}
	return total
}

// PendingWatches returns the number of reads that are waiting for a change.
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

// read serves a node's read after the network delay. Results for a process
// that has since been restarted are dropped.
func (p *Platform) read(n *Node, read dissemination.Read) {
	started := p.net.Now()
	incarnation := n.incarnation
	respond := func(value platform.Value, err error) {
		p.net.afterFunc(p.net.latency(), func() {
			if n.platformUnreachable {
				value, err = platform.Value{}, &platform.ReadError{Key: read.Key}
			}
			if n.incarnation == incarnation {
				n.handle(dissemination.ReadDone{Key: read.Key, StartedAt: started, Value: value, Err: err})
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

// respondOnChange responds once the read fails, the version of the value
// differs from the one the reader has, or the deadline is reached.
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
