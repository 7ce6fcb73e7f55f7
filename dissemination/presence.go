package dissemination

import (
	"slices"
	"time"
)

// Presence reports that a node was lost or heard again. It originates from the
// nodes that the node polls, which see its link break or its polls stop.
type Presence struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// Lost is set if the node was lost, and unset if it was heard again.
	Lost bool
	// Age is the time since the node was lost or heard, in milliseconds.
	Age uint32
}

const (
	// maxPresences is the maximum number of reports held, and of reports in one
	// message.
	maxPresences = 256
	// presenceTTL is how long a report is held.
	presenceTTL = time.Minute
	// minReversalAge is how much newer a report must be than the held one to
	// reverse it. Ages are inexact, since each hop adds its latency.
	minReversalAge = time.Second
	// presenceRefreshInterval is how much newer a report must be to replace a
	// held one with the same content.
	presenceRefreshInterval = 30 * time.Second
)

// presence is the latest report on a node.
type presence struct {
	lost bool
	at   time.Time
}

// LostAt returns when the node was lost, and true if the latest report, not
// older than presenceTTL, is that it was lost.
func (r *Replica) LostAt(now time.Time, id string) (time.Time, bool) {
	latest, found := r.presences[id]
	if !found || !latest.lost || now.Sub(latest.at) > presenceTTL {
		return time.Time{}, false
	}
	return latest.at, true
}

// ZoneSilent reports whether no node of the zone was heard within
// MaxConfirmationAge while nodes of other zones were. It is false for the
// node's own zone and for a zone that was never heard.
func (r *Replica) ZoneSilent(now time.Time, zone string) bool {
	at, found := r.zoneHeardAt[zone]
	if !found || zone == r.config.Self.Zone {
		return false
	}
	return now.Sub(at) > r.config.MaxConfirmationAge && !r.isolated(now)
}

// reportLost records that the other side of an inbound link was lost, at most
// once per silence. It does nothing shortly after a pause of this process,
// which explains the silence.
func (r *Replica) reportLost(now time.Time, l *link) {
	if l.lossReported || now.Sub(r.pause.resumedAt) < r.config.PollTimeout {
		return
	}
	l.lossReported = true
	r.recordPresence(now, l, l.hello.ID, presence{lost: true, at: now})
}

// reportPresent records that the other side of an inbound link was heard, if
// it is recorded as lost.
func (r *Replica) reportPresent(now time.Time, l *link) {
	l.lossReported = false
	if latest, found := r.presences[l.hello.ID]; found && latest.lost {
		r.recordPresence(now, l, l.hello.ID, presence{at: now})
	}
}

func (r *Replica) presenceReceived(now time.Time, l *link, received []Presence) {
	for _, p := range received {
		r.recordPresence(now, l, p.ID, presence{lost: p.Lost, at: timeOf(now, p.Age)})
	}
}

// recordPresence stores a report that adds to what is known, and queues it to
// be passed on. Reports on this node itself are ignored.
func (r *Replica) recordPresence(now time.Time, from *link, id string, update presence) {
	latest, found := r.presences[id]
	old := now.Sub(update.at) > presenceTTL
	gap := minReversalAge
	if latest.lost == update.lost {
		gap = presenceRefreshInterval
	}
	known := found && update.at.Sub(latest.at) < gap
	redundant := !found && !update.lost
	if id == r.config.Self.ID || old || known || redundant || !r.makePresenceRoom(now) {
		return
	}
	r.presences[id] = update
	r.counts.PresenceUpdates++
	r.presenceQueue = append(r.presenceQueue, queuedPresence{id: id, from: from.id})
}

// makePresenceRoom drops expired reports and reports whether there is room for
// another one. A report for which there is no room is ignored; the loss of
// that node is then only detected by its silence.
func (r *Replica) makePresenceRoom(now time.Time) bool {
	if len(r.presences) < maxPresences {
		return true
	}
	for id, held := range r.presences {
		if now.Sub(held.at) > presenceTTL {
			delete(r.presences, id)
		}
	}
	return len(r.presences) < maxPresences
}

// queuedPresence is a report to pass on, and the link over which it arrived.
type queuedPresence struct {
	id   string
	from LinkID
}

// broadcastPresence passes queued reports on to the linked nodes that hold a
// full copy.
func (r *Replica) broadcastPresence(now time.Time) {
	if len(r.presenceQueue) == 0 {
		return
	}
	for _, l := range r.sortedLinks() {
		if !l.up || !l.hello.FullCopy {
			continue
		}
		if message := r.presenceFor(now, l.id); len(message) > 0 {
			r.send(l, Message{Presence: message})
		}
	}
	r.presenceQueue = r.presenceQueue[:0]
}

// presenceFor returns the queued reports to send over a link, without those
// that arrived over it.
func (r *Replica) presenceFor(now time.Time, to LinkID) []Presence {
	var message []Presence
	for _, n := range r.presenceQueue {
		if n.from == to || len(message) == maxPresences {
			continue
		}
		latest := r.presences[n.id]
		message = append(message, Presence{ID: n.id, Lost: latest.lost, Age: ageOf(now, latest.at)})
	}
	return slices.Clip(message)
}

// invalidPresenceCause returns a short name of what is invalid in the reports,
// or "" if they are valid.
func invalidPresenceCause(received []Presence) string {
	if len(received) > maxPresences {
		return "presence"
	}
	for _, p := range received {
		if p.ID == "" || len(p.ID) > maxIDLength {
			return "presence"
		}
	}
	return ""
}
