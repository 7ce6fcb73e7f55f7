package catalog_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing/synctest"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
)

// sortedMembers returns the processes in the order of their addresses, so that the same day
// fails with the same process.
func (d *day) sortedMembers() []*member {
	return slices.SortedFunc(maps.Values(d.members), func(a, b *member) int { return strings.Compare(a.ip, b.ip) })
}

// record adds what a process knows to the transcript of the day.
func (d *day) record(m *member, c *catalog.Catalog) {
	var hosts []string
	for _, h := range c.Hosts {
		hosts = append(hosts, fmt.Sprintf("%s/%t", h.ID, h.Draining))
	}
	slices.Sort(hosts)
	d.transcript = append(d.transcript, fmt.Sprintf("%v %s %v confirmed %v version %d %v out %v",
		d.now(), m.ip, c.Position, c.ConfirmedAt, c.Config.Version, hosts, c.Evacuated))
}

// check checks what each process knows against what is wanted.
func (d *day) check() {
	synctest.Wait()
	for _, m := range d.sortedMembers() {
		c := m.tracker.Current()
		if c == nil {
			continue
		}
		s := d.seen[m]
		if s == nil {
			s = &seen{
				contactSince: d.now(), used: make(map[string]time.Duration), unused: make(map[string]time.Duration),
				out: make(map[string]time.Duration), in: make(map[string]time.Duration),
			}
			d.seen[m] = s
		}
		if d.recorded {
			d.record(m, c)
		}
		if m.isCut() || d.storeDown {
			s.contactSince = d.now()
		}
		s.longestContact = max(s.longestContact, d.now()-s.contactSince)
		touched := d.now()-s.contactSince > contactTime
		if touched && d.now()-d.versionAt > configPropagationLimit && c.Config.Version != uint64(d.version) {
			d.failf(m, "has version %d", c.Config.Version)
		}
		if s.longestContact < minContact {
			continue // A process that has just started knows no more than the copy.
		}
		d.checkHosts(m, c, s, touched)
		d.checkZones(m, c, s, touched)
	}
}

func (d *day) checkHosts(m *member, c *catalog.Catalog, s *seen, touched bool) {
	wanted := make(map[string]*dayHost)
	for _, h := range d.hosts {
		wanted[h.id] = h
	}
	usable := make(map[string]bool)
	for _, h := range c.Hosts {
		usable[h.ID] = !h.Draining
	}
	for _, id := range slices.Sorted(maps.Keys(usable)) {
		h := wanted[id]
		if usable[id] && (h == nil || h.draining) {
			if at, ok := s.unused[id]; ok {
				d.failf(m, "uses %s again, which it has not used at %v", id, at-time.Minute)
			}
			if touched && h != nil && d.now()-h.changed > drainLimit {
				d.failf(m, "still uses %s", id)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.used)) {
		at := s.used[id]
		if h := wanted[id]; h != nil && !h.draining && !usable[id] {
			d.failf(m, "no longer uses %s, which it used at %v", id, at-time.Minute)
		}
	}
	clear(s.used)
	for id, ok := range usable {
		if ok {
			s.used[id] = d.now()
		}
	}
	for n := range d.nextHost {
		id := fmt.Sprintf("n%d", n+1)
		if h := wanted[id]; (h == nil || h.draining) && !usable[id] {
			s.unused[id] = d.now()
		}
	}
}

func (d *day) checkZones(m *member, c *catalog.Catalog, s *seen, touched bool) {
	for _, zone := range []string{"x", "y", "z"} {
		since, out := d.evacuated[zone]
		switch {
		case out && !c.Evacuated[zone]:
			if at, ok := s.out[zone]; ok {
				d.failf(m, "uses zone %s again, which was evacuated at %v", zone, at-time.Minute)
			}
			if touched && d.now()-since > evacuationLimit {
				d.failf(m, "still uses zone %s", zone)
			}
		case out:
			s.out[zone] = d.now()
		case c.Evacuated[zone]:
			// No time limit holds for the return of a zone; a process takes an evacuation
			// for lost until it settles.
			if at, ok := s.in[zone]; ok && !d.unseen[zone] {
				d.failf(m, "evacuates zone %s again, which was in use at %v", zone, at-time.Minute)
			}
		default:
			s.in[zone] = d.now()
		}
	}
}

// requireConverged fails the test if a process differs from what is wanted.
func (d *day) requireConverged() {
	for _, m := range d.sortedMembers() {
		c := m.tracker.Current()
		if c == nil || c.Config.Version != uint64(d.version) || len(c.Hosts) != len(d.hosts) || len(c.Evacuated) != len(d.evacuated) {
			d.failf(m, "has not converged: %+v", c)
		}
		for _, h := range d.hosts {
			if got := c.Hosts[netip.MustParseAddr(fleetIP(h.member)).As4()]; got == nil || got.ID != h.id || got.Draining != h.draining {
				d.failf(m, "lacks %s", h.id)
			}
		}
		for zone := range d.evacuated {
			if !c.Evacuated[zone] {
				d.failf(m, "lacks the evacuation of %s", zone)
			}
		}
	}
}
