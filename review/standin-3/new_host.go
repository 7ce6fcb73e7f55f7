package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// clockAhead is by how much the new machine's time of day is ahead at first.
	clockAhead     = 2400 * time.Millisecond
	newHostEntries = 2
	oldHosts       = 2
	newHostFlows   = 18
)

// newHost: a host is added, on a machine whose time of day is ahead and jumps back; then all
// processes of the system are killed at once. Requesters use flows that were open before. With
// CLOCK=0 the time of day is right, and the processes are killed even so.
func newHost(f *fleet, trouble bool) ([]string, error) {
	if err := f.startAll(newHostEntries, oldHosts); err != nil {
		return nil, err
	}
	if !f.awaitReady(newHostEntries) {
		return nil, errors.New("the entries do not become ready")
	}
	r, err := newRouter(f, newHostEntries)
	if err != nil {
		return nil, err
	}
	defer close(r.ended)
	time.Sleep(contactTime)
	ahead := time.Duration(0)
	if trouble && os.Getenv("CLOCK") != "0" {
		ahead = clockAhead
		f.record.add("the time of day of machine 3 is ahead by %v", ahead)
	}
	added, err := f.startHost(oldHosts+1, ahead)
	if err != nil {
		return nil, err
	}
	if _, err := f.start(kindHost, oldHosts+1); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	clients, flows, err := f.openFlows(r, 1, newHostFlows)
	if err != nil {
		return nil, err
	}
	if trouble {
		f.record.add("the time of day of machine 3 jumps back; all processes are killed")
		if err := f.killAll(newHostEntries); err != nil {
			return nil, err
		}
	}
	time.Sleep(contactTime + time.Second)
	var mu sync.Mutex
	var group sync.WaitGroup
	var broken []string
	atNew := 0
	for i, fl := range flows {
		h := f.holderOf(fl.key)
		if h == nil {
			return nil, errors.New("a host does not hold its flow")
		}
		if h == added {
			atNew++
		}
		group.Go(func() {
			if got := clients[i].request(fl); got == outcomeReset && h.holdsOpen(fl.key) {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("FLOW: %v is open at host-%d, which serves, and was reset", fl.key, h.n))
			}
		})
	}
	group.Wait()
	f.record.say("%d flows were open before, %d of them at the new host", len(flows), atNew)
	if atNew == 0 {
		return nil, errors.New("no flow was opened at the new host")
	}
	return broken, nil
}
