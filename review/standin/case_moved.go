//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"
)

// route is a route of the configuration.
type route struct {
	address string
	port    uint16
	backend string
}

func routeEnd(address string, port uint16) end {
	return end{number(netip.MustParseAddr(address)), port}
}

// putConfig writes a version of the configuration.
func (w *world) putConfig(version int, routes []route, services ...string) {
	var wireRoutes, wireServices []map[string]any
	for n, r := range routes {
		wireRoutes = append(wireRoutes, map[string]any{
			"name": fmt.Sprintf("r-%d", n), "vhost": r.address, "prefix": fmt.Sprintf("/%d/", r.port), "route_type": "non_idempotent",
			"timeout_ms": 2000, "target_latency_ms": 500, "priority": 1, "backend": r.backend, "max_attempts": 2,
		})
	}
	for _, s := range services {
		wireServices = append(wireServices, map[string]any{
			"name": s, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false, "warmup_s": 2.0, "warmup_per_s": 0.0,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": wireRoutes, "services": wireServices,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.must(err)
	w.store.put("op/config", text)
	w.record("configuration %s", text)
}

// playMoved moves a route to another service while flows of the route are open. With
// trouble, the processes beside the hosts are then stopped and started in turn.
func playMoved(w *world, trouble bool) string {
	const (
		requesters = 6
		limit      = 4 * time.Second
		// pause is how long the flows are idle, well below idle_timeout_ms.
		pause = 11 * time.Second
	)
	zones := []string{"mids-a", "mids-b"}
	w.startHost("i-desk-0", "order-desk", zones[0], w.ip(kindHost, 0), 30*time.Millisecond, 5)
	for n := 1; n <= 4; n++ {
		w.startHost(fmt.Sprintf("i-gallery-%d", n), "proof-gallery", zones[n%2], w.ip(kindHost, n), 30*time.Millisecond, 5)
	}
	moving, other := "198.18.0.1", "198.18.0.2"
	w.putConfig(7, []route{{moving, 8080, "order-desk"}, {other, 8443, "proof-gallery"}}, "order-desk", "proof-gallery")
	agents := w.startSystem(zones, 2)
	time.Sleep(contact)
	var group sync.WaitGroup
	var flows []*clientFlow
	var clients []*requester
	for n := range requesters {
		q := w.newRequester(n)
		f := q.open(routeEnd(moving, 8080))
		if f == nil || q.request(f, "verse-submit", 900, limit) != "200" {
			panic(errCannotRun{fmt.Errorf("requester %d is not served", n)})
		}
		flows, clients = append(flows, f), append(clients, q)
	}
	idleSince := time.Now()
	time.Sleep(time.Second)
	w.putConfig(9, []route{{moving, 8080, "proof-gallery"}, {other, 8443, "proof-gallery"}}, "order-desk", "proof-gallery")
	time.Sleep(applyBound)
	if trouble {
		for _, p := range agents {
			p.restart(syscall.SIGTERM)
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(idleSince.Add(pause)))
	asked := time.Now()
	for n, f := range flows {
		group.Go(func() { clients[n].request(f, "verse-submit", 4000, limit) })
	}
	group.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	strayed, resets, unanswered := 0, 0, 0
	for _, f := range flows {
		log := w.flows[f.key]
		if len(log.resets) > 0 {
			resets++
		}
		if w.isStray(log, asked) {
			strayed++
		}
	}
	unanswered = w.outcomes["no answer"]
	if strayed+resets == 0 {
		return ""
	}
	return fmt.Sprintf("FLOW: %d were open; of %d of them %d or more packets reached other hosts and none their own for %v, %d were reset by the system; %d requests were never answered", len(flows), strayed, strayLimit, strayPeriod, resets, unanswered)
}

// isStray reports whether, within some strayPeriod, strayLimit or more packets of an open
// flow reached other hosts and none its own, although the requester sent all the while.
func (w *world) isStray(f *flowLog, since time.Time) bool {
	for i, first := range f.elsewhere {
		if first.Before(since) || i+strayLimit > len(f.elsewhere) {
			continue
		}
		until := first.Add(strayPeriod)
		inPeriod := func(t time.Time) bool { return !t.Before(first) && !t.After(until) }
		if f.elsewhere[i+strayLimit-1].After(until) || slices.ContainsFunc(f.atOwn, inPeriod) {
			continue
		}
		if !f.ended.IsZero() && f.ended.Before(until) {
			continue
		}
		return true
	}
	return false
}
