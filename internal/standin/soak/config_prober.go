package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

const (
	// configBound is the time limit for a new configuration to be in force.
	configBound = 3 * time.Second
	// firstMarkerPort is the port of the marker route of version 0. Each version of the
	// configuration has a route that no other version has.
	firstMarkerPort = 20_000
	probeInterval   = 50 * time.Millisecond
	// probePeriod is how long the prober checks a configuration.
	probePeriod = requestTimeout + time.Second
	// refusalTimeout is how long the prober waits for a flow that must not open.
	refusalTimeout = 150 * time.Millisecond
	// lostVersions is the number of versions of the configuration that the store loses.
	lostVersions = 4
)

func markerOf(version int) flow.Endpoint {
	return flow.Endpoint{Addr: virtualIP, Port: uint16(firstMarkerPort + version)}
}

// writtenVersions holds when each version of the configuration was written.
type writtenVersions struct {
	mu      sync.Mutex
	latest  int
	at      time.Time
	dropped int
}

func (w *writtenVersions) add(version int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped, w.latest, w.at = w.latest, version, time.Now()
}

// due returns the latest version and the one before it, and whether the latest has to be
// in force.
func (w *writtenVersions) due() (latest, dropped int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latest, w.dropped, time.Since(w.at) > configBound
}

// probeConfig opens flows on the marker routes of the latest version of the configuration
// and of the one before it, and checks that the first opens and the second does not.
func (r *run) probeConfig(q *requester) {
	go q.receive()
	defer func() { _ = q.conn.Close() }() // Ends receive.
	for r.ctx.Err() == nil {
		latest, dropped, ok := r.written.due()
		if !ok || !r.checker.isSettled() {
			sleep(r.ctx, probeInterval)
			continue
		}
		if !r.opens(q, latest, requestTimeout) && r.isStill(latest) {
			r.checker.addViolationLocked("CONFIG", fmt.Sprintf("the route of version %d is not served", latest))
		}
		if dropped != 0 && r.opens(q, dropped, refusalTimeout) && r.isStill(latest) {
			r.checker.addViolationLocked("CONFIG", fmt.Sprintf("the dropped route of version %d is served", dropped))
		}
		r.probes.Add(1)
		sleep(r.ctx, probeInterval)
	}
}

// isStill reports whether a version is still the latest one, and no fault has affected a
// machine in the meantime.
func (r *run) isStill(version int) bool {
	latest, _, _ := r.written.due()
	return latest == version && r.checker.isSettled() && r.ctx.Err() == nil
}

// changeAfterRestore has the store lose some changes and return from a copy while
// processes are killed, changes the configuration, and waits until the prober has checked
// that the change is in force.
func (r *run) changeAfterRestore() {
	for range lostVersions {
		r.writeConfiguration()
	}
	sleep(r.ctx, configBound)
	r.restoreStore(lostVersions + r.random.Int64N(maxLostWrites-lostVersions))
	r.any(r.agents).signal(syscall.SIGKILL)
	sleep(r.ctx, maxTimeAway+maxRewriteDelay)
	r.any(r.entries).signal(syscall.SIGKILL)
	r.recordUnplannedFault()
	sleep(r.ctx, settleTime)
	r.writeConfiguration()
	sleep(r.ctx, configBound+probePeriod)
}

// opens reports whether a flow opens on the marker route of a version within a timeout.
func (r *run) opens(q *requester, version int, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	q.flowCount++
	key := flow.Key{Requester: flow.Endpoint{Addr: q.addr.As4(), Port: 1024 + q.flowCount}, Destination: markerOf(version)}
	_, ok := q.openFlow(ctx, key)
	return ok
}
