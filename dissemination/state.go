package dissemination

import (
	"bytes"
	"encoding/hex"
	"time"

	"github.com/turmericrock/turmericrock/revision"
)

// sendDuePolls sends the polls that are due.
func (r *Replica) sendDuePolls(now time.Time) {
	for _, l := range r.sortedLinks() {
		if !l.inbound && l.up && !now.Before(l.nextPollAt) {
			r.pollLink(now, l)
		}
	}
}

// pollLink sends a poll. Its probe is the time since epoch in microseconds,
// plus 1 so that it is not 0, which would mean no probe. probeSentAt decodes
// it.
func (r *Replica) pollLink(now time.Time, l *link) {
	l.nextPollAt = now.Add(r.jitter(r.pollInterval(l)))
	l.sentProbe = uint64(now.Sub(r.epoch).Microseconds()) + 1
	state := r.state(now, l)
	state.Zones = nil
	state.Probe = l.sentProbe
	r.send(l, Message{State: state})
}

// pollInterval returns the time between two polls over the link. It is longer
// across zones, since only watchers poll across zones and they watch the
// platform themselves.
func (r *Replica) pollInterval(l *link) time.Duration {
	if l.hello.Zone != r.config.Self.Zone {
		return crossZoneFactor * r.config.HeartbeatInterval
	}
	return r.config.HeartbeatInterval
}

// crossZoneFactor is the time between two polls across zones, in heartbeat
// intervals.
const crossZoneFactor = 2

func (r *Replica) send(l *link, message Message) {
	r.emit(Send{Link: l.id, Message: message})
}

// state returns the state to send over the link.
func (r *Replica) state(now time.Time, l *link) *State {
	state := &State{
		Echo:     l.receivedProbe,
		Revision: r.holder.Revision(),
		Digest:   r.digest(),
		Age:      ageOf(now, r.holder.ConfirmedAt()),
		Synced:   r.synced(now),
	}
	// When the confirmation is getting old, every node needs to know which zones
	// are still heard.
	all := l.hello.FullCopy || r.holder.Age(now) > r.config.MaxConfirmationAge/2
	for _, zone := range r.zones() {
		if all || zone == l.hello.Zone {
			state.Zones = append(state.Zones, r.zoneState(now, zone))
		}
	}
	return state
}

// zoneState returns what the node knows of a zone, for its state message.
func (r *Replica) zoneState(now time.Time, zone string) ZoneState {
	state := ZoneState{Zone: zone, Age: unknownAge, HeardAge: ageOf(now, r.lastHeard(now, zone))}
	if list := r.lists[zone]; list != nil {
		state.Version = list.current.Version
		state.Age = ageOf(now, list.confirmedAt)
	}
	return state
}

// pushChanges notifies the nodes that poll this one of a change without
// waiting for their next poll.
func (r *Replica) pushChanges(now time.Time) {
	if len(r.changed) == 0 {
		return
	}
	for _, l := range r.sortedLinks() {
		if l.up && l.inbound && r.affects(l) {
			r.send(l, Message{State: r.state(now, l)})
		}
	}
	clear(r.changed)
}

// affects reports whether a change concerns a value that the other side holds.
func (r *Replica) affects(l *link) bool {
	if r.changed[changedConfig] || r.changed[l.hello.Zone] {
		return true
	}
	return l.hello.FullCopy
}

// changedConfig is the key of the configuration in the set of changed zones.
// It is not a valid zone name.
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
	case message.Request != nil:
		r.requestReceived(l, *message.Request)
	case message.Response != nil:
		r.responseReceived(now, l, *message.Response)
	case message.Presence != nil:
		r.presenceReceived(now, l, message.Presence)
	}
}

// stateReceived processes a state: it answers a poll, applies the answer to a
// poll of this node, and requests what is newer at the other side.
func (r *Replica) stateReceived(now time.Time, l *link, state State) {
	l.state = state
	if state.Probe != 0 {
		l.receivedProbe = state.Probe
		l.heardAt = now
		r.reportPresent(now, l)
		r.send(l, Message{State: r.state(now, l)})
	}
	if sentAt, ok := r.probeSentAt(l, state.Echo); ok {
		r.applyAnswer(now, l, state, sentAt)
	}
	r.compareConfig(now, l, state)
	if !l.inbound {
		r.compareLists(now, l, state)
	}
}

// probeSentAt returns when the poll that the echo answers was sent. The answer
// describes the peer's state at that time or later, however long it was in
// transit.
func (r *Replica) probeSentAt(l *link, echo uint64) (time.Time, bool) {
	if l.inbound || echo == 0 || echo > l.sentProbe {
		return time.Time{}, false
	}
	return r.epoch.Add(time.Duration(echo-1) * time.Microsecond), true
}

// applyAnswer processes an answer to a poll sent at sentAt: what it confirms
// was current at that time, less the ages that it gives.
func (r *Replica) applyAnswer(now time.Time, l *link, state State, sentAt time.Time) {
	l.heardAt, l.pollAnswered = maxTime(l.heardAt, sentAt), true
	if l.vm.ID != "" {
		r.recordAnswer(r.peer(l.vm))
	}
	r.updateZoneHeard(l.hello.Zone, sentAt)
	if state.Synced && state.Revision != 0 && state.Revision <= r.newestRevision() {
		r.peersConfirmed = true
	}
	if state.Revision == r.holder.Revision() && bytes.Equal(state.Digest, r.digest()) {
		r.holder.Confirm(state.Revision, timeOf(sentAt, state.Age))
	}
	for _, zone := range state.Zones {
		r.updateZoneHeard(zone.Zone, timeOf(sentAt, zone.HeardAge))
		list := r.lists[zone.Zone]
		if list != nil && list.current.Version == zone.Version {
			list.confirmedAt = maxTime(list.confirmedAt, timeOf(sentAt, zone.Age))
		}
	}
}

// compareConfig requests the other side's configuration if it is newer, or if
// parts of the same configuration are missing.
func (r *Replica) compareConfig(now time.Time, l *link, state State) {
	if state.Revision == 0 || len(state.Digest) == 0 {
		return
	}
	digest := hex.EncodeToString(state.Digest)
	switch r.holder.Evaluate(state.Revision, digest) {
	case revision.Conflicting:
		r.rejectConflict(now, state.Revision, digest, l.hello.ID)
	case revision.Accepted:
		r.requestConfig(now, l, state, digest)
	case revision.Confirmed:
		if r.incomplete() && r.mayHoldParts(l) {
			r.requestConfig(now, l, state, digest)
		}
	}
}

// compareLists requests the lists that are newer at the other side.
func (r *Replica) compareLists(now time.Time, l *link, state State) {
	var requests []ListRequest
	full := r.holdsFullCopy()
	for _, zone := range state.Zones {
		if !r.zoneDeclared(zone.Zone) || (!full && zone.Zone != r.config.Self.Zone) {
			continue
		}
		list := r.lists[zone.Zone]
		if list == nil {
			list = &listState{}
			r.lists[zone.Zone] = list
		}
		if zone.Version <= list.current.Version || (zone.Version <= list.requestedVersion && now.Sub(list.requestedAt) < requestRetryInterval) {
			continue
		}
		list.requestedVersion = zone.Version
		list.requestedAt = now
		requests = append(requests, ListRequest{Zone: zone.Zone, Bases: list.versions()})
	}
	if len(requests) > 0 {
		r.send(l, Message{Request: &Request{Lists: requests}})
	}
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
