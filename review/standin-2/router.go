package main

import (
	"hash/fnv"
	"sync"
	"time"
)

// Readiness checks, as the platform's pages give them.
const (
	readyInterval = 500 * time.Millisecond
	maxMisses     = 2
)

// router chooses the entry for each packet of a requester, by a hash of the flow over the
// entries of its zone that are in rotation.
type router struct {
	lab *lab

	mu     sync.Mutex
	misses map[*machine]int
}

func newRouter(l *lab) *router {
	r := &router{lab: l, misses: make(map[*machine]int)}
	for _, m := range l.machines {
		if m.kind == kindEdge {
			go r.check(m)
		}
	}
	return r
}

func (r *router) check(m *machine) {
	for range time.Tick(readyInterval) {
		ready := m.isReady()
		r.mu.Lock()
		before := r.misses[m]
		if ready {
			r.misses[m] = 0
		} else {
			r.misses[m]++
		}
		if (before < maxMisses) != (r.misses[m] < maxMisses) {
			r.lab.record.note("%s in rotation: %v", m.name, r.misses[m] < maxMisses)
		}
		r.mu.Unlock()
	}
}

// entryFor returns the entry that gets a packet of a flow from a zone. If no entry of the
// zone is in rotation, the flow goes to one of another zone.
func (r *router) entryFor(zone string, k flowKey) *machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var near, all []*machine
	for _, m := range r.lab.machines {
		if m.kind != kindEdge || r.misses[m] >= maxMisses {
			continue
		}
		all = append(all, m)
		if m.zone == zone {
			near = append(near, m)
		}
	}
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return r.lab.machines[0] // The first machine is an entry.
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.String()))
	return near[int(h.Sum32())%len(near)]
}
