package catalog

import "time"

const (
	// defaultSettleTime is used if the interval of the heartbeats is not known.
	defaultSettleTime = 6 * time.Second
	// heartbeatsToExpiry is the number of heartbeats of a host after which its entry
	// expires if none arrives.
	heartbeatsToExpiry = 3
	// maxSettlingGap is the longest time between two confirmations of the state while the
	// tracker settles that counts as no outage of the store.
	maxSettlingGap = 1500 * time.Millisecond
	// settleRetryInterval is the shortest time between two full reads from peers that have
	// yet to settle.
	settleRetryInterval = 200 * time.Millisecond
	// rewriteTime is the time that clients of the store need to write again what it has
	// lost.
	rewriteTime = 2 * time.Second
	// rewriteGrace is how long a host is kept that the copy lacks, and an evacuation is
	// withheld that the copy holds. Running hosts are listed again about 2 s after the
	// return of the store. A zone may have been evacuated anew by a write that cannot be
	// told from the copy, so the grace is well below the time limit of evacuations.
	rewriteGrace = 2500 * time.Millisecond
)

// SettleTime returns the time after which a restored store counts as up to date again,
// given the interval between the heartbeats of a host. By then entries of stopped hosts
// in the copy have expired.
func SettleTime(heartbeat time.Duration) time.Duration {
	if heartbeat <= 0 {
		return defaultSettleTime
	}
	return heartbeatsToExpiry*heartbeat + rewriteTime
}

// settling is the state of a tracker in the first seconds of an era of the store. The
// store may then hold a copy that lacks the latest changes, until its clients have
// written them again. The tracker trusts what was written in the new era, and otherwise
// keeps what it knows to be newer than the copy.
type settling struct {
	// active is set until the tracker has settled.
	active bool
	// deviates is set once the state differs from what the store says. A full read that
	// is known to be up to date has to follow then.
	deviates bool
	// start is the position of the first read of the era. What was written after it is
	// no part of the copy.
	start Position
	// startedAt is when the era was first read, and until the time from which on the
	// store counts as up to date.
	startedAt, until time.Duration
	// missing holds the keys of hosts that are kept although the store lacks them, and
	// withheld, by key, evacuations that were lifted but are in the store.
	missing  map[string]bool
	withheld map[string]Change
	// evacuated holds the keys of the evacuations that were known before the era.
	evacuated map[string]bool
}

// Settling reports whether the tracker has yet to settle.
func (t *Tracker) Settling() bool {
	return t.settling.active
}

// Deviates reports whether the state differs from what the store says.
func (t *Tracker) Deviates() bool {
	return t.settling.active && t.settling.deviates
}

// NeedsFullRead reports whether the tracker can settle only with a full read, and the
// store has been readable long enough for that.
func (t *Tracker) NeedsFullRead(now time.Duration) bool {
	return t.Deviates() && now >= t.settling.until && now-t.confirmedAt <= maxSettlingGap
}

// Merge applies a full read from a peer that has yet to settle, like Replace. deviates
// is set if the peer's state differs from what the store says, and until is when the
// peer settles. The tracker settles no earlier.
func (t *Tracker) Merge(position Position, changes []Change, confirmedAt time.Duration, deviates bool, until time.Duration) bool {
	if !t.mergeRead(position, changes, confirmedAt, true) {
		return false
	}
	if t.settling.active {
		t.settling.deviates = t.settling.deviates || deviates
		t.SettleLater(until)
	}
	return true
}

// SettleLater makes the tracker settle no earlier than a given time.
func (t *Tracker) SettleLater(until time.Duration) {
	t.settling.until = max(t.settling.until, until)
	t.shareSettling()
}

// restartSettling makes the settling begin anew after an outage, in which the store's
// clients could not write to it. The state was confirmed again at now.
func (t *Tracker) restartSettling(now time.Duration) {
	if t.settling.active && (t.lastReadFailed || now-t.confirmedAt > maxSettlingGap) {
		t.settling.startedAt, t.settling.until = now, now+t.SettleTime
		t.shareSettling()
	}
}

// settleIfDue ends the settling if nothing differs from what the store says.
func (t *Tracker) settleIfDue(now time.Duration) {
	if t.settling.active && !t.settling.deviates && now >= t.settling.until {
		t.endSettling()
	}
}

// shareSettling makes the state of the settling known to peers.
func (t *Tracker) shareSettling() {
	t.journal.setSettling(t.settling.active, t.settling.deviates, t.settling.until)
}

// Settle applies a full read that is known to be up to date, like Replace, and ends the
// settling of the tracker.
func (t *Tracker) Settle(position Position, changes []Change, confirmedAt time.Duration) bool {
	if position.Before(t.position) {
		return false
	}
	t.endSettling()
	t.replace(position, changes, confirmedAt)
	return true
}

// beginEra begins to settle at the first read of an era. Like after an outage, the
// store's list of hosts may lack some that run.
func (t *Tracker) beginEra(position Position, now time.Duration) {
	t.lastReadFailed = t.lastReadFailed || t.position != Position{}
	t.settling = settling{
		active: true, start: position, startedAt: now, until: now + t.SettleTime,
		missing: make(map[string]bool), withheld: make(map[string]Change), evacuated: make(map[string]bool),
	}
	for key, known := range t.applied {
		if known.Zone != "" {
			t.settling.evacuated[key] = true
		}
	}
	t.shareSettling()
}

func (t *Tracker) endSettling() {
	t.settling = settling{}
	t.shareSettling()
}

// merge returns the changes of a full read, in which what the tracker knows to be newer
// takes the place of what stems from the copy. What it knew before the era stays also if
// a peer lacks it, which may have missed it.
func (t *Tracker) merge(position Position, changes []Change, fromPeer bool) []Change {
	missing := t.settling.missing
	t.settling.missing = make(map[string]bool)
	if !fromPeer || position != t.position {
		// A later read from a peer may leave out that an evacuation was lifted.
		clear(t.settling.withheld)
	}
	merged := make([]Change, 0, len(changes))
	read := make(map[string]bool, len(changes))
	for _, c := range changes {
		read[c.Value.Key] = true
		if !t.isOutdated(position, &c) {
			merged = append(merged, c)
			if fromPeer && missing[c.Value.Key] && c.Value.Era < position.Era {
				t.settling.missing[c.Value.Key] = true // The peer keeps it as well.
			}
			continue
		}
		t.settling.deviates = true
		if c.Zone != "" && c.Value.Era == position.Era {
			t.settling.withheld[c.Value.Key] = c
		}
		if known, ok := t.applied[c.Value.Key]; ok {
			merged = append(merged, known)
		}
	}
	for key, known := range t.applied {
		if read[key] || known.Value.Era >= position.Era && !(fromPeer && t.settling.evacuated[key]) {
			continue
		}
		t.settling.deviates = true
		merged = append(merged, known)
		if known.Host != nil {
			t.settling.missing[key] = true
		}
	}
	t.shareSettling()
	return merged
}

// isOutdated reports whether the tracker knows something newer than a value of a full
// read.
func (t *Tracker) isOutdated(position Position, c *Change) bool {
	if c.Value.Era == position.Era && t.settling.start.Before(c.Value.Position) {
		return false
	}
	known, listed := t.applied[c.Value.Key]
	switch {
	case c.Host != nil && listed:
		return c.Host.describedBefore(known.Host)
	case listed:
		return false
	default:
		return t.gone.holds(position.Era, c)
	}
}

// describedBefore reports whether a description of a host is older than another one.
func (h *Host) describedBefore(other *Host) bool {
	if h.StartUnixMilli != other.StartUnixMilli {
		return h.StartUnixMilli < other.StartUnixMilli
	}
	return h.Sequence < other.Sequence
}

// overdueChanges returns the removals of hosts that the store still lacks, and the
// evacuations that it still holds, after rewriteGrace.
func (t *Tracker) overdueChanges(position Position, now time.Duration) []Change {
	if !t.settling.active || now-t.settling.startedAt < rewriteGrace {
		return nil
	}
	var overdue []Change
	for _, c := range t.settling.withheld {
		c.Value.Position = position
		overdue = append(overdue, c)
	}
	clear(t.settling.withheld)
	for key := range t.settling.missing {
		overdue = append(overdue, Change{
			Value: Value{Key: key, Position: position, Removed: true, ReadAt: now}, HostID: t.applied[key].HostID,
		})
	}
	clear(t.settling.missing)
	return overdue
}
