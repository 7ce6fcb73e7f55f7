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
	values Values
	stale  Values
	down   bool
	// watches holds the waiting watches by key.
	watches map[string][]func()
	// perSecond counts reads by second.
	perSecond map[int64]int
	waiting   int
}

// Put publishes a value.
func (p *Platform) Put(key string, data []byte) {
	p.values[key] = platform.Value{Key: key, Version: p.values[key].Version + 1, Data: data}
	p.wake(key)
}

// SetDown makes reads fail, or ends that.
func (p *Platform) SetDown(down bool) {
	p.down = down
	for key := range p.watches {
		p.wake(key)
	}
}

// Values is what a platform held at one moment.
type Values map[string]platform.Value

// Values returns the values of this moment.
func (p *Platform) Values() Values {
	return maps.Clone(p.values)
}

// Serve makes reads return the values given instead of the latest ones, or
// ends that when values is nil.
func (p *Platform) Serve(values Values) {
	p.stale = values
	for key := range p.watches {
		p.wake(key)
	}
}

// WorstSecond returns the greatest number of reads in one second from the
// time on. A watch counts as one.
func (p *Platform) WorstSecond(from time.Time) int {
	worst := 0
	for second, count := range p.perSecond {
		if second >= from.Unix() {
			worst = max(worst, count)
		}
	}
	return worst
}

// Reads returns the number of reads from the time on.
func (p *Platform) Reads(from time.Time) int {
	total := 0
	for second, count := range p.perSecond {
		if second >= from.Unix() {
			total += count
		}
	}
	return total
}

// Waiting returns the number of watches that wait.
func (p *Platform) Waiting() int {
	return p.waiting
}

func (p *Platform) wake(key string) {
	waiting := p.watches[key]
	delete(p.watches, key)
	for _, run := range waiting {
		run()
	}
}

// read answers a read of a node.
func (p *Platform) read(n *Node, read dissemination.Read) {
	started := p.net.Now()
	born := n.born
	answer := func(value platform.Value, err error) {
		p.net.after(p.net.latency(), func() {
			if n.platformCut {
				value, err = platform.Value{}, &platform.ReadError{Key: read.Key}
			}
			if n.born == born {
				n.handle(dissemination.ReadDone{Key: read.Key, StartedAt: started, Value: value, Err: err})
			}
		})
	}
	if n.platformCut {
		p.net.after(readTimeout+read.Wait, func() { answer(platform.Value{}, &platform.ReadError{Key: read.Key}) })
		return
	}
	p.net.after(p.net.latency(), func() {
		p.perSecond[p.net.Now().Unix()]++
		p.await(read, p.net.Now().Add(read.Wait), answer)
	})
}

const readTimeout = 2 * time.Second

// await answers when the value differs from what the reader has, or the time
// is over.
func (p *Platform) await(read dissemination.Read, until time.Time, answer func(platform.Value, error)) {
	value, err := p.look(read.Key)
	if err != nil || value.Version != read.After || !p.net.Now().Before(until) {
		answer(value, err)
		return
	}
	done := false
	p.waiting++
	again := func() {
		if !done {
			done = true
			p.waiting--
			p.await(read, until, answer)
		}
	}
	p.watches[read.Key] = append(p.watches[read.Key], again)
	p.net.after(until.Sub(p.net.Now()), again)
}

func (p *Platform) look(key string) (platform.Value, error) {
	if p.down {
		return platform.Value{}, &platform.ReadError{Key: key, Status: http.StatusServiceUnavailable}
	}
	values := p.values
	if p.stale != nil {
		values = p.stale
	}
	value, found := values[key]
	if !found {
		return platform.Value{}, &platform.ReadError{Key: key, Status: http.StatusNotFound}
	}
	return value, nil
}
