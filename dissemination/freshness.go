package dissemination

import (
	"time"
)

// pauseState tells whether the node was paused and has not been confirmed
// since.
type pauseState struct {
	// resumedAt is when the latest pause ended.
	resumedAt            time.Time
	awaitingConfirmation bool
}

// detectPause notices a gap between two steps. What arrived in the gap is old,
// so every peer is polled at once and the watches are due.
func (r *Replica) detectPause(now time.Time) {
	gap := now.Sub(r.lastStep)
	r.lastStep = now
	if gap <= r.config.PauseThreshold {
		return
	}
	r.counts.Pauses++
	r.pause = pauseState{resumedAt: now, awaitingConfirmation: true}
	r.emit(PauseEnded{Duration: gap})
	for _, l := range r.links {
		l.nextPoll = now
		// The others had no chance to be heard in the gap.
		l.heardAt = now
	}
	for _, read := range r.reads {
		read.next = now
	}
}

// Current reports whether the node may act on its view. After a pause it may
// not until the configuration in force is known to have been current after
// the pause. A node that reaches nobody acts again once WakeFallback is over.
func (r *Replica) Current(now time.Time) bool {
	if r.holder.Config() == nil {
		return false
	}
	if now.Sub(r.lastStep) > r.config.PauseThreshold && !r.lastStep.IsZero() {
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
// that it polls have no newer configuration, or has waited JoinWait for their
// answer. What the platform alone tells may be stale, and so may what peers
// tell that have themselves just started.
func (r *Replica) synced(now time.Time) bool {
	if r.firstConfigAt.IsZero() {
		return true
	}
	if !r.peersConfirmed && now.Sub(r.firstConfigAt) > r.config.StartupTimeout {
		r.peersConfirmed = true
	}
	return r.peersConfirmed
}

// ZoneOpen reports whether packets may go into the zone, as far as the node
// can know:
//
//   - A zone that is out, or not declared, is closed.
//   - While the configuration is known to be current, the zone is open.
//   - Without such word the platform is down, or the node is cut off from it.
//     A zone whose own nodes were heard a short time ago is open: they know
//     of no newer configuration either.
//   - A zone that is not heard is closed. The node's own zone is the
//     exception when nobody at all is heard, since nothing else is left to
//     serve.
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

// RecordZoneHeard notes that a node of the zone answered at the time, as seen by
// other means than the links.
func (r *Replica) RecordZoneHeard(zone string, at time.Time) {
	r.updateZoneHeard(zone, at)
}

func (r *Replica) updateZoneHeard(zone string, at time.Time) {
	if at.After(r.zoneHeardAt[zone]) {
		r.zoneHeardAt[zone] = at
	}
}

// lastHeard returns when a node of the zone was last heard. The node itself
// speaks for its own zone.
func (r *Replica) lastHeard(now time.Time, zone string) time.Time {
	if zone == r.config.Self.Zone {
		return now
	}
	return r.zoneHeardAt[zone]
}

func (r *Replica) heardRecently(now time.Time, zone string) bool {
	at, found := r.zoneHeardAt[zone]
	return found && now.Sub(at) <= r.config.MaxConfirmationAge
}

func (r *Replica) isolated(now time.Time) bool {
	for zone := range r.zoneHeardAt {
		if r.heardRecently(now, zone) {
			return false
		}
	}
	return true
}
