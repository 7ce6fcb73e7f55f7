package catalog

import (
	"slices"
	"sync/atomic"
	"time"
)

// Change is a decoded change of a declared value. It concerns the
// configuration, one host or one zone; all fields but Value are empty if the
// key is unknown.
type Change struct {
	// Value is the value that the change was decoded from.
	Value  Value
	Config *Config
	// Host is the description of a host, or nil if it was removed or is
	// invalid.
	Host *Host
	// HostID is the ID of the host that was changed or removed.
	HostID string
	// Zone is the zone that is taken out of service, or returned to service if
	// the value was removed.
	Zone string
}

// isDeclaration reports whether the change concerns the catalog. Peers are not sent others:
// values under unknown keys, and configurations that are invalid.
func (c *Change) isDeclaration() bool {
	return c.Config != nil || c.HostID != "" || c.Zone != ""
}

// Tracker applies changes and publishes snapshots. Only one goroutine may apply
// changes; any goroutine may read the current snapshot.
type Tracker struct {
	// SettleTime is how long after the first read of an era of the store the tracker
	// keeps what it knows to be newer (see the function SettleTime). It may be set before
	// the first read.
	SettleTime time.Duration
	// FirstStart reports whether the whole system is starting for the first time, so that
	// there were no flows before. It may be set before the first read.
	FirstStart bool

	settling    settling
	position    Position
	confirmedAt time.Duration
	config      *Config
	hosts       map[string]*Host
	evacuated   map[string]bool
	// applied holds, by key, the change that each part of the state stems from.
	applied map[string]Change
	gone    *gone
	removed []RemovedHost
	// lapsed holds, by ID, hosts whose removal was found at lapsedAt, when the store
	// came back after an outage.
	lapsed           map[string]*Host
	lapsedAt         time.Duration
	healthySince     time.Duration
	firstPublishedAt time.Duration
	// configsKnownSince is that of the snapshots (see Catalog).
	configsKnownSince time.Duration
	lastReadFailed    bool
	lastFailureAt     time.Duration
	journal           *journal
	current           atomic.Pointer[Catalog]
}

const (
	// removedHostRetention is how long a removed host is kept in Catalog.Removed.
	// It equals the longest flow lifetime in the platform's settings.
	removedHostRetention = time.Minute
	// warmupEndTolerance is the difference between two reported ends of a
	// host's warm-up that is too small to affect a decision.
	warmupEndTolerance = 300 * time.Millisecond
)

// NewTracker returns a tracker without a snapshot.
func NewTracker() *Tracker {
	return &Tracker{
		SettleTime: defaultSettleTime,
		hosts:      make(map[string]*Host), lapsed: make(map[string]*Host), evacuated: make(map[string]bool),
		applied: make(map[string]Change), gone: newGone(), journal: newJournal(),
	}
}

// Current returns the latest snapshot, or nil if no configuration is known yet.
func (t *Tracker) Current() *Catalog {
	return t.current.Load()
}

// Position returns the store's position up to which changes were applied.
func (t *Tracker) Position() Position {
	return t.position
}

// ConfirmedAt returns the last time at which the applied state was known to
// match the store, on the local clock.
func (t *Tracker) ConfirmedAt() time.Duration {
	return t.confirmedAt
}

// Replace applies a full read that matched the store at confirmedAt: hosts and
// zones that it lacks are removed. While the tracker settles, what it knows to be newer
// than the read is kept. Replace ignores a read from before the applied position, and
// returns false.
func (t *Tracker) Replace(position Position, changes []Change, confirmedAt time.Duration) bool {
	return t.mergeRead(position, changes, confirmedAt, false)
}

// mergeRead implements Replace and Merge.
func (t *Tracker) mergeRead(position Position, changes []Change, confirmedAt time.Duration, fromPeer bool) bool {
	if position.Before(t.position) {
		return false
	}
	if t.position == (Position{}) || t.position.Era < position.Era {
		t.beginEra(position, confirmedAt)
	}
	t.restartSettling(confirmedAt)
	if t.settling.active {
		changes = t.merge(position, changes, fromPeer)
	}
	t.replace(position, changes, confirmedAt)
	return true
}

// replace replaces the state by that of a full read.
func (t *Tracker) replace(position Position, changes []Change, confirmedAt time.Duration) {
	changes = t.keepConfig(changes)
	previousHosts, previouslyApplied := t.hosts, t.applied
	t.hosts = make(map[string]*Host)
	t.evacuated = make(map[string]bool)
	t.applied = make(map[string]Change)
	for i := range changes {
		if h := changes[i].Host; h != nil {
			h.keepCreation(previousHosts[h.ID])
		}
		t.apply(&changes[i], confirmedAt)
		t.setApplied(&changes[i])
	}
	for key, last := range previouslyApplied {
		if _, ok := t.applied[key]; !ok {
			t.gone.add(&last, confirmedAt)
		}
	}
	for id, h := range previousHosts {
		if t.hosts[id] == nil {
			t.addRemovedHost(h, confirmedAt)
			t.addLapsedHost(h, confirmedAt)
		}
	}
	t.recordSuccess(confirmedAt)
	t.confirmedAt = max(t.confirmedAt, confirmedAt)
	t.publish(position, confirmedAt)
	t.shareSettling()
	t.journal.replace(position, slices.DeleteFunc(changes, func(c Change) bool { return !c.isDeclaration() }), confirmedAt)
}

// keepConfig returns the changes of a full read with the applied configuration in place
// of an older one or of none.
func (t *Tracker) keepConfig(changes []Change) []Change {
	if t.config == nil {
		return changes
	}
	kept := slices.DeleteFunc(slices.Clone(changes), func(c Change) bool { return t.isEarlierConfig(&c) })
	if slices.ContainsFunc(kept, func(c Change) bool { return c.Config != nil }) {
		return kept
	}
	t.settling.deviates = t.settling.active
	for _, known := range t.applied {
		if known.Config != nil {
			kept = append(kept, known)
		}
	}
	return kept
}

// isEarlierConfig reports whether a change is a version of the configuration before the
// applied one.
func (t *Tracker) isEarlierConfig(c *Change) bool {
	return c.Config != nil && t.config != nil && c.Config.Version < t.config.Version
}

// setApplied records an applied change by its key.
func (t *Tracker) setApplied(c *Change) {
	if c.Config != nil || c.Host != nil || c.Zone != "" && !c.Value.Removed {
		t.applied[c.Value.Key] = *c
		return
	}
	delete(t.applied, c.Value.Key)
}

// Apply applies the changes since the last read, which matched the store at
// confirmedAt. It reports whether any of them affected the catalog. It ignores changes
// from another era than the applied one.
func (t *Tracker) Apply(position Position, changes []Change, confirmedAt time.Duration) bool {
	if position.Era != t.position.Era || position.Before(t.position) {
		return false
	}
	t.restartSettling(confirmedAt)
	t.settleIfDue(confirmedAt)
	// While the tracker settles, peers may lack what it kept, or hold what it withheld, so
	// they are sent changes that do not affect it as well.
	var relevant, shared []Change
	for i := range changes {
		if !t.position.Before(changes[i].Value.Position) {
			continue
		}
		if t.applyChange(&changes[i], confirmedAt) {
			relevant = append(relevant, changes[i])
		} else if t.settling.active && changes[i].isDeclaration() && !t.isEarlierConfig(&changes[i]) {
			shared = append(shared, changes[i])
		}
	}
	var late []Change
	overdue := t.overdueChanges(position, confirmedAt)
	for i := range overdue {
		if t.applyChange(&overdue[i], confirmedAt) {
			late = append(late, overdue[i])
		}
	}
	relevant = append(relevant, late...)
	t.recordSuccess(confirmedAt)
	t.confirmedAt = max(t.confirmedAt, confirmedAt)
	t.journal.add(position, append(shared, relevant...), confirmedAt)
	t.journal.addLate(late)
	if len(relevant) > 0 {
		t.publish(position, confirmedAt)
		return true
	}
	t.position = position
	if c := t.current.Load(); c != nil {
		next := *c
		next.Position, next.ConfirmedAt, next.HealthySince = position, max(c.ConfirmedAt, confirmedAt), t.healthySince
		t.current.Store(&next)
	}
	return false
}

// RecordFailure records that a read failed. The next read that matched the store
// after that sets HealthySince anew.
func (t *Tracker) RecordFailure(now time.Duration) {
	t.lastReadFailed, t.lastFailureAt = true, now
}

// ApplyHistory applies the host changes that the store recorded before the
// first snapshot was read, oldest first. A host that the snapshot lacks and
// that was removed without having drained may still be running; it is recorded
// as removed. Such a host is known only if the history also contains an earlier
// description of it. If that holds for every removal of an unlisted host, the
// list of hosts is complete, and HealthySince is moved back by
// removedHostRetention, as if reads had succeeded for that long. ApplyHistory
// reports whether the list is complete. That of a restored store is not: it may lack
// hosts that came after the copy, of which its history says nothing.
func (t *Tracker) ApplyHistory(changes []Change, now time.Duration) bool {
	lastSeen := make(map[string]*Host)
	complete := t.position.Era <= firstEra
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
	t.republishHistory()
	return complete
}

// recordSuccess records that a read matched the store at confirmedAt, and restarts
// HealthySince if it is the first one, or the first one after a failure. What a peer
// read before the failure does not show that the store is readable again.
func (t *Tracker) recordSuccess(confirmedAt time.Duration) {
	if t.healthySince == 0 || t.lastReadFailed && confirmedAt > t.lastFailureAt {
		t.healthySince, t.lastReadFailed = confirmedAt, false
	}
}

// addLapsedHost records a host whose removal was found by the first read after an
// outage of the store. Entries lapse during an outage although their hosts run; a host
// that was draining has left.
func (t *Tracker) addLapsedHost(h *Host, now time.Duration) {
	if !t.lastReadFailed || h.Draining {
		return
	}
	if t.lapsedAt != now {
		t.lapsedAt, t.lapsed = now, make(map[string]*Host)
	}
	t.lapsed[h.ID] = h
}

// addRemovedHost records a host as removed and drops records that are older
// than removedHostRetention.
func (t *Tracker) addRemovedHost(h *Host, now time.Duration) {
	kept := t.removed[:0:0]
	for _, r := range t.removed {
		if now-r.RemovedAt < removedHostRetention && r.Agent != h.Addr.Addr {
			kept = append(kept, r)
		}
	}
	t.removed = append(kept, RemovedHost{Agent: h.Addr.Addr, Service: h.Service, RemovedAt: now})
}

// applyChange applies a change that was written after the applied position, and reports
// whether it can affect decisions.
func (t *Tracker) applyChange(c *Change, now time.Duration) bool {
	delete(t.settling.missing, c.Value.Key)
	delete(t.settling.withheld, c.Value.Key)
	delete(t.settling.evacuated, c.Value.Key)
	last, known := t.applied[c.Value.Key]
	if c.Host != nil {
		c.Host.keepCreation(t.hosts[c.Host.ID])
	}
	if !t.apply(c, now) {
		if known && last.Value.Era < c.Value.Era {
			t.confirmKept(c)
		}
		return false
	}
	if t.setApplied(c); known && t.applied[c.Value.Key].Value.Key == "" {
		t.gone.add(&last, now)
	}
	return true
}

// confirmKept records that a value that was kept from an earlier era of the store was
// written again.
func (t *Tracker) confirmKept(c *Change) {
	switch {
	case t.isEarlierConfig(c):
		return
	case c.Host != nil:
		t.hosts[c.HostID] = c.Host
	}
	t.setApplied(c)
}

// apply applies a change and reports whether it can affect decisions.
func (t *Tracker) apply(c *Change, now time.Duration) bool {
	switch {
	case c.Config != nil:
		if t.config != nil && c.Config.Version <= t.config.Version {
			return false
		}
		if t.config != nil {
			c.Config.addFormerServices(t.config, now)
		}
		t.config = c.Config
	case c.Host != nil:
		old := t.hosts[c.Host.ID]
		if old != nil && sameHost(old, c.Host) && !old.wasRecreated(c.Host) && !t.isContested(c.Host) {
			return false
		}
		t.hosts[c.Host.ID] = c.Host
	case c.HostID != "":
		old := t.hosts[c.HostID]
		if old == nil {
			return false
		}
		t.addRemovedHost(old, now)
		t.addLapsedHost(old, now)
		delete(t.hosts, c.HostID)
	case c.Zone != "":
		if t.evacuated[c.Zone] != c.Value.Removed && !t.wasRecreated(c) {
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

// isContested reports whether another entry gives the host's address, also one of the same
// read that is not published yet. That the host writes its entry again then shows that it runs.
func (t *Tracker) isContested(h *Host) bool {
	for id, other := range t.hosts {
		if id != h.ID && other.Addr.Addr == h.Addr.Addr {
			return true
		}
	}
	return false
}

// wasRecreated reports whether a value was removed and created again since it was applied.
func (t *Tracker) wasRecreated(c *Change) bool {
	last := t.applied[c.Value.Key].Value
	return !c.Value.Removed && last.Created > 0 && c.Value.Created > 0 && last.Era == c.Value.Era && last.Created != c.Value.Created
}

// wasRecreated reports whether a host's entry was removed and created again since it was
// described. That changes no decision here, but peers may know of the removal alone.
func (h *Host) wasRecreated(later *Host) bool {
	unknown := Position{}
	return h.Created != unknown && later.Created != unknown && h.Created != later.Created
}

// sameHost reports whether two descriptions of a host lead to the same
// decisions.
func sameHost(a, b *Host) bool {
	endDifference := (a.WarmupReadAt + a.WarmupLeft) - (b.WarmupReadAt + b.WarmupLeft)
	sameWarmup := a.WarmupLeft == 0 && b.WarmupLeft == 0 ||
		a.WarmupLeft > 0 && b.WarmupLeft > 0 && endDifference.Abs() < warmupEndTolerance
	return a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots &&
		a.Draining == b.Draining && a.StartUnixMilli == b.StartUnixMilli && sameWarmup
}

// publish publishes a new snapshot of the applied state, if a configuration is
// known.
func (t *Tracker) publish(position Position, confirmedAt time.Duration) {
	t.position = position
	if t.config == nil {
		return
	}
	if t.current.Load() == nil {
		t.firstPublishedAt, t.configsKnownSince = confirmedAt, confirmedAt
		if t.FirstStart {
			t.configsKnownSince = confirmedAt - removedHostRetention
		}
	}
	c := buildCatalog(t.config, t.hosts, t.lapsed, t.evacuated)
	c.LapsedAt = t.lapsedAt
	c.FirstPublishedAt, c.ConfigsKnownSince = t.firstPublishedAt, t.configsKnownSince
	c.Position, c.ConfirmedAt, c.HealthySince, c.Removed = position, confirmedAt, t.healthySince, t.removed
	t.current.Store(c)
}
