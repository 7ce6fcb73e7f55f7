package catalog

import (
	"sync/atomic"
	"time"
)

// Change is one decoded change of what is declared. Exactly one of Config,
// Host and Zone is set, or none for a value that is not understood.
type Change struct {
	Revision int64
	// Key is the name of the value, for logs.
	Key    string
	Config *Config
	// Host is what a host says of itself.
	Host *Host
	// HostID names a host whose value is gone or cannot be used.
	HostID string
	// Zone names a zone that is taken out of service, or taken back when
	// Removed is set.
	Zone    string
	Removed bool
}

// Tracker applies changes and publishes snapshots. Only one goroutine may
// apply changes; any may read the snapshot.
type Tracker struct {
	revision  int64
	config    *Config
	hosts     map[string]*Host
	evacuated map[string]bool
	removed   []RemovedHost
	steady    time.Duration
	since     time.Duration
	failed    bool
	current   atomic.Pointer[Catalog]
}

// removedLinger is how long a removed host is remembered. It is the longest
// lifetime of a flow that the platform's settings name.
const removedLinger = time.Minute

// NewTracker returns a tracker without a snapshot.
func NewTracker() *Tracker {
	return &Tracker{hosts: make(map[string]*Host), evacuated: make(map[string]bool)}
}

// Current returns the snapshot, or nil before a configuration is known.
func (t *Tracker) Current() *Catalog {
	return t.current.Load()
}

// Revision returns the store's revision up to which changes were applied.
func (t *Tracker) Revision() int64 {
	return t.revision
}

// Replace applies a full reading: hosts and zones that it lacks are gone.
// A configuration older than the one in force is passed over.
func (t *Tracker) Replace(revision int64, changes []Change, now time.Duration) {
	if revision < t.revision {
		return
	}
	before := t.hosts
	t.hosts = make(map[string]*Host)
	t.evacuated = make(map[string]bool)
	for i := range changes {
		t.apply(&changes[i], now)
	}
	for id, h := range before {
		if t.hosts[id] == nil {
			t.noteRemoved(h, now)
		}
	}
	t.succeeded(now)
	t.publish(revision, now)
}

// Failed notes that a reading has failed.
func (t *Tracker) Failed() {
	t.failed = true
}

func (t *Tracker) succeeded(now time.Duration) {
	if t.failed || t.steady == 0 {
		t.steady, t.failed = now, false
	}
}

func (t *Tracker) noteRemoved(h *Host, now time.Duration) {
	kept := t.removed[:0:0]
	for _, r := range t.removed {
		if now-r.At < removedLinger && r.Agent != h.Addr.Addr {
			kept = append(kept, r)
		}
	}
	t.removed = append(kept, RemovedHost{Agent: h.Addr.Addr, Service: h.Service, At: now})
}

// Apply applies what has changed since the last reading. It reports whether
// anything but the revision changed.
func (t *Tracker) Apply(revision int64, changes []Change, now time.Duration) bool {
	changed := false
	for i := range changes {
		if changes[i].Revision > t.revision {
			changed = t.apply(&changes[i], now) || changed
		}
	}
	if revision < t.revision {
		return false
	}
	t.succeeded(now)
	if changed {
		t.publish(revision, now)
		return true
	}
	t.revision = revision
	if c := t.current.Load(); c != nil {
		confirmed := *c
		confirmed.Revision, confirmed.Confirmed, confirmed.SteadySince = revision, now, t.steady
		t.current.Store(&confirmed)
	}
	return false
}

func (t *Tracker) apply(c *Change, now time.Duration) bool {
	switch {
	case c.Config != nil:
		if t.config != nil && c.Config.Version <= t.config.Version {
			return false
		}
		if t.config != nil {
			c.Config.inherit(t.config)
		}
		t.config = c.Config
	case c.Host != nil:
		old := t.hosts[c.Host.ID]
		t.hosts[c.Host.ID] = c.Host
		return old == nil || !sameHost(old, c.Host)
	case c.HostID != "":
		if t.hosts[c.HostID] == nil {
			return false
		}
		t.noteRemoved(t.hosts[c.HostID], now)
		delete(t.hosts, c.HostID)
	case c.Zone != "" && c.Removed:
		delete(t.evacuated, c.Zone)
	case c.Zone != "":
		t.evacuated[c.Zone] = true
	default:
		return false
	}
	return true
}

// sameHost reports whether two descriptions lead to the same decisions.
func sameHost(a, b *Host) bool {
	return a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Draining == b.Draining && a.Born == b.Born && a.WarmupLeft == 0 && b.WarmupLeft == 0
}

func (t *Tracker) publish(revision int64, now time.Duration) {
	t.revision = revision
	if t.config == nil {
		return
	}
	if t.current.Load() == nil {
		t.since = now
	}
	c := build(t.config, t.hosts, t.evacuated)
	c.Since = t.since
	c.Revision, c.Confirmed, c.SteadySince, c.Removed = revision, now, t.steady, t.removed
	t.current.Store(c)
}
