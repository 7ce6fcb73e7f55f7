package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// settlingEntries is the number of entries, all of which are seeds.
	settlingEntries = 2
	settlingHosts   = 6
	settlingFlows   = 36
	// outageTime is how long the store is away. Entries run out within three heartbeats.
	outageTime = 4500 * time.Millisecond
	// restartGap is the time between the stops of two agents, and stoppedAgents the number of
	// agents that are stopped and started in turn.
	restartGap    = 1300 * time.Millisecond
	stoppedAgents = 2
)

// settlingSeeds: the store is away and the hosts' entries lapse; seconds after its return the
// seeds are killed. Then agents are stopped and started one after the other. Requesters that
// had paused use flows which were open all the time.
func settlingSeeds(f *fleet, trouble bool) ([]string, error) {
	if err := f.startAll(settlingEntries, settlingHosts); err != nil {
		return nil, err
	}
	if !f.awaitReady(settlingEntries) {
		return nil, errors.New("the entries do not become ready")
	}
	r, err := newRouter(f, settlingEntries)
	if err != nil {
		return nil, err
	}
	defer close(r.ended)
	time.Sleep(contactTime)
	if trouble {
		f.lapse(outageTime)
	}
	time.Sleep(2 * contactTime)
	clients, flows, err := f.openFlows(r, 1, settlingFlows)
	if err != nil {
		return nil, err
	}
	if trouble {
		for n := 1; n <= settlingEntries; n++ {
			f.process(kindEntry, n).signal(syscall.SIGKILL)
		}
	}
	killedAt := time.Now()
	time.Sleep(2500 * time.Millisecond)
	for n := 1; n <= stoppedAgents; n++ {
		f.process(kindHost, n).signal(syscall.SIGTERM)
		time.Sleep(restartGap)
	}
	// The entries are in touch again contact_ms after their start.
	time.Sleep(time.Until(killedAt.Add(restartDelay + contactTime + 200*time.Millisecond)))
	var mu sync.Mutex
	var group sync.WaitGroup
	var broken []string
	judged := 0
	for i, fl := range flows {
		h := f.holderOf(fl.key)
		if h == nil {
			return nil, errors.New("a host does not hold its flow")
		}
		group.Go(func() {
			got := clients[i].request(fl)
			mu.Lock()
			defer mu.Unlock()
			judged++
			if got == outcomeReset && h.holdsOpen(fl.key) {
				broken = append(broken, fmt.Sprintf("FLOW: %v is open at host-%d, which serves, and was reset", fl.key, h.n))
			}
		})
	}
	group.Wait()
	f.record.say("%d flows were open all the time", judged)
	return broken, nil
}

// lapse makes the store unavailable for a time, in which the entries of all hosts run out. The
// hosts write them again within two seconds of its return.
func (f *fleet) lapse(length time.Duration) {
	f.record.add("the store is away; the entries of the hosts run out")
	f.store.SetUnavailable(true)
	time.Sleep(length)
	for _, h := range f.hosts {
		f.store.Delete("servers/" + h.id)
	}
	f.store.SetUnavailable(false)
	f.record.add("the store is back")
	var group sync.WaitGroup
	for _, h := range f.hosts {
		group.Go(func() {
			time.Sleep(time.Duration(rand.Int64N(int64(heartbeat))))
			h.register("ready")
		})
	}
	group.Wait()
}
