package dissemination

import (
	"maps"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
)

// link is a link to another node. The node polls over its outbound links and
// answers polls over its inbound ones.
type link struct {
	id      LinkID
	inbound bool
	vm      fleet.VM
	hello   Hello
	// up is set once the Hello of the other side has arrived.
	up bool
	// stateSince is when the link was dialled or, once it is up, opened.
	stateSince time.Time
	// wanted is set if the peer is among those that the node wants to poll.
	wanted bool

	nextPollAt time.Time
	// sentProbe is the probe of the latest poll sent over the link, or 0.
	sentProbe uint64
	// pollAnswered is set once the other side has answered a poll.
	pollAnswered bool
	// heardAt is when the peer last answered a poll (outbound) or sent one
	// (inbound).
	heardAt time.Time
	// receivedProbe is the latest probe received from the other side. It is sent
	// back as State.Echo.
	receivedProbe uint64
	// lossReported is set once the other side was reported lost.
	lossReported bool
	// state is the latest state received from the other side.
	state State
}

const (
	// dialGap is the minimum time between two links that a node opens.
	dialGap = 100 * time.Millisecond
	// dialTimeout is the time within which a dialled link has to open.
	dialTimeout = 5 * time.Second
	// inboundTimeout is the time without a poll after which an inbound link is
	// closed.
	inboundTimeout = 10 * time.Second
)

// sortedLinks returns the links in order of their IDs, so that equal inputs
// lead to equal decisions.
func (r *Replica) sortedLinks() []*link {
	if r.linkCache != nil {
		return r.linkCache
	}
	r.linkCache = make([]*link, 0, len(r.links))
	for _, id := range slices.Sorted(maps.Keys(r.links)) {
		r.linkCache = append(r.linkCache, r.links[id])
	}
	return r.linkCache
}

// hasOpenPollLink reports whether the node has an open outbound link, over
// which it polls.
func (r *Replica) hasOpenPollLink() bool {
	for _, l := range r.links {
		if !l.inbound && l.up {
			return true
		}
	}
	return false
}

func (r *Replica) addLink(l *link) {
	r.links[l.id] = l
	r.linkCache = nil
}

func (r *Replica) removeLink(id LinkID) {
	delete(r.links, id)
	r.linkCache = nil
}

// linkOpened processes the opening of a link: it accepts an inbound one, and
// sends the first poll over an outbound one unless another VM than the expected
// answered.
func (r *Replica) linkOpened(now time.Time, event LinkOpened) {
	if event.Inbound {
		r.acceptLink(now, event)
		return
	}
	l := r.links[event.Link]
	if l == nil {
		r.emit(Close{Link: event.Link, Cause: "unwanted"})
		return
	}
	l.hello = event.Hello
	if l.vm.ID != "" && l.vm.ID != event.Hello.ID {
		r.closeLink(l, "replaced")
		r.recordFailure(now, r.peer(l.vm), StatusReplaced)
		return
	}
	l.up = true
	l.stateSince = now
	l.heardAt = now
	l.nextPollAt = now
	r.pollLink(now, l)
}

// acceptLink adds an inbound link. It closes the link if the node already has
// MaxInbound inbound links; the cause "full" refers to that limit.
func (r *Replica) acceptLink(now time.Time, event LinkOpened) {
	inbound := 0
	for _, l := range r.links {
		if l.inbound {
			inbound++
		}
	}
	if inbound >= r.config.MaxInbound {
		r.counts.InboundRejected++
		r.emit(Close{Link: event.Link, Cause: "full"})
		return
	}
	r.addLink(&link{
		id:         event.Link,
		inbound:    true,
		hello:      event.Hello,
		up:         true,
		stateSince: now,
		heardAt:    now,
	})
}

// linkClosed removes a link that the other side or the network has ended, and
// records the loss or failure of the peer.
func (r *Replica) linkClosed(now time.Time, event LinkClosed) {
	l := r.links[event.Link]
	if l == nil {
		return
	}
	r.removeLink(event.Link)
	if l.inbound && !event.Graceful {
		r.reportLost(now, l)
	}
	if l.inbound || l.vm.ID == "" {
		return
	}
	status := StatusDead
	if event.Refused {
		status = StatusGone
	}
	r.recordFailure(now, r.peer(l.vm), status)
}

// closeLink removes a link and asks the caller to close it.
func (r *Replica) closeLink(l *link, cause string) {
	r.removeLink(l.id)
	r.emit(Close{Link: l.id, Cause: cause})
}

// closeSilentLinks closes links whose other side is silent or does not
// complete the opening, and reports silent inbound peers as lost.
func (r *Replica) closeSilentLinks(now time.Time) {
	for _, l := range r.sortedLinks() {
		if l.inbound && now.Sub(l.heardAt) > r.config.PollTimeout {
			r.reportLost(now, l)
		}
		switch {
		case l.inbound && now.Sub(l.heardAt) > inboundTimeout:
			r.closeLink(l, "silent")
		case !l.inbound && !l.up && now.Sub(l.stateSince) > dialTimeout:
			r.closeLink(l, "timeout")
			r.recordLinkFailure(now, l, StatusDead)
		case !l.inbound && l.up && now.Sub(l.heardAt) > r.pollTimeout(l):
			r.counts.PollTimeouts++
			r.closeLink(l, "silent")
			r.recordLinkFailure(now, l, StatusSilent)
		}
	}
}

// pollTimeout returns how long the other side may leave polls unanswered. It
// allows for the longer poll interval across zones.
func (r *Replica) pollTimeout(l *link) time.Duration {
	return r.config.PollTimeout - r.config.HeartbeatInterval + r.pollInterval(l)
}

// recordLinkFailure records the failure of the peer of an outbound link, unless
// the peer is a seed whose ID is not known.
func (r *Replica) recordLinkFailure(now time.Time, l *link, status Status) {
	if l.vm.ID != "" {
		r.recordFailure(now, r.peer(l.vm), status)
	}
}

// selectLinks opens at most one link at a time, and closes links that are no
// longer wanted once all wanted links are open.
func (r *Replica) selectLinks(now time.Time) {
	if now.Before(r.nextSelectionAt) {
		return
	}
	r.nextSelectionAt = now.Add(r.jitter(dialGap))
	wanted := r.wantedPeers(now)
	byID := make(map[string]*link)
	for _, l := range r.links {
		l.wanted = false
		if !l.inbound {
			byID[peerKey(l.vm)] = l
		}
	}
	connected := 0
	for _, vm := range wanted {
		l := byID[peerKey(vm)]
		if l == nil {
			r.dial(now, vm)
			continue
		}
		l.wanted = true
		if l.up {
			connected++
		}
	}
	if connected < len(wanted) {
		return
	}
	for _, l := range r.sortedLinks() {
		if !l.inbound && !l.wanted {
			r.closeLink(l, "unwanted")
		}
	}
}

// peerKey returns the key of a peer: its ID, or its mesh address if it is a
// seed, whose ID is not known.
func peerKey(vm fleet.VM) string {
	if vm.ID != "" {
		return vm.ID
	}
	return vm.Mesh.String()
}

// dial opens an outbound link to a peer, unless another one was opened less
// than about dialGap ago.
func (r *Replica) dial(now time.Time, vm fleet.VM) {
	if now.Before(r.nextDialAt) {
		return
	}
	r.nextDialAt = now.Add(r.jitter(dialGap))
	l := &link{id: r.nextLink, vm: vm, stateSince: now, wanted: true}
	r.nextLink += 2
	r.addLink(l)
	r.counts.Dials++
	r.emit(Dial{Link: l.id, Peer: vm, Hello: r.Hello()})
}

// Hello returns the first message to send on each link.
func (r *Replica) Hello() Hello {
	return Hello{Protocol: Protocol, ID: r.config.Self.ID, Zone: r.config.Self.Zone, FullCopy: r.holdsFullCopy()}
}
