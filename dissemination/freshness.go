package dissemination

import (
	"time"
)

// pauseState records the latest pause of the process.
type pauseState struct {
	// resumedAt is when the latest pause ended.
	resumedAt time.Time
	// awaitingConfirmation is set until the configuration is confirmed after the
	// pause.
	awaitingConfirmation bool
}

// detectPause detects a gap between two steps. What arrived during the gap is
// outdated, so every peer is polled at once and every read becomes due.
func (r *Replica) detectPause(now time.Time) {
	gap := now.Sub(r.lastStepAt)
	r.lastStepAt = now
	if gap <= r.config.PauseThreshold {
		return
	}
	r.counts.Pauses++
	r.pause = pauseState{resumedAt: now, awaitingConfirmation: true}
	r.emit(PauseEnded{Duration: gap})
	for _, l := range r.links {
		l.nextPollAt = now
		// Peers could not be heard during the gap; do not count it as silence.
		l.heardAt = now
	}
	for _, read := range r.reads {
		read.nextAt = now
	}
}

// MayAct reports whether the node may act on its view of the fleet. It may not
// before it has a configuration and is synced with its peers (see
// State.Synced). After a pause, which shows as more than PauseThreshold without
// a call of Step, it may not until the configuration in force is confirmed to
// have been current since then, or until ResumeTimeout has passed without a
// confirmation. The first call after a confirmation ends that wait.
func (r *Replica) MayAct(now time.Time) bool {
	if r.holder.Config() == nil {
		return false
	}
	if now.Sub(r.lastStepAt) > r.config.PauseThreshold && !r.lastStepAt.IsZero() {
		return false
	}
	if !r.synced(now) {
		return false
	}
	if !r.pause.awaitingConfirmation {
		return true
	}
	if !r.holder.ConfirmedAt().Before(r.pause.resumedAt) {
		r.pause.awaitingConfirmation = false
		return true
	}
	return now.Sub(r.pause.resumedAt) > r.config.ResumeTimeout
}

// synced reports whether a node that has just started knows that the peers
// that it polls have no newer configuration, or has waited StartupTimeout for
// their answer. The platform's answer alone may be stale, and so may the
// answers of peers that have themselves just started.
func (r *Replica) synced(now time.Time) bool {
	if r.firstConfigAt.IsZero() {
		return true
	}
	if !r.peersConfirmed && now.Sub(r.firstConfigAt) > r.config.StartupTimeout {
		r.peersConfirmed = true
	}
	return r.peersConfirmed
}

// ZoneOpen reports whether packets may be sent into the zone, as far as the node
// can know:
//
//   - A zone that is out of service, or not declared, is closed.
//   - While the configuration is confirmed to be current, every other zone is
//     open.
//   - Without a confirmation the platform is down, or the node is cut off from
//     it. A zone whose nodes were heard recently is open, since they know of no
//     newer configuration either.
//   - A zone that was not heard recently is closed. The node's own zone is the
//     exception if no zone at all is heard, since no other zone can serve then.
func (r *Replica) ZoneOpen(now time.Time, zone string) bool {
	config := r.holder.Config()
	if config == nil || config.ZoneOut(zone) {
		return false
	}
	if r.holder.Age(now) <= r.config.MaxConfirmationAge {
		return true
	}
	if r.heardRecently(now, zone) {
		return true
	}
	return zone == r.config.Self.Zone && r.isolated(now)
}

// RecordZoneHeard records that a node of the zone answered at the given time,
// as observed by means other than the links.
func (r *Replica) RecordZoneHeard(zone string, at time.Time) {
	r.updateZoneHeard(zone, at)
}

// updateZoneHeard moves the time at which a zone was last heard forward, never
// back.
func (r *Replica) updateZoneHeard(zone string, at time.Time) {
	if at.After(r.zoneHeardAt[zone]) {
		r.zoneHeardAt[zone] = at
	}
}

// lastHeard returns when a node of the zone was last heard. For its own zone
// that is always now, since the node itself is in it.
func (r *Replica) lastHeard(now time.Time, zone string) time.Time {
	if zone == r.config.Self.Zone {
		return now
	}
	return r.zoneHeardAt[zone]
}

// heardRecently reports whether a node of the zone was heard within
// MaxConfirmationAge.
func (r *Replica) heardRecently(now time.Time, zone string) bool {
	at, found := r.zoneHeardAt[zone]
	return found && now.Sub(at) <= r.config.MaxConfirmationAge
}

// isolated reports whether no other node of any zone was heard from within
// MaxConfirmationAge. Unlike lastHeard, it does not count the node itself as
// heard in its own zone.
func (r *Replica) isolated(now time.Time) bool {
	for zone := range r.zoneHeardAt {
		if r.heardRecently(now, zone) {
			return false
		}
	}
	return true
}
