//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// playStop serves requests while the processes of the system are stopped and started in
// turn: with trouble by SIGTERM, otherwise not at all.
func playStop(w *world, trouble bool) string {
	const (
		requesters = 12
		limit      = 2 * time.Second
		rounds     = 9
	)
	zones := []string{"mids-a", "mids-b"}
	for n := range 6 {
		w.startHost(fmt.Sprintf("i-%d", n), "order-desk", zones[n%2], w.ip(kindHost, n), 30*time.Millisecond, 5)
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
				if f := q.open(routeEnd("198.18.0.1", 8080)); f != nil {
					for i := 0; i < 20 && !f.ended && q.request(f, "verse-submit", 900, limit) == "200"; i++ {
						time.Sleep(100 * time.Millisecond)
					}
					q.finish(f)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(contact)
	stops, crashes := 0, 0
	for range rounds {
		for _, p := range w.processes {
			if !trouble {
				continue
			}
			<-p.signal(syscall.SIGTERM)
			stops++
			p.mu.Lock()
			status := p.status
			p.mu.Unlock()
			if status != "exit status 0" {
				crashes++
				w.record("CRASH %s: %s: %s", p.name, status, p.lastWords())
			}
			time.Sleep(restartDelay)
			p.spawn()
			time.Sleep(200 * time.Millisecond)
		}
	}
	time.Sleep(contact)
	close(end)
	time.Sleep(limit)
	w.mu.Lock()
	defer w.mu.Unlock()
	if crashes == 0 {
		return ""
	}
	return fmt.Sprintf("%d of %d processes that got SIGTERM crashed instead of ending", crashes, stops)
}

// lastWords returns the line with which a process that has crashed says why.
func (p *process) lastWords() string {
	text, err := os.ReadFile(filepath.Join(p.w.dir, p.name+".log"))
	p.w.must(err)
	_, reason, found := strings.Cut(string(text), "\npanic: ")
	for found {
		var next string
		if _, next, found = strings.Cut(reason, "\npanic: "); found {
			reason = next
		}
	}
	line, _, _ := strings.Cut(reason, "\n")
	return "panic: " + line
}
