//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// playDrain empties a host and takes it away. With trouble, another writer leaves an entry
// in the store, with fields missing, that gives the address of the host.
func playDrain(w *world, trouble bool) string {
	const (
		requesters = 12
		limit      = 2 * time.Second
		// staysFor is how long the host serves after the store has accepted that it
		// drains: drain_ms and a little longer.
		staysFor = drainBound + 5*time.Second
	)
	zones := []string{"mids-a", "mids-b"}
	for n := range 3 {
		w.startHost(fmt.Sprintf("i-%d", n), "order-desk", zones[n%2], w.ip(kindHost, n), 400*time.Millisecond, 5)
	}
	w.putConfig(7, []route{{"198.18.0.1", 8080, "order-desk"}}, "order-desk")
	w.startSystem(zones, 2)
	end := make(chan struct{})
	for n := range requesters {
		q := w.newRequester(n)
		go func() {
			for {
				select {
				case <-end:
					return
				default:
				}
				// A flow for each request.
				if f := q.open(routeEnd("198.18.0.1", 8080)); f != nil {
					q.request(f, "verse-submit", 900, limit)
					q.finish(f)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(contact + time.Second)
	leaving := w.hosts[0]
	leaving.drain()
	accepted := time.Now()
	w.record("the store has accepted that %s drains", leaving.id)
	if trouble {
		time.Sleep(500 * time.Millisecond)
		leaving.mu.Lock()
		fields := leaving.entryFields()
		leaving.mu.Unlock()
		fields["state"] = "ready"
		delete(fields, "version")
		delete(fields, "warmup_left_ms")
		text, _ := json.Marshal(fields) // There is no sequence either.
		w.store.put("servers/other-writer", text)
		w.record("another writer's entry %s", text)
	}
	time.Sleep(time.Until(accepted.Add(staysFor)))
	lost := leaving.leave()
	left := time.Now()
	w.record("%s has left; requests that it had taken and not answered: %v", leaving.id, lost)
	time.Sleep(limit)
	close(end)
	time.Sleep(limit)
	w.mu.Lock()
	defer w.mu.Unlock()
	late := 0
	var last time.Duration
	for _, f := range w.flows {
		if f.host == leaving && f.synSent.After(accepted.Add(drainBound)) && f.opened.Before(left) {
			late++
			last = max(last, f.opened.Sub(accepted))
		}
	}
	if late == 0 {
		return ""
	}
	return fmt.Sprintf("DRAIN: %d flows were opened at %s by packets sent over %v after the store had accepted that it drains, the last one after %v; %d requests that it had taken were never answered", late, leaving.id, drainBound, last.Round(time.Millisecond), len(lost))
}
