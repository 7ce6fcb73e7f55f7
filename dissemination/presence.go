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
	// presenceLife is how long word is held.
	presenceLife = time.Minute
	// presenceGap is how much newer word must be to count against word held,
	// since each hop adds its latency to the age.
	presenceGap = time.Second
	// presenceRenew is the same for word that tells what is held.
	presenceRenew = 30 * time.Second
)

// presence is word held of a node.
type presence struct {
	lost bool
	at   time.Time
}

// Lost reports whether the last word of the node is that it was lost, and
// when.
func (r *Replica) Lost(now time.Time, id string) (time.Time, bool) {
	held, found := r.presences[id]
	if !found || !held.lost || now.Sub(held.at) > presenceLife {
		return time.Time{}, false
	}
	return held.at, true
}

// ZoneSilent reports whether nothing is heard of the zone any more while
// others are.
func (r *Replica) ZoneSilent(now time.Time, zone string) bool {
	at, found := r.heard[zone]
	if !found || zone == r.config.Self.Zone {
		return false
	}
	return now.Sub(at) > r.config.ConfirmLimit && !r.alone(now)
}

// lost notes that the other side of an inbound link was lost.
func (r *Replica) lost(now time.Time, l *link) {
	if l.lost || now.Sub(r.pause.wokeAt) < r.config.SilentAfter {
		return
	}
	l.lost = true
	r.learn(now, l, l.hello.ID, presence{lost: true, at: now})
}

// present notes that the other side of an inbound link was heard, when it
// was thought lost.
func (r *Replica) present(now time.Time, l *link) {
	l.lost = false
	if held, found := r.presences[l.hello.ID]; found && held.lost {
		r.learn(now, l, l.hello.ID, presence{at: now})
	}
}

func (r *Replica) presenceReceived(now time.Time, l *link, received []Presence) {
	for _, p := range received {
		r.learn(now, l, p.ID, presence{lost: p.Lost, at: timeOf(now, p.Age)})
	}
}

// learn takes word in and, when it is news, passes it on.
func (r *Replica) learn(now time.Time, from *link, id string, word presence) {
	held, found := r.presences[id]
	old := now.Sub(word.at) > presenceLife
	gap := presenceGap
	if held.lost == word.lost {
		gap = presenceRenew
	}
	known := found && word.at.Sub(held.at) < gap
	unneeded := !found && !word.lost
	if id == r.config.Self.ID || old || known || unneeded || !r.presenceRoom(now) {
		return
	}
	r.presences[id] = word
	r.counts.Presences++
	r.news = append(r.news, news{id: id, from: from.id})
}

// presenceRoom forgets old word and reports whether there is room for more.
// Without room a node is told lost by its silence alone.
func (r *Replica) presenceRoom(now time.Time) bool {
	if len(r.presences) < maxPresences {
		return true
	}
	for id, held := range r.presences {
		if now.Sub(held.at) > presenceLife {
			delete(r.presences, id)
		}
	}
	return len(r.presences) < maxPresences
}

// news is word to pass on, and the link that it came by.
type news struct {
	id   string
	from LinkID
}

// spread passes news on to the nodes that hold the lists of every zone.
func (r *Replica) spread(now time.Time) {
	if len(r.news) == 0 {
		return
	}
	for _, l := range r.sortedLinks() {
		if !l.up || !l.hello.All {
			continue
		}
		if message := r.newsFor(now, l.id); len(message) > 0 {
			r.send(l, Message{Presence: message})
		}
	}
	r.news = r.news[:0]
}

func (r *Replica) newsFor(now time.Time, to LinkID) []Presence {
	var message []Presence
	for _, n := range r.news {
		if n.from == to || len(message) == maxPresences {
			continue
		}
		held := r.presences[n.id]
		message = append(message, Presence{ID: n.id, Lost: held.lost, Age: ageOf(now, held.at)})
	}
	return slices.Clip(message)
}

func presenceFault(received []Presence) string {
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
