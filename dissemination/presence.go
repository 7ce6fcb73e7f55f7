package dissemination

import (
	"slices"
	"time"
)

// Presence is word of whether a node is there. It comes from the nodes that
// the node polls: they see its link break, or its polls stop.
type Presence struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// Lost tells that the node was lost, and else that it was heard.
	Lost bool
	// Age is the time since then in milliseconds.
	Age uint32
}

const (
	// maxPresences bounds the word held, and that in one message.
	maxPresences = 256
	// presenceTTL is how long word is held.
	presenceTTL = time.Minute
	// minReversalAge is how much newer word must be to count against word held,
	// since each hop adds its latency to the age.
	minReversalAge = time.Second
	// presenceRefreshInterval is the same for word that tells what is held.
	presenceRefreshInterval = 30 * time.Second
)

// presence is word held of a node.
type presence struct {
	lost bool
	at   time.Time
}

// LostAt reports whether the last word of the node is that it was lost, and
// when.
func (r *Replica) LostAt(now time.Time, id string) (time.Time, bool) {
	held, found := r.presences[id]
	if !found || !held.lost || now.Sub(held.at) > presenceTTL {
		return time.Time{}, false
	}
	return held.at, true
}

// ZoneSilent reports whether nothing is heard of the zone any more while
// others are.
func (r *Replica) ZoneSilent(now time.Time, zone string) bool {
	at, found := r.zoneHeardAt[zone]
	if !found || zone == r.config.Self.Zone {
		return false
	}
	return now.Sub(at) > r.config.MaxConfirmationAge && !r.isolated(now)
}

// reportLost notes that the other side of an inbound link was reportLost.
func (r *Replica) reportLost(now time.Time, l *link) {
	if l.lossReported || now.Sub(r.pause.resumedAt) < r.config.PollTimeout {
		return
	}
	l.lossReported = true
	r.recordPresence(now, l, l.hello.ID, presence{lost: true, at: now})
}

// reportPresent notes that the other side of an inbound link was heard, when it
// was thought lost.
func (r *Replica) reportPresent(now time.Time, l *link) {
	l.lossReported = false
	if held, found := r.presences[l.hello.ID]; found && held.lost {
		r.recordPresence(now, l, l.hello.ID, presence{at: now})
	}
}

func (r *Replica) presenceReceived(now time.Time, l *link, received []Presence) {
	for _, p := range received {
		r.recordPresence(now, l, p.ID, presence{lost: p.Lost, at: timeOf(now, p.Age)})
	}
}

// recordPresence takes word in and, when it is news, passes it on.
func (r *Replica) recordPresence(now time.Time, from *link, id string, update presence) {
	held, found := r.presences[id]
	old := now.Sub(update.at) > presenceTTL
	gap := minReversalAge
	if held.lost == update.lost {
		gap = presenceRefreshInterval
	}
	known := found && update.at.Sub(held.at) < gap
	redundant := !found && !update.lost
	if id == r.config.Self.ID || old || known || redundant || !r.makePresenceRoom(now) {
		return
	}
	r.presences[id] = update
	r.counts.PresenceUpdates++
	r.presenceQueue = append(r.presenceQueue, queuedPresence{id: id, from: from.id})
}

// makePresenceRoom forgets old word and reports whether there is room for more.
// Without room a node is told lost by its silence alone.
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

// queuedPresence is word to pass on, and the link that it came by.
type queuedPresence struct {
	id   string
	from LinkID
}

// broadcastPresence passes news on to the nodes that hold the lists of every zone.
func (r *Replica) broadcastPresence(now time.Time) {
	if len(r.presenceQueue) == 0 {
		return
	}
	for _, l := range r.sortedLinks() {
		if !l.up || !l.hello.FullReplica {
			continue
		}
		if message := r.presenceFor(now, l.id); len(message) > 0 {
			r.send(l, Message{Presence: message})
		}
	}
	r.presenceQueue = r.presenceQueue[:0]
}

func (r *Replica) presenceFor(now time.Time, to LinkID) []Presence {
	var message []Presence
	for _, n := range r.presenceQueue {
		if n.from == to || len(message) == maxPresences {
			continue
		}
		held := r.presences[n.id]
		message = append(message, Presence{ID: n.id, Lost: held.lost, Age: ageOf(now, held.at)})
	}
	return slices.Clip(message)
}

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
