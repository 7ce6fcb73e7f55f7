package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// playTwoVersions moves one route after the other from the service desk to the service
// gallery. With trouble, the machine that reads the store for its zone is cut off from the
// store just before each change, for cutFor. Everything else is calm.
//
// Rule: CONFIG, a machine regresses. A host of the new service runs a request that came
// through an entry; a request sent to the same entry more than 250 ms later is run by the
// old service, at a machine that was not cut off either.
func playTwoVersions(l *lab, trouble bool) (bool, error) {
	t := &twoVersions{lab: l, routes: movedRoutes, sent: make(map[string]*sentRequest)}
	if err := t.start(); err != nil {
		return false, err
	}
	for n := range t.routes {
		if err := t.move(n, trouble); err != nil {
			return false, err
		}
	}
	return t.judge(), nil
}

const (
	movedRoutes = 5
	// cutFor is the length of a cut. The pages have core_cut for 5.5 s.
	cutFor = 4 * time.Second
	// calmAfter is the time from the end of a cut to the next, more than contact_ms.
	calmAfter = 6 * time.Second
	// pressFor is how long requests are sent on a route, from before to after its change.
	pressBefore, pressAfter = 2 * time.Second, 4 * time.Second
	// requestInterval is the time between two requests of a zone.
	requestInterval = 6 * time.Millisecond
	// downgradeSlack is downgrade_slack_ms.
	downgradeSlack = 250 * time.Millisecond
	workTime       = 20 * time.Millisecond
)

type twoVersions struct {
	lab        *lab
	requesters []*requester
	routes     int // The number of routes that are moved one after the other.
	version    int
	changes    []change
	// sameLoad reports that both zones have the same load.
	sameLoad bool

	mu   sync.Mutex
	sent map[string]*sentRequest
}

// change is the move of a route.
type change struct {
	route       int
	confirmedAt time.Duration
	cut         *machine
}

// sentRequest is a request on a flow of its own.
type sentRequest struct {
	id     string
	route  int
	entry  *machine
	sentAt time.Duration
	ran    []ranRequest
}

type ranRequest struct {
	at   time.Duration
	host *host
}

func (t *twoVersions) start() error {
	return t.startWith(func() error { return nil })
}

// startWith starts the deployment with the further machines that add adds.
func (t *twoVersions) startWith(add func() error) error {
	l := t.lab
	for _, zone := range []string{"a", "b"} {
		if _, err := l.addMachine(kindEdge, zone, ""); err != nil {
			return err
		}
	}
	for _, zone := range []string{"a", "b"} {
		for _, service := range []string{"desk", "desk", "gallery", "gallery"} {
			if _, err := l.addMachine(kindSide, zone, service); err != nil {
				return err
			}
		}
	}
	t.publish(-1)
	for _, m := range l.machines {
		if m.kind != kindSide {
			continue
		}
		var err error
		if m.host, err = startHost(m, fmt.Sprintf("i-%d", m.n), m.service, 2, workTime, t.ran); err != nil {
			return err
		}
		l.put("servers/"+m.host.id, m.host.entry("ready", 0))
	}
	if err := add(); err != nil {
		return err
	}
	if err := l.startAll(); err != nil {
		return err
	}
	for n, entry := range l.machines[:2] {
		for i := range 4 {
			r, err := startRequester(l, 4*n+i+1, entry.zone)
			if err != nil {
				return err
			}
			t.requesters = append(t.requesters, r)
		}
	}
	time.Sleep(8 * time.Second) // Traffic starts after the machines do.
	return nil
}

// publish writes a configuration in which the routes up to moved go to gallery. It returns
// when the store has confirmed it.
func (t *twoVersions) publish(moved int) {
	t.version += 2
	var routes []map[string]any
	for n := range t.routes {
		service := "desk"
		if n <= moved {
			service = "gallery"
		}
		routes = append(routes, routeTo(n, service))
	}
	t.lab.putConfig(t.version, routes, "desk", "gallery", "archive")
}

func (t *twoVersions) move(n int, trouble bool) error {
	l := t.lab
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.press(n, pressBefore+pressAfter)
	}()
	time.Sleep(pressBefore)
	c := change{route: n}
	if trouble {
		if c.cut = l.readerOf("a"); c.cut == nil {
			return errors.New("no machine of zone a reads the store")
		}
		c.cut.path.setCut(true)
		l.record.note("%s is cut off from the store", c.cut.name)
		time.AfterFunc(cutFor, func() {
			c.cut.path.setCut(false)
			l.record.note("%s reaches the store", c.cut.name)
		})
		time.Sleep(100 * time.Millisecond)
	}
	t.publish(n)
	c.confirmedAt = l.record.now()
	l.record.note("version %d is confirmed: route %d goes to gallery", t.version, n)
	t.changes = append(t.changes, c)
	<-done
	time.Sleep(calmAfter)
	return nil
}

// press sends requests on a route from both zones, each on a new flow.
func (t *twoVersions) press(n int, lasts time.Duration) {
	var group sync.WaitGroup
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for begin := time.Now(); time.Since(begin) < lasts; <-ticker.C {
		for _, half := range [2]int{0, 4} {
			r := t.requesters[half+len(t.sent)/2%4]
			if half == 4 && !t.sameLoad && len(t.sent)%4 != 1 {
				continue // Otherwise zone b has less load.
			}
			s := &sentRequest{id: fmt.Sprintf("q-%d-%06d", n, len(t.sent)), route: n, entry: t.entryOf(r), sentAt: t.lab.record.now()}
			t.mu.Lock()
			t.sent[s.id] = s
			t.mu.Unlock()
			group.Go(func() { t.request(r, s) })
		}
	}
	group.Wait()
}

// entryOf returns the entry of a requester's zone, which stays in rotation.
func (t *twoVersions) entryOf(r *requester) *machine {
	for _, m := range t.lab.machines {
		if m.kind == kindEdge && m.zone == r.zone {
			return m
		}
	}
	return nil
}

func (t *twoVersions) request(r *requester, s *sentRequest) {
	got := refused
	if f := r.open(routeOf(s.route)); f != nil {
		got = f.request(s.id, 1500*time.Millisecond)
		f.close()
	}
	t.lab.record.note("%s sent at %.3f to %s on route %d: %s", s.id, s.sentAt.Seconds(), s.entry.name, s.route, got)
}

func (t *twoVersions) ran(h *host, id string, _ *hostFlow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sent[id]
	if s == nil {
		t.lab.record.note("UNASKED: %s runs %s", h.id, id)
		return
	}
	s.ran = append(s.ran, ranRequest{t.lab.record.now(), h})
	t.lab.record.note("%s runs at %s of %s on %s", id, h.id, h.service, h.machine.name)
}

// judge looks, for each change and entry, for the first request that a host of the new
// service ran, and for later ones that the old service ran.
func (t *twoVersions) judge() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	broken := false
	for _, c := range t.changes {
		for _, entry := range t.lab.machines[:2] {
			first := t.firstRun(c, entry)
			late, last := 0, time.Duration(0)
			for _, s := range t.sent {
				if first == nil || s.route != c.route || s.entry != entry || s.sentAt <= first.ran[0].at+downgradeSlack {
					continue
				}
				for _, r := range s.ran {
					if r.host.service == "desk" && r.host.machine != c.cut {
						late++
						last = max(last, s.sentAt)
					}
				}
			}
			if late == 0 {
				continue
			}
			broken = true
			t.lab.record.say("CONFIG: route %d moved at %.3f s; through %s, gallery ran %s at %.3f s, and desk %d requests that were sent more than 250 ms later, the last at %.3f s",
				c.route, c.confirmedAt.Seconds(), entry.name, first.id, first.ran[0].at.Seconds(), late, last.Seconds())
		}
	}
	return broken
}

// firstRun returns the request that the new service ran first of those sent to the entry
// after the change, at a machine that was not cut off.
func (t *twoVersions) firstRun(c change, entry *machine) (first *sentRequest) {
	for _, s := range t.sent {
		if s.route != c.route || s.entry != entry || len(s.ran) == 0 || s.ran[0].host.service != "gallery" || s.ran[0].host.machine == c.cut {
			continue
		}
		if first == nil || s.ran[0].at < first.ran[0].at {
			first = s
		}
	}
	return first
}
