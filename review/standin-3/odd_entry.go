package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

const (
	oddEntries   = 2 // Entries of the system.
	oddHosts     = 3
	oddRequester = 24
	// oddInterval is the time between two writes of the other writer.
	oddInterval = time.Second
	// lingerTime is how long a host serves after its report that it drains, drain_ms and
	// a little longer.
	lingerTime = 8 * time.Second
)

// oddEntry: another writer keeps an entry that repeats all fields of a host but its start. The
// host drains and leaves.
func oddEntry(f *fleet, trouble bool) ([]string, error) {
	stopped := make(chan struct{})
	var group sync.WaitGroup
	if trouble {
		f.writeOddEntry(1)
		group.Go(func() {
			for sequence := 2; ; sequence++ {
				select {
				case <-stopped:
					return
				case <-time.After(oddInterval):
					f.writeOddEntry(sequence)
				}
			}
		})
	}
	defer group.Wait()
	if err := f.startAll(oddEntries, oddHosts); err != nil {
		close(stopped)
		return nil, err
	}
	if !f.awaitReady(oddEntries) {
		close(stopped)
		return nil, errors.New("the entries do not become ready")
	}
	r, err := newRouter(f, oddEntries)
	if err != nil {
		close(stopped)
		return nil, err
	}
	time.Sleep(contactTime)
	var mu sync.Mutex
	opened := make(map[flow.Key]time.Duration)
	answered, lost := 0, 0
	var drainedAt time.Duration
	leaving := f.hosts[0]
	// isLate reports whether the leaving host took an opening that was sent after the bound.
	isLate := func(fl *clientFlow) bool {
		return drainedAt > 0 && fl.sentAt > drainedAt+drainTime && leaving.took(fl.key)
	}
	for n := 1; n <= oddRequester; n++ {
		q, err := f.newRequester(r, n)
		if err != nil {
			close(stopped)
			return nil, err
		}
		group.Go(func() {
			for {
				select {
				case <-stopped:
					return
				default:
				}
				fl, got := q.open()
				if got != outcomeDone {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				mu.Lock()
				opened[fl.key] = fl.sentAt
				mu.Unlock()
				for range 2 {
					got := q.request(fl)
					mu.Lock()
					switch {
					case got == outcomeDone, got == outcomeClosed:
						answered++
					case isLate(fl):
						lost++
					}
					mu.Unlock()
					if got != outcomeDone {
						break
					}
					time.Sleep(20 * time.Millisecond)
				}
				q.close(fl)
			}
		})
	}
	time.Sleep(contactTime)
	leaving.register("draining")
	mu.Lock()
	drainedAt = f.record.now()
	mu.Unlock()
	time.Sleep(lingerTime)
	leaving.exit()
	f.record.add("agent-1 gets SIGTERM, since its host has left")
	f.process(kindHost, 1).remove(syscall.SIGTERM)
	time.Sleep(timeLimit + time.Second)
	close(stopped)
	group.Wait()
	close(r.ended)
	if answered == 0 {
		return nil, errors.New("no request was answered")
	}
	var broken []string
	for key, sentAt := range opened {
		if sentAt > drainedAt+drainTime && leaving.took(key) {
			broken = append(broken, fmt.Sprintf("DRAIN: the opening of %v was sent %.1f s after the store had the report that host-1 drains, and host-1 took it", key, (sentAt-drainedAt).Seconds()))
		}
	}
	f.record.say("%d requests were answered; %d on flows that the leaving host took too late were not", answered, lost)
	return broken, nil
}

// writeOddEntry writes another writer's entry with the address of the first host. It lacks
// the field born.
func (f *fleet) writeOddEntry(sequence int) {
	f.put("servers/legacy-1", map[string]any{
		"backend": service, "address": f.addr(kindHost, 1, portHost).String(), "zone": zone, "version": "v1",
		"concurrency": slots, "state": "ready", "warmup_left_ms": 0, "sequence": sequence,
	})
	f.record.add("another writer writes servers/legacy-1, sequence %d, without born", sequence)
}
