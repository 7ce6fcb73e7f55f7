package catalog

import (
	"sync/atomic"
	"time"
)

// Change is one decoded change of what is declared. Exactly one of Config,
// Host, HostID and Zone is set, or none for a value that is not understood.
type Change struct {
	// Value is what the change was decoded from.
	Value  Value
	Config *Config
	// Host is what a host says of itself.
	Host *Host
	// HostID names a host whose value is gone or cannot be used.
	HostID string
	// Zone names a zone that is taken out of service, or taken back when the
	// value is removed.
	Zone string
}

// Tracker applies changes and publishes snapshots. Only one goroutine may
// apply changes; any may read the snapshot.
type Tracker struct {
	revision         int64
	confirmedAt      time.Duration
	config           *Config
	hosts            map[string]*Host
	evacuated        map[string]bool
	removed          []RemovedHost
	healthySince     time.Duration
	firstPublishedAt time.Duration
	lastReadFailed   bool
	journal          *journal
	current          atomic.Pointer[Catalog]
}

const (
	// removedHostRetention is how long a removed host is remembered. It is the longest
	// lifetime of a flow that the platform's settings name.
	removedHostRetention = time.Minute
	// warmupEndTolerance is by how much two reports of the end of a host's warm-up may
	// differ without a new decision.
	warmupEndTolerance = 300 * time.Millisecond
)

// NewTracker returns a tracker without a snapshot.
func NewTracker() *Tracker {
	return &Tracker{hosts: make(map[string]*Host), evacuated: make(map[string]bool), journal: newJournal()}
}

// Current returns the snapshot, or nil before a configuration is known.
func (t *Tracker) Current() *Catalog {
	return t.current.Load()
}

// Revision returns the store's revision up to which changes were applied.
func (t *Tracker) Revision() int64 {
	return t.revision
}

// ConfirmedAt returns when what was applied was known to be current.
func (t *Tracker) ConfirmedAt() time.Duration {
	return t.confirmedAt
}

// Replace applies a full reading, confirmed at a time: hosts and zones that it
// lacks are gone. A reading older than the one in force is passed over.
func (t *Tracker) Replace(revision int64, changes []Change, confirmedAt time.Duration) bool {
	if revision < t.revision {
		return false
	}
	previousHosts := t.hosts
	t.hosts = make(map[string]*Host)
	t.evacuated = make(map[string]bool)
	for i := range changes {
		t.apply(&changes[i], confirmedAt)
	}
	for id, h := range previousHosts {
		if t.hosts[id] == nil {
			t.addRemovedHost(h, confirmedAt)
		}
	}
	t.recordSuccess(confirmedAt)
	t.confirmedAt = max(t.confirmedAt, confirmedAt)
	t.publish(revision, confirmedAt)
	t.journal.replace(revision, changes, confirmedAt)
	return true
}

// Apply applies what has changed since the last reading. It reports whether
// anything but the revision changed.
func (t *Tracker) Apply(revision int64, changes []Change, confirmedAt time.Duration) bool {
	if revision < t.revision {
		return false
	}
	var relevant []Change
	for i := range changes {
		if changes[i].Value.Revision > t.revision && t.apply(&changes[i], confirmedAt) {
			relevant = append(relevant, changes[i])
		}
	}
	t.recordSuccess(confirmedAt)
	t.confirmedAt = max(t.confirmedAt, confirmedAt)
	t.journal.add(revision, relevant, confirmedAt)
	if len(relevant) > 0 {
		t.publish(revision, confirmedAt)
		return true
	}
	t.revision = revision
	if c := t.current.Load(); c != nil {
		next := *c
		next.Revision, next.ConfirmedAt, next.HealthySince = revision, max(c.ConfirmedAt, confirmedAt), t.healthySince
		t.current.Store(&next)
	}
	return false
}

// RecordFailure notes that a reading has failed.
func (t *Tracker) RecordFailure() {
	t.lastReadFailed = true
}

// ApplyHistory takes the changes before the first reading. Hosts that went away
// without having drained may still live. If each of them is known, the list of
// hosts is complete, as if readings had succeeded for long.
func (t *Tracker) ApplyHistory(changes []Change, now time.Duration) bool {
	lastSeen := make(map[string]*Host)
	complete := true
	for i := range changes {
		c := &changes[i]
		if c.Host != nil {
			lastSeen[c.HostID] = c.Host
		}
		if c.HostID == "" || c.Host != nil || t.hosts[c.HostID] != nil {
			continue
		}
		switch h := lastSeen[c.HostID]; {
		case h == nil:
			complete = false
		case !h.Draining:
			t.addRemovedHost(h, now)
		}
	}
	if complete {
		t.healthySince = now - removedHostRetention
	}
	if c := t.current.Load(); c != nil {
		next := *c
		next.HealthySince, next.Removed = t.healthySince, t.removed
		t.current.Store(&next)
	}
	return complete
}

func (t *Tracker) recordSuccess(now time.Duration) {
	if t.lastReadFailed || t.healthySince == 0 {
		t.healthySince, t.lastReadFailed = now, false
	}
}

func (t *Tracker) addRemovedHost(h *Host, now time.Duration) {
	kept := t.removed[:0:0]
	for _, r := range t.removed {
		if now-r.RemovedAt < removedHostRetention && r.Agent != h.Addr.Addr {
			kept = append(kept, r)
		}
	}
	t.removed = append(kept, RemovedHost{Agent: h.Addr.Addr, Service: h.Service, RemovedAt: now})
}

// apply reports whether the change leads to other decisions.
func (t *Tracker) apply(c *Change, now time.Duration) bool {
	switch {
	case c.Config != nil:
		if t.config != nil && c.Config.Version <= t.config.Version {
			return false
		}
		if t.config != nil {
			c.Config.addFormerServices(t.config)
		}
		t.config = c.Config
	case c.Host != nil:
		old := t.hosts[c.Host.ID]
		if old != nil && sameHost(old, c.Host) {
			return false
		}
		t.hosts[c.Host.ID] = c.Host
	case c.HostID != "":
		old := t.hosts[c.HostID]
		if old == nil {
			return false
		}
		t.addRemovedHost(old, now)
		delete(t.hosts, c.HostID)
	case c.Zone != "":
		if t.evacuated[c.Zone] != c.Value.Removed {
			return false
		}
		if c.Value.Removed {
			delete(t.evacuated, c.Zone)
		} else {
			t.evacuated[c.Zone] = true
		}
	default:
		return false
	}
	return true
}

// sameHost reports whether two descriptions lead to the same decisions.
func sameHost(a, b *Host) bool {
	endDifference := (a.WarmupReadAt + a.WarmupLeft) - (b.WarmupReadAt + b.WarmupLeft)
	sameWarmup := a.WarmupLeft == 0 && b.WarmupLeft == 0 ||
		a.WarmupLeft > 0 && b.WarmupLeft > 0 && endDifference.Abs() < warmupEndTolerance
	return a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Draining == b.Draining && a.StartUnixMilli == b.StartUnixMilli && sameWarmup
}

func (t *Tracker) publish(revision int64, confirmedAt time.Duration) {
	t.revision = revision
	if t.config == nil {
		return
	}
	if t.current.Load() == nil {
		t.firstPublishedAt = confirmedAt
	}
	c := buildCatalog(t.config, t.hosts, t.evacuated)
	c.FirstPublishedAt = t.firstPublishedAt
	c.Revision, c.ConfirmedAt, c.HealthySince, c.Removed = revision, confirmedAt, t.healthySince, t.removed
	t.current.Store(c)
}
