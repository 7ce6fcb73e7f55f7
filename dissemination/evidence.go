package dissemination

import (
	"time"
)

// pauseState tells whether the node was paused and has not been confirmed
// since.
type pauseState struct {
	// wokeAt is when the latest pause ended.
	wokeAt time.Time
	paused bool
}

// checkPause notices a gap between two steps. What arrived in the gap is old,
// so every peer is polled at once and the watches are due.
func (r *Replica) checkPause(now time.Time) {
	gap := now.Sub(r.lastStep)
	r.lastStep = now
	if gap <= r.config.PauseGap {
		return
	}
	r.counts.Pauses++
	r.pause = pauseState{wokeAt: now, paused: true}
	r.act(Woken{For: gap})
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
	if now.Sub(r.lastStep) > r.config.PauseGap && !r.lastStep.IsZero() {
		return false
	}
	if !r.joined(now) {
		return false
	}
	if !r.pause.paused {
		return true
	}
	if !r.holder.ConfirmedAt().Before(r.pause.wokeAt) {
		r.pause.paused = false
		return true
	}
	return now.Sub(r.pause.wokeAt) > r.config.WakeFallback
}

// joined reports whether a node that has just started knows that the peers
// that it polls have no newer configuration, or has waited JoinWait for their
// answer. What the platform alone tells may be stale, and so may what peers
// tell that have themselves just started.
func (r *Replica) joined(now time.Time) bool {
	if r.toldAt.IsZero() {
		return true
	}
	if !r.peersAsked && now.Sub(r.toldAt) > r.config.JoinWait {
		r.peersAsked = true
	}
	return r.peersAsked
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
	if r.holder.Age(now) <= r.config.ConfirmLimit {
		return true
	}
	if r.zoneHeard(now, zone) {
		return true
	}
	return zone == r.config.Self.Zone && r.alone(now)
}

// NoteZone notes that a node of the zone answered at the time, as seen by
// other means than the links.
func (r *Replica) NoteZone(zone string, at time.Time) {
	r.noteHeard(zone, at)
}

func (r *Replica) noteHeard(zone string, at time.Time) {
	if at.After(r.heard[zone]) {
		r.heard[zone] = at
	}
}

// heardAt returns when a node of the zone was last heard. The node itself
// speaks for its own zone.
func (r *Replica) heardAt(now time.Time, zone string) time.Time {
	if zone == r.config.Self.Zone {
		return now
	}
	return r.heard[zone]
}

func (r *Replica) zoneHeard(now time.Time, zone string) bool {
	at, found := r.heard[zone]
	return found && now.Sub(at) <= r.config.ConfirmLimit
}

func (r *Replica) alone(now time.Time) bool {
	for zone := range r.heard {
		if r.zoneHeard(now, zone) {
			return false
		}
	}
	return true
}
