package dissemination

import (
	"bytes"
	"encoding/hex"
	"time"

	"github.com/turmericrock/turmericrock/revision"
)

// poll sends the polls that are due.
func (r *Replica) poll(now time.Time) {
	for _, l := range r.sortedLinks() {
		if !l.inbound && l.up && !now.Before(l.nextPoll) {
			r.pollLink(now, l)
		}
	}
}

func (r *Replica) pollLink(now time.Time, l *link) {
	l.nextPoll = now.Add(r.jitter(r.pollInterval(l)))
	l.lastProbe = uint64(now.Sub(r.epoch).Microseconds()) + 1
	state := r.state(now, l)
	state.Zones = nil
	state.Probe = l.lastProbe
	r.send(l, Message{State: state})
}

// pollInterval returns the time between two polls over the link. Watchers
// hear the platform themselves and poll other zones at a lower rate.
func (r *Replica) pollInterval(l *link) time.Duration {
	if l.hello.Zone != r.config.Self.Zone {
		return crossZoneFactor * r.config.Heartbeat
	}
	return r.config.Heartbeat
}

// crossZoneFactor is the time between two polls across zones, in heartbeats.
const crossZoneFactor = 2

func (r *Replica) send(l *link, message Message) {
	r.act(Send{Link: l.id, Message: message})
}

// state returns what the node tells over the link.
func (r *Replica) state(now time.Time, l *link) *State {
	state := &State{
		Echo:     l.echo,
		Revision: r.holder.Revision(),
		Digest:   r.digest(),
		Age:      ageOf(now, r.holder.ConfirmedAt()),
		Settled:  r.joined(now),
	}
	// While the configuration is not confirmed, every node needs to know which
	// zones are heard.
	all := l.hello.All || r.holder.Age(now) > r.config.ConfirmLimit/2
	for _, zone := range r.zones() {
		if all || zone == l.hello.Zone {
			state.Zones = append(state.Zones, r.zoneState(now, zone))
		}
	}
	return state
}

func (r *Replica) zoneState(now time.Time, zone string) ZoneState {
	state := ZoneState{Zone: zone, Age: unknownAge, Heard: ageOf(now, r.heardAt(now, zone))}
	if list := r.lists[zone]; list != nil {
		state.Version = list.listed.Version
		state.Age = ageOf(now, list.confirmed)
	}
	return state
}

// push tells the nodes that poll this one of a change at once.
func (r *Replica) push(now time.Time) {
	if len(r.changed) == 0 {
		return
	}
	for _, l := range r.sortedLinks() {
		if l.up && l.inbound && r.concerns(l) {
			r.send(l, Message{State: r.state(now, l)})
		}
	}
	clear(r.changed)
}

// concerns reports whether something changed that the other side holds.
func (r *Replica) concerns(l *link) bool {
	if r.changed[changedConfig] || r.changed[l.hello.Zone] {
		return true
	}
	return l.hello.All
}

// changedConfig stands for the configuration among the changed zones. It is
// not a valid name of a zone.
const changedConfig = ""

func (r *Replica) received(now time.Time, event Received) {
	l := r.links[event.Link]
	if l == nil {
		return
	}
	message := event.Message
	switch {
	case message.State != nil:
		r.stateReceived(now, l, *message.State)
	case message.Want != nil:
		r.wantReceived(l, *message.Want)
	case message.Value != nil:
		r.valueReceived(now, l, *message.Value)
	case message.Presence != nil:
		r.presenceReceived(now, l, message.Presence)
	}
}

func (r *Replica) stateReceived(now time.Time, l *link, state State) {
	l.state = state
	if state.Probe != 0 {
		l.echo = state.Probe
		l.heardAt = now
		r.present(now, l)
		r.send(l, Message{State: r.state(now, l)})
	}
	if asked, ok := r.askedAt(l, state.Echo); ok {
		r.confirm(now, l, state, asked)
	}
	r.compare(now, l, state)
	if !l.inbound {
		r.compareLists(now, l, state)
	}
}

// askedAt returns when the poll that the echo answers was sent. What the
// answer tells held at that time or later, however long it was on its way.
func (r *Replica) askedAt(l *link, echo uint64) (time.Time, bool) {
	if l.inbound || echo == 0 || echo > l.lastProbe {
		return time.Time{}, false
	}
	return r.epoch.Add(time.Duration(echo-1) * time.Microsecond), true
}

func (r *Replica) confirm(now time.Time, l *link, state State, asked time.Time) {
	l.heardAt, l.answered = maxTime(l.heardAt, asked), true
	if l.vm.ID != "" {
		r.answered(r.peer(l.vm))
	}
	r.noteHeard(l.hello.Zone, asked)
	if state.Settled && state.Revision != 0 && state.Revision <= r.newest() {
		r.peersAsked = true
	}
	if state.Revision == r.holder.Revision() && bytes.Equal(state.Digest, r.digest()) {
		r.holder.Confirm(state.Revision, timeOf(asked, state.Age))
	}
	for _, zone := range state.Zones {
		r.noteHeard(zone.Zone, timeOf(asked, zone.Heard))
		list := r.lists[zone.Zone]
		if list != nil && list.listed.Version == zone.Version {
			list.confirmed = maxTime(list.confirmed, timeOf(asked, zone.Age))
		}
	}
}

// compare asks for the other side's configuration when it is newer.
func (r *Replica) compare(now time.Time, l *link, state State) {
	if state.Revision == 0 || len(state.Digest) == 0 {
		return
	}
	digest := hex.EncodeToString(state.Digest)
	switch r.holder.Evaluate(state.Revision, digest) {
	case revision.Conflicting:
		r.conflict(now, state.Revision, digest, l.hello.ID)
	case revision.Accepted:
		r.request(now, l, state, digest)
	case revision.Confirmed:
		if r.incomplete() && r.mayHold(l) {
			r.request(now, l, state, digest)
		}
	}
}

func (r *Replica) compareLists(now time.Time, l *link, state State) {
	var wants []ListWant
	full := r.full()
	for _, zone := range state.Zones {
		if !r.listAllowed(zone.Zone) || (!full && zone.Zone != r.config.Self.Zone) {
			continue
		}
		list := r.lists[zone.Zone]
		if list == nil {
			list = &listState{}
			r.lists[zone.Zone] = list
		}
		if zone.Version <= list.listed.Version || (zone.Version <= list.asked && now.Sub(list.askedAt) < askAgain) {
			continue
		}
		list.asked = zone.Version
		list.askedAt = now
		wants = append(wants, ListWant{Zone: zone.Zone, Bases: list.versions()})
	}
	if len(wants) > 0 {
		r.send(l, Message{Want: &Want{Lists: wants}})
	}
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
