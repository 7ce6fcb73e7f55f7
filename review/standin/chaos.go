//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type cfg struct {
	at     time.Time
	routes []route
	split  map[string][2]string
}

func init() { cases["chaos"] = playChaos }

func playChaos(w *world, trouble bool) string {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, 9))
	kills := os.Getenv("KILLS") != ""
	seconds := 80
	if os.Getenv("ONLYMOVE") != "" {
		seconds = 110
	}
	zones := []string{"mids-a", "mids-b"}
	services := []string{"desk", "gallery", "vault"}
	addrs := []string{"198.18.0.1", "198.18.0.2", "198.18.0.3"}
	var mu sync.Mutex
	var bad []string
	note := func(f string, a ...any) {
		mu.Lock()
		defer mu.Unlock()
		s := fmt.Sprintf(f, a...)
		w.record("VIOLATION %s", s)
		bad = append(bad, s)
	}
	nextIP := 0
	agents := map[*host]*process{}
	newHost := func(service, zone string, ip int) *host {
		return w.startHost(fmt.Sprintf("i-%s-%d-%d", service, ip, len(w.hosts)), service, zone, w.ip(kindHost, ip), time.Duration(10+r.IntN(60))*time.Millisecond, 5)
	}
	for i := range 6 {
		newHost(services[i%3], zones[i/3], nextIP)
		nextIP++
	}
	version := 7
	cur := []string{"desk", "gallery", "vault"}
	var configs [][]string
	move := func(i int, to string) {
		if os.Getenv("NOMOVE") == "" {
			cur[i] = to
		}
	}
	var confAt []time.Time
	put := func() {
		var rs []route
		for i, a := range addrs {
			rs = append(rs, route{a, 8080, cur[i]})
		}
		version += 1 + r.IntN(3)
		w.putConfig(version, rs, services...)
		mu.Lock()
		configs = append(configs, append([]string(nil), cur...))
		confAt = append(confAt, time.Now())
		mu.Unlock()
	}
	put()
	for i, p := range w.startSystem(zones, 3) {
		agents[w.hosts[i]] = p
	}
	entries := w.processes[:3]
	var lastKill time.Time
	drained := map[*host]time.Time{}
	evac := map[string]time.Time{}
	end := make(chan struct{})
	var wg sync.WaitGroup
	for n := range 24 {
		q := w.newRequester(n)
		rr := rand.New(rand.NewPCG(seed, uint64(100+n)))
		wg.Go(func() {
			for {
				select {
				case <-end:
					return
				default:
				}
				ri := rr.IntN(3)
				f := q.open(routeEnd(addrs[ri], 8080))
				if f == nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				opened := time.Now()
				k := 1
				if rr.IntN(2) == 0 {
					k = 1 + rr.IntN(12)
				}
				for i := 0; i < k && !f.ended && time.Since(opened) < 50*time.Second; i++ {
					select {
					case <-end:
						return
					default:
					}
					out := q.request(f, "x", rr.IntN(3000), 3*time.Second)
					if out != "200" {
						w.mu.Lock()
						l := w.flows[f.key]
						if out == "reset by the system" && l.host != nil && l.ended.IsZero() {
							l.host.mu.Lock()
							alive := !l.host.gone
							l.host.mu.Unlock()
							if alive && time.Since(lastKill) > contact {
								go note("RESET %v host %s", f.key, l.host.id)
							}
						}
						w.mu.Unlock()
						break
					}
					p := rr.IntN(400)
					if rr.IntN(3) == 0 {
						p = rr.IntN(9000)
					}
					time.Sleep(time.Duration(p) * time.Millisecond)
				}
				q.finish(f)
			}
		})
	}
	begin := time.Now()
	time.Sleep(4 * time.Second)
	alive := func() []*host {
		var l []*host
		for _, h := range w.hosts {
			if _, d := drained[h]; !d {
				l = append(l, h)
			}
		}
		return l
	}
	for time.Since(begin) < time.Duration(seconds)*time.Second {
		op := r.IntN(11)
		if os.Getenv("ONLYMOVE") != "" {
			op = []int{2, 2, 2, 3, 6, 0, 7}[r.IntN(7)]
		}
		switch op {
		case 0, 1:
			move(r.IntN(3), services[r.IntN(3)])
			put()
		case 2:
			for range 3 + r.IntN(4) {
				move(r.IntN(3), services[r.IntN(3)])
				put()
				time.Sleep(time.Duration(60+r.IntN(270)) * time.Millisecond)
			}
		case 3:
			entries[r.IntN(3)].restart(syscall.SIGTERM)
		case 4:
			l := alive()
			agents[l[r.IntN(len(l))]].restart(syscall.SIGTERM)
		case 5:
			for _, h := range alive() {
				agents[h].restart(syscall.SIGTERM)
				time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
			}
		case 6: // replace
			l := alive()
			h := l[r.IntN(len(l))]
			old := agents[h]
			ip := nextIP
			nextIP++
			nh := newHost(h.service, h.zone, ip)
			agents[nh] = w.start("agent-"+nh.id, agentCommand, nh.ip, w.settings(kindHost, ip, nh.zone, zones, nh.service, false))
			h.drain()
			drained[h] = time.Now()
			stay := 3*time.Second + time.Duration(r.IntN(5000))*time.Millisecond
			time.AfterFunc(stay, func() { h.leave(); <-old.signal(syscall.SIGTERM) })
		case 7:
			z := zones[r.IntN(2)]
			if _, on := evac[z]; on {
				w.store.remove("op/evacuate/" + z)
				w.record("taken back %s", z)
				delete(evac, z)
			} else if len(evac) == 0 {
				w.store.put("op/evacuate/"+z, []byte("{}"))
				w.record("evacuated %s", z)
				evac[z] = time.Now()
			}
		case 9: // the host crashes and starts again under the id that it had
			l := alive()
			h := l[r.IntN(len(l))]
			h.mu.Lock()
			for k := range h.flows {
				go w.flowEnded(k)
			}
			h.flows = make(map[flowKey]*hostFlow)
			h.born = time.Now().UnixMilli()
			h.mu.Unlock()
			h.beat()
			w.record("reborn %s", h.id)
		case 10:
			if os.Getenv("OUTAGE") == "" {
				continue
			}
			for n := range w.hosts {
				h := w.hosts[n]
				h.mu.Lock()
				h.paused = true
				h.mu.Unlock()
			}
			w.store.mu.Lock()
			w.store.down = 1 + r.IntN(2)
			close(w.store.changed)
			w.store.changed = make(chan struct{})
			w.store.mu.Unlock()
			w.record("store down %d", w.store.down)
			lastKill = time.Now().Add(time.Hour)
			if r.IntN(2) == 0 {
				time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
				agents[alive()[0]].restart(syscall.SIGTERM)
			}
			time.Sleep(time.Duration(500+r.IntN(4000)) * time.Millisecond)
			lapse := r.IntN(2) == 0
			if lapse {
				for _, h := range w.hosts {
					w.store.remove("servers/" + h.id)
				}
			}
			w.store.mu.Lock()
			w.store.down = 0
			w.store.mu.Unlock()
			w.record("store up, lapse %v", lapse)
			lastKill = time.Now()
			for _, h := range w.hosts {
				time.AfterFunc(time.Duration(r.IntN(1900))*time.Millisecond, func() {
					h.mu.Lock()
					h.paused = false
					if lapse {
						h.written = ""
					}
					h.mu.Unlock()
					h.beat()
				})
			}
		case 8:
			if kills {
				if r.IntN(2) == 0 {
					l := alive()
					agents[l[r.IntN(len(l))]].restart(syscall.SIGKILL)
				} else {
					entries[r.IntN(3)].restart(syscall.SIGKILL)
				}
				lastKill = time.Now()
			}
		}
		time.Sleep(time.Duration(r.IntN(2500)) * time.Millisecond)
	}
	close(end)
	wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, f := range w.flows {
		if f.host != nil && !f.host.gone && w.isStray(f, begin) {
			note("STRAY %v host %s", key, f.host.id)
		}
		if f.host == nil {
			continue
		}
		if d, ok := drained[f.host]; ok && f.synSent.Sub(d) > drainBound {
			note("DRAIN %v %s", key, f.host.id)
		}
		ri := int(key.route.addr&0xff) - 1
		newest := -1
		for i, at := range confAt {
			if f.synSent.Sub(at) > applyBound {
				newest = i
			}
		}
		ok := newest < 0
		for i := max(0, newest); i < len(configs); i++ {
			if configs[i][ri] == f.host.service {
				ok = true
			}
		}
		if !ok {
			note("CONFIG %v %s", key, f.host.id)
		}
	}
	time.Sleep(50 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	if n := w.unasked.Load() + w.mixed.Load(); n > 0 {
		bad = append(bad, fmt.Sprintf("unasked/mixed %d", n))
	}
	if len(bad) == 0 {
		return ""
	}
	return fmt.Sprintf("%d: %s", len(bad), strings.Join(bad[:min(6, len(bad))], "; "))
}
