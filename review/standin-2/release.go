package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// playRelease moves one route after the other from the service desk to the service gallery,
// like playTwoVersions. With trouble, the hosts of a third service, which has no part in it,
// are replaced one after the other meanwhile. No machine fails.
//
// Rule: CONFIG, a machine regresses.
func playRelease(l *lab, trouble bool) (bool, error) {
	t := &twoVersions{lab: l, routes: releaseMoves, sameLoad: true, sent: make(map[string]*sentRequest)}
	if err := t.startArchive(); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	done := make(chan struct{})
	failed := make(chan error, 1)
	if trouble {
		group.Go(func() { failed <- t.replaceArchive(done) })
	}
	time.Sleep(3 * time.Second)
	for n := range t.routes {
		pressed := make(chan struct{})
		go func() {
			defer close(pressed)
			t.press(n, releasePress)
		}()
		time.Sleep(releaseBefore + rand.N(releaseSpread))
		t.publish(n)
		t.changes = append(t.changes, change{route: n, confirmedAt: l.record.now()})
		l.record.note("version %d is confirmed: route %d goes to gallery", t.version, n)
		<-pressed
		time.Sleep(time.Second)
	}
	close(done)
	group.Wait()
	if trouble {
		if err := <-failed; err != nil {
			return false, err
		}
	}
	return t.judge(), nil
}

const (
	// releaseMoves is the number of changes of the configuration.
	releaseMoves = 25
	// releasePress is how long requests are sent on a route. Its change comes after
	// releaseBefore, and up to releaseSpread later.
	releasePress, releaseBefore, releaseSpread = 2200 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond
	// archiveHosts is the number of hosts of the third service, of which one is replaced in
	// each replaceInterval.
	archiveHosts    = 8
	replaceInterval = time.Second
	archiveWarmup   = 2 * time.Second
)

// startArchive starts the deployment with a third service.
func (t *twoVersions) startArchive() error {
	return t.startWith(func() error {
		for n := range archiveHosts + archiveSpare {
			m, err := t.lab.addMachine(kindSide, string("ab"[n%2]), "archive")
			if err != nil {
				return err
			}
			if m.late = n >= archiveHosts; m.late {
				continue
			}
			if err := t.startArchiveHost(m, 0); err != nil {
				return err
			}
		}
		return nil
	})
}

// archiveSpare is the number of machines for new hosts.
const archiveSpare = 100

func (t *twoVersions) startArchiveHost(m *machine, warmup time.Duration) error {
	var err error
	m.host, err = startHost(m, fmt.Sprintf("i-%d", m.n), m.service, 2, workTime, t.ran)
	if err == nil {
		t.lab.put("servers/"+m.host.id, m.host.entry("ready", warmup))
	}
	return err
}

// replaceArchive replaces the hosts of the third service one after the other until done is
// closed: the new one starts first, then the old one drains and leaves.
func (t *twoVersions) replaceArchive(done chan struct{}) error {
	var machines []*machine
	for _, m := range t.lab.machines {
		if m.service == "archive" {
			machines = append(machines, m)
		}
	}
	ticker := time.NewTicker(replaceInterval)
	defer ticker.Stop()
	for n := 0; n+archiveHosts < len(machines); n++ {
		old, fresh := machines[n], machines[n+archiveHosts]
		if err := fresh.start(); err != nil {
			return err
		}
		if err := t.startArchiveHost(fresh, archiveWarmup); err != nil {
			return err
		}
		for _, after := range []time.Duration{heartbeat, 2 * heartbeat} {
			time.AfterFunc(after, func() {
				t.lab.put("servers/"+fresh.host.id, fresh.host.entry("ready", max(0, archiveWarmup-after)))
			})
		}
		t.lab.put("servers/"+old.host.id, old.host.entry("draining", 0))
		time.AfterFunc(drainFor, func() { t.lab.leave(old) })
		select {
		case <-done:
			return nil
		case <-ticker.C:
		}
	}
	return nil
}
