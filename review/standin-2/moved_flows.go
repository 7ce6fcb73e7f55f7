package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// playMovedFlows moves a route to another service, whose new flows go there, while callers
// keep their flows open at the old one. With trouble, all processes are killed at the same
// moment some seconds later, and start again. The hosts live on.
//
// Rule: FLOW (b). For 2 s three or more packets of a flow reach other hosts and none its own,
// although its host lives and no machine was killed in the 4 s before.
func playMovedFlows(l *lab, trouble bool) (bool, error) {
	t := &movedFlows{lab: l, declared: []string{"desk", "gallery"}, flows: make(map[flowKey]*movedFlow)}
	if err := t.start(); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	for n := range clerks {
		group.Go(func() { t.clerk(n) })
	}
	time.Sleep(12 * time.Second)
	t.publish(4, "gallery")
	l.record.note("version 4 is confirmed: the route goes to gallery")
	time.Sleep(8 * time.Second)
	if trouble {
		for _, m := range l.machines {
			m.signal(syscall.SIGKILL)
		}
		t.killedAt = l.record.now()
		l.record.note("all processes are killed")
	}
	time.Sleep(20 * time.Second)
	t.stop.Store(true)
	group.Wait()
	return t.judge(), nil
}

const (
	// clerks is the number of callers, each with a flow that it keeps.
	clerks = 24
	// shortestPause and longestPause are the pauses of a caller between two requests. They
	// are shorter than idle_timeout_ms.
	shortestPause, longestPause = 5 * time.Second, 9 * time.Second
	// contact is contact_ms, strayFor flow_stray_ms and strays the number of packets.
	contact, strayFor, strays = 4 * time.Second, 2 * time.Second, 3
	// clerkLimit is the time limit of a request.
	clerkLimit = 2500 * time.Millisecond
)

type movedFlows struct {
	lab        *lab
	requesters []*requester
	killedAt   time.Duration
	// declared are the services of the configuration.
	declared []string
	stop     atomic.Bool

	mu    sync.Mutex
	flows map[flowKey]*movedFlow
}

// movedFlow is an open flow with the packets that hosts got of it.
type movedFlow struct {
	host *host
	// lost are the requests without an answer.
	lost []lostRequest
	got  []gotPacket
}

type lostRequest struct {
	id     string
	sentAt time.Duration
	// resetBy is the machine that reset the flow, if one did.
	resetBy *machine
}

type gotPacket struct {
	at   time.Duration
	host *host
}

func (t *movedFlows) publish(version int, service string) {
	t.lab.putConfig(version, []map[string]any{routeTo(0, service)}, t.declared...)
}

func (t *movedFlows) start() error {
	l := t.lab
	l.onOpened = func(h *host, k flowKey) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.flows[k] = &movedFlow{host: h}
	}
	l.onPacket = t.got
	for _, zone := range []string{"a", "b"} {
		if _, err := l.addMachine(kindEdge, zone, ""); err != nil {
			return err
		}
	}
	t.publish(2, "desk")
	for _, zone := range []string{"a", "b"} {
		for _, service := range []string{"desk", "desk", "gallery", "gallery"} {
			m, err := l.addMachine(kindSide, zone, service)
			if err != nil {
				return err
			}
			if m.host, err = startHost(m, fmt.Sprintf("i-%d", m.n), service, 5, 30*time.Millisecond, t.ran); err != nil {
				return err
			}
			l.put("servers/"+m.host.id, m.host.entry("ready", 0))
		}
	}
	if err := l.startAll(); err != nil {
		return err
	}
	for n, zone := range []string{"a", "b"} {
		r, err := startRequester(l, n+1, zone)
		if err != nil {
			return err
		}
		t.requesters = append(t.requesters, r)
	}
	time.Sleep(5 * time.Second)
	return nil
}

func (t *movedFlows) ran(h *host, id string, _ *hostFlow) {
	t.lab.record.note("%s runs at %s of %s on %s", id, h.id, h.service, h.machine.name)
}

// got is called for each packet but openings that a host gets.
func (t *movedFlows) got(h *host, k flowKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.flows[k]; f != nil {
		f.got = append(f.got, gotPacket{t.lab.record.now(), h})
		if f.host != h {
			t.lab.record.note("a packet of %v, which is open at %s, reaches %s of %s", k, f.host.id, h.id, h.service)
		}
	}
}

// clerk keeps a flow open, with pauses between the requests, and opens another one only when
// a request fails.
func (t *movedFlows) clerk(n int) {
	r := t.requesters[n%len(t.requesters)]
	var f *clientFlow
	for count := 0; !t.stop.Load(); count++ {
		if f == nil {
			if f = r.open(routeOf(0)); f == nil {
				time.Sleep(time.Second)
				continue
			}
		}
		id, sentAt := fmt.Sprintf("q-%02d-%02d", n, count), t.lab.record.now()
		got := f.request(id, clerkLimit)
		t.lab.record.note("%s sent at %.3f on %v: %s", id, sentAt.Seconds(), f.key, got)
		if got != answered {
			t.mu.Lock()
			if m := t.flows[f.key]; m != nil {
				m.lost = append(m.lost, lostRequest{id, sentAt, t.lab.machineAt(f.resetBy)})
			}
			t.mu.Unlock()
			f.end()
			f = nil
		}
		for pause := shortestPause + rand.N(longestPause-shortestPause); pause > 0 && !t.stop.Load(); pause -= 100 * time.Millisecond {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// judge looks for requests on flows whose packets went astray.
func (t *movedFlows) judge() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	broken := false
	for k, f := range t.flows {
		for _, lost := range f.lost {
			others, own := 0, 0
			for _, p := range f.got {
				switch {
				case p.at < lost.sentAt || p.at > lost.sentAt+strayFor:
				case p.host == f.host:
					own++
				default:
					others++
				}
			}
			inTouch := t.killedAt == 0 || lost.sentAt > t.killedAt+contact
			t.lab.record.note("%s on %v: %d packets to other hosts and %d to its own in %v, in touch: %v", lost.id, k, others, own, strayFor, inTouch)
			if inTouch && others >= strays && own == 0 && f.host.holds(k) {
				broken = true
				t.lab.record.say("FLOW: %v is open at %s of %s, which lives and holds it; of %s, sent at %.3f s, %d packets reached other hosts in %v and none its own, and it was not answered",
					k, f.host.id, f.host.service, lost.id, lost.sentAt.Seconds(), others, strayFor)
			}
		}
	}
	return broken
}
