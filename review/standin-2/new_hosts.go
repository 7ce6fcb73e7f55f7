package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// playNewHosts replaces two hosts of zone b several times, the new ones first, while the
// entry of zone b is stopped and started. With trouble, the machine that reads the store for
// zone a is cut off from the store just before the new hosts are listed, for newHostsCut.
//
// Rule: FLOW (a). A requester gets a reset on an open flow whose host lives and holds it.
func playNewHosts(l *lab, trouble bool) (bool, error) {
	t := &newHosts{lab: l}
	if err := t.start(); err != nil {
		return false, err
	}
	for n := range newHostsRounds {
		if err := t.round(n, trouble); err != nil {
			return false, err
		}
	}
	return t.broken, nil
}

const (
	newHostsRounds = 6
	// newHostsCut is the length of a cut. The pages have core_cut for 5.5 s.
	newHostsCut = 4 * time.Second
	// bootTime is how long a new host takes to start after its machine. It is more than
	// contact_ms.
	bootTime = 5 * time.Second
	// replaced is the number of hosts that are replaced at a time.
	replaced = 2
	// drainFor is how long a host serves on once it drains. It is more than drain_ms.
	drainFor = 4 * time.Second
	// openInterval is the time between two new flows of zone b.
	openInterval = 1700 * time.Microsecond
	// openFor is how long flows are opened in a round.
	openFor = 900 * time.Millisecond
	// thinkTime is the pause between two requests on a flow.
	thinkTime = 120 * time.Millisecond
	// requestsOfFlow is the number of requests on a flow.
	requestsOfFlow = 10
)

type newHosts struct {
	lab        *lab
	requesters []*requester
	old        []*machine // The machines of zone b whose hosts are replaced next.
	cut        *machine

	mu     sync.Mutex
	hosts  map[flowKey]*host // The host at which each flow is open.
	broken bool
}

func (t *newHosts) start() error {
	l := t.lab
	t.hosts = make(map[flowKey]*host)
	l.onOpened = func(h *host, k flowKey) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.hosts[k] = h
	}
	for _, zone := range []string{"a", "b"} {
		if _, err := l.addMachine(kindEdge, zone, ""); err != nil {
			return err
		}
	}
	l.putConfig(2, []map[string]any{routeTo(0, "desk")}, "desk")
	for n := range 8 + newHostsRounds*replaced {
		zone := "b"
		if n < 6 {
			zone = "a"
		}
		m, err := l.addMachine(kindSide, zone, "desk")
		if err != nil {
			return err
		}
		if m.late = n >= 8; m.late {
			continue
		}
		if zone == "b" {
			t.old = append(t.old, m)
		}
		if err := t.startHost(m); err != nil {
			return err
		}
	}
	if err := l.startAll(); err != nil {
		return err
	}
	for n := range 8 {
		r, err := startRequester(l, n+1, "b")
		if err != nil {
			return err
		}
		t.requesters = append(t.requesters, r)
	}
	time.Sleep(6 * time.Second)
	return nil
}

func (t *newHosts) startHost(m *machine) error {
	var err error
	m.host, err = startHost(m, fmt.Sprintf("i-%d", m.n), m.service, 5, 5*time.Millisecond, t.ran)
	if err == nil {
		t.lab.put("servers/"+m.host.id, m.host.entry("ready", 0))
	}
	return err
}

func (t *newHosts) ran(h *host, id string, _ *hostFlow) {
	t.lab.record.note("%s runs at %s on %s", id, h.id, h.machine.name)
}

// round replaces the hosts of zone b.
func (t *newHosts) round(n int, trouble bool) error {
	l := t.lab
	fresh := l.machines[2+8+n*replaced:][:replaced]
	for _, m := range fresh {
		if err := m.start(); err != nil {
			return err
		}
	}
	time.Sleep(bootTime)
	edge := l.machines[1]
	if trouble {
		if t.cut = l.readerOf("a"); t.cut == nil {
			return errors.New("no machine of zone a reads the store")
		}
	}
	var group sync.WaitGroup
	l.record.note("%s is told to stop", edge.name)
	group.Go(edge.term)
	time.Sleep(300 * time.Millisecond)
	group.Go(func() { t.press(n) })
	if trouble {
		cut := t.cut
		cut.path.setCut(true)
		l.record.note("%s is cut off from the store", cut.name)
		time.AfterFunc(newHostsCut, func() {
			cut.path.setCut(false)
			l.record.note("%s reaches the store", cut.name)
		})
	}
	time.Sleep(50 * time.Millisecond)
	for _, m := range fresh {
		if err := t.startHost(m); err != nil {
			return err
		}
		l.record.note("%s starts on %s and is listed", m.host.id, m.name)
	}
	time.Sleep(2 * time.Second)
	for _, m := range t.old {
		l.put("servers/"+m.host.id, m.host.entry("draining", 0))
	}
	group.Wait()
	time.Sleep(drainFor)
	for _, m := range t.old {
		l.leave(m)
	}
	t.old = fresh
	time.Sleep(time.Second)
	return nil
}

// leave ends a host that has drained, and then its machine.
func (l *lab) leave(m *machine) {
	m.host.stop()
	l.store.Delete("servers/" + m.host.id)
	m.mu.Lock()
	m.held = true
	m.mu.Unlock()
	m.signal(syscall.SIGTERM)
	l.record.note("%s has left, and %s is stopped", m.host.id, m.name)
}

// press opens flows from zone b.
func (t *newHosts) press(round int) {
	var group sync.WaitGroup
	ticker := time.NewTicker(openInterval)
	defer ticker.Stop()
	n := 0
	for begin := time.Now(); time.Since(begin) < openFor; <-ticker.C {
		r, id := t.requesters[n%len(t.requesters)], fmt.Sprintf("q-%d-%05d", round, n)
		n++
		group.Go(func() { t.use(r, id) })
	}
	group.Wait()
}

// use opens a flow, sends requests on it and looks at resets.
func (t *newHosts) use(r *requester, id string) {
	f := r.open(routeOf(0))
	if f == nil {
		t.lab.record.note("%s is not opened", id)
		return
	}
	for n := range requestsOfFlow {
		name := fmt.Sprintf("%s-%02d", id, n)
		got := f.request(name, 1500*time.Millisecond)
		t.lab.record.note("%s on %v: %s", name, f.key, got)
		if got == reset {
			t.judge(f)
		}
		if got != answered {
			return
		}
		time.Sleep(thinkTime)
	}
	f.close()
}

// judge looks at a reset that a requester got on an open flow.
func (t *newHosts) judge(f *clientFlow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[f.key]
	sender := t.lab.machineAt(f.resetBy)
	switch {
	case h == nil || !h.holds(f.key) || sender == nil || sender == h.machine || sender == t.cut || h.machine == t.cut:
		t.lab.record.note("%v was reset by %v, which is allowed", f.key, f.resetBy)
	default:
		t.broken = true
		t.lab.record.say("FLOW: %v is open at %s on %s, which lives and holds it; %s reset it", f.key, h.id, h.machine.name, sender.name)
	}
}

func (l *lab) machineAt(ip fmt.Stringer) *machine {
	for _, m := range l.machines {
		if l.ip(m.kind, m.n).String() == ip.String() {
			return m
		}
	}
	return nil
}
