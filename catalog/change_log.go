package catalog

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// changeLogInterval is the shortest time between two lines about changes of hosts.
	// Each process of a fleet takes note of each change of each host.
	changeLogInterval = 5 * time.Second
	// maxHostLines is the number of lines about single hosts that a process writes within
	// changeLogInterval.
	maxHostLines = 100
)

// changeLog writes what changed in the catalog, at a bounded rate. A change of the
// configuration, of the evacuated zones or of the era is written at once; changes of hosts
// are summed up.
type changeLog struct {
	log *logrus.Entry
	// logged is the catalog of the last line, written at loggedAt, and pending the one of
	// the last change after it, which came from the given source.
	logged, pending *Catalog
	pendingFrom     string
	loggedAt        time.Duration
	// changes counts the changes since the last line, and hostLines the lines about single
	// hosts.
	changes, hostLines int
}

// record takes note of a new catalog.
func (l *changeLog) record(now time.Duration, from string, c *Catalog) {
	l.changes++
	l.pending, l.pendingFrom = c, from
	if l.logged == nil || l.logged.Era != c.Era || l.logged.Config.Version != c.Config.Version || !maps.Equal(l.logged.Evacuated, c.Evacuated) {
		l.write(now)
		return
	}
	l.flush(now)
}

// flush writes what is pending if the last line was written long enough ago.
func (l *changeLog) flush(now time.Duration) {
	if l.pending != nil && now-l.loggedAt >= changeLogInterval {
		l.write(now)
	}
}

func (l *changeLog) write(now time.Duration) {
	c := l.pending
	draining := 0
	for _, h := range c.Hosts {
		if h.Draining {
			draining++
		}
	}
	l.log.WithFields(logrus.Fields{
		"from": l.pendingFrom, "era": c.Era, "revision": c.Revision, "config": c.Config.Version, "routes": len(c.Config.Routes),
		"hosts": len(c.Hosts), "draining": draining, "zones_out": len(c.Evacuated), "changes": l.changes,
		"age_ms": (now - c.ConfirmedAt).Milliseconds(),
	}).Info("catalog_changed")
	l.logged, l.pending, l.loggedAt, l.changes, l.hostLines = c, nil, now, 0, 0
}

// hosts writes a line for each host that changes which were read from the store concern, so
// that the revision in other lines leads to the state of a host. Only the few processes
// that read the store write them.
func (l *changeLog) hosts(changes []Change) {
	for i := range changes {
		c := &changes[i]
		if c.HostID == "" {
			continue
		}
		if l.hostLines++; l.hostLines > maxHostLines {
			return
		}
		fields := logrus.Fields{"host": c.HostID, "era": c.Value.Era, "revision": c.Value.Revision, "state": "gone"}
		if h := c.Host; h != nil {
			fields["state"], fields["address"], fields["service"], fields["born"] = "ready", h.Addr.String(), h.Service, h.StartUnixMilli
			if h.Draining {
				fields["state"] = "draining"
			}
			if h.WarmupLeft > 0 {
				fields["warmup_ms"] = h.WarmupLeft.Milliseconds()
			}
		}
		l.log.WithFields(fields).Info("host_changed")
	}
}
