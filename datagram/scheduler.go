package datagram

import (
	"maps"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

const (
	// extraRequests is how many requests beyond its slots a host is given, so that no
	// slot idles while the agent sends the next one.
	extraRequests = 1
	// maxHeldRequests and maxHeldPackets limit the requests that an agent holds and the
	// packets of each, about 5 MB together. A requester has no more packets in flight.
	maxHeldRequests = 256
	maxHeldPackets  = 16
	// maxFirstRequestDelay is the time after the host's answer to an opening within which
	// a request that caused the opening arrives. It covers one retransmission after 200 ms.
	maxFirstRequestDelay = 400 * time.Millisecond
)

// heldPacket is a packet of a request that waits.
type heldPacket struct {
	seq  uint32
	data []byte
}

// receivedData is the data of a requester up to a sequence number.
type receivedData struct {
	// end is the number after the last byte, valid if known is set.
	end   uint32
	known bool
}

// includes reports whether data that ends before a sequence number is a retransmission.
func (d receivedData) includes(end uint32) bool {
	return d.known && int32(end-d.end) <= 0
}

// runningRequest is a request that the host has and has not answered.
type runningRequest struct {
	flow       *ownedFlow
	key        flow.Key
	releasedAt time.Duration
	// started reports that the request is in service since startedAt, as far as the
	// number of slots tells, and does not wait in the host's own queue.
	started   bool
	startedAt time.Duration
}

// requestScheduler decides when requests are given to the host. The host serves what
// it has in the order of arrival, so requests that exceed its slots wait here, where
// those that matter most to their callers can go first.
type requestScheduler struct {
	queue steering.RequestQueue
	// running holds the requests that occupy the host, in the order of their release.
	running []runningRequest
	// hostRestartedAt is when the host was last found to have restarted.
	hostRestartedAt time.Duration
	// silentSince is when the host last answered a request or, if its slots were not all
	// in use then, was given the one that may have filled them.
	silentSince time.Duration
	// routeTimes holds the service times by route.
	routeTimes map[flow.Endpoint]*steering.ServiceTime
	stats      schedulerStats
	// stopping reports that the process stops and holds no more requests.
	stopping bool
}

func newRequestScheduler() requestScheduler {
	return requestScheduler{routeTimes: make(map[flow.Endpoint]*steering.ServiceTime), stats: newSchedulerStats()}
}

// start records that a request was given to the host.
func (s *requestScheduler) start(now time.Duration, fl *ownedFlow, key flow.Key, slots int) {
	fl.releasedAt = now
	s.running = append(s.running, runningRequest{flow: fl, key: key, releasedAt: now})
	s.fillSlots(now, slots)
}

// stop records that a flow's request no longer occupies the host. It returns the
// request, and false if it was not counted.
func (s *requestScheduler) stop(now time.Duration, fl *ownedFlow, slots int) (runningRequest, bool) {
	i := slices.IndexFunc(s.running, func(r runningRequest) bool { return r.flow == fl })
	if i < 0 {
		return runningRequest{}, false
	}
	r := s.running[i]
	s.running = slices.Delete(s.running, i, i+1)
	s.fillSlots(now, slots)
	return r, true
}

// fillSlots marks the oldest requests as in service, as many as there are slots.
func (s *requestScheduler) fillSlots(now time.Duration, slots int) {
	for i := range s.running[:min(len(s.running), slots)] {
		if r := &s.running[i]; !r.started {
			r.started, r.startedAt = true, now
		}
	}
}

// observeServiceTime records the service time of an answered request of a route.
func (s *requestScheduler) observeServiceTime(destination flow.Endpoint, took time.Duration) {
	t := s.routeTimes[destination]
	if t == nil {
		t = &steering.ServiceTime{}
		s.routeTimes[destination] = t
	}
	t.Observe(took)
}

// discardRoutes discards the service times of routes that are no longer configured.
func (s *requestScheduler) discardRoutes(c *catalog.Catalog) {
	maps.DeleteFunc(s.routeTimes, func(destination flow.Endpoint, _ *steering.ServiceTime) bool {
		return c.Config.Routes[destination] == nil
	})
}

// expectedWork returns the mean service time of a route's requests, or that of all
// requests of the host while none of the route was observed.
func (a *Agent) expectedWork(destination flow.Endpoint) time.Duration {
	if t := a.scheduler.routeTimes[destination]; t != nil {
		return t.Mean()
	}
	return a.serviceTime.Mean()
}

// schedulable returns the flow's route if its requests may be held: the route has to
// declare what waiting costs its callers.
func schedulable(c *catalog.Catalog, key flow.Key) *catalog.Route {
	if c == nil {
		return nil
	}
	if route := c.Config.Routes[key.Destination]; route != nil && route.TargetLatency > 0 && route.Timeout > 0 {
		return route
	}
	return nil
}

// hasRoom reports whether the host may be given another request. The number of running
// requests says nothing about a host that leaves requests unanswered; such a host is
// given all of them, so that it refuses those that exceed its own queue and their
// requesters turn to other hosts. The same applies while the number of slots is not known.
func (a *Agent) hasRoom(now time.Duration) bool {
	slots := a.hostSlots()
	return len(a.scheduler.running) < slots+extraRequests || a.listedSlots == 0 || a.failureShare > 0 ||
		a.hostStalled(now) || a.scheduler.stopping
}

// trackRequesterData finds out whether a packet with data begins a request: its data
// is new, the flow is open, and no request of it is unanswered.
func (a *Agent) trackRequesterData(now time.Duration, fl *ownedFlow, key flow.Key, p *flow.Packet) {
	if fl.state == flowClosed {
		return
	}
	end := p.Seq + uint32(p.Size)
	if fl.received.includes(end) {
		return
	}
	before := fl.received
	fl.received = receivedData{end: end, known: true}
	if !fl.requestPending {
		fl.receivedBefore = before
		a.beginRequest(now, fl, key)
	}
}

// beginRequest records a new request on a flow and decides whether it waits.
func (a *Agent) beginRequest(now time.Duration, fl *ownedFlow, key flow.Key) {
	fl.requestPending, fl.requestedAt, fl.overdue = true, now, false
	a.unansweredRequests++
	sentAt := fl.requestSentAt(now)
	fl.awaitsFirstRequest = false
	route := schedulable(a.config.Catalog(), key)
	switch {
	case route == nil || a.hasRoom(now):
		a.startRequest(now, fl, key)
	case a.scheduler.queue.Len() >= maxHeldRequests:
		a.scheduler.stats.of(route.Priority).overflow++
		a.config.Events.Log(EventRequestOverflow, key, "priority", route.Priority, "running", len(a.scheduler.running), "waiting", a.scheduler.queue.Len())
		a.startRequest(now, fl, key)
	default:
		a.queueRequest(fl, key, route, sentAt)
	}
}

// queueRequest lets a request of a route wait. The caller holds its packets.
func (a *Agent) queueRequest(fl *ownedFlow, key flow.Key, route *catalog.Route, sentAt time.Duration) {
	fl.waiting = true
	a.scheduler.stats.of(route.Priority).waited++
	a.scheduler.queue.Push(steering.QueuedRequest{
		Key: key, Priority: route.Priority, Objective: sentAt + route.TargetLatency, Limit: sentAt + route.Timeout,
		Work: a.expectedWork(key.Destination),
	})
}

// requestSentAt returns when the requester sent a request that arrives now. The first one
// of a flow was sent together with the opening, unless the flow was opened in advance.
func (fl *ownedFlow) requestSentAt(now time.Duration) time.Duration {
	if fl.awaitsFirstRequest && now-fl.acceptedAt <= maxFirstRequestDelay {
		return fl.openingSentAt
	}
	return now
}

// startRequest records that a request, already counted as unanswered, is given to the
// host.
func (a *Agent) startRequest(now time.Duration, fl *ownedFlow, key flow.Key) {
	if a.requestsAtHost() <= a.hostSlots() {
		a.scheduler.silentSince = now
	}
	a.scheduler.start(now, fl, key, a.hostSlots())
}

// requestsAtHost returns how many unanswered requests the host was given.
func (a *Agent) requestsAtHost() int {
	return a.unansweredRequests - a.scheduler.queue.Len()
}

// endRequest removes a flow's unanswered request from the counters, and from the queue
// if it waits.
func (a *Agent) endRequest(now time.Duration, fl *ownedFlow, key flow.Key) {
	if !fl.requestPending {
		return
	}
	fl.requestPending = false
	a.unansweredRequests--
	if fl.waiting {
		a.scheduler.queue.Remove(key)
		a.discardHeld(fl)
		return
	}
	a.scheduler.stop(now, fl, a.hostSlots())
}

// discardHeld drops the packets of a request that left the queue without being
// released. If they arrive again, they count as a new request.
func (a *Agent) discardHeld(fl *ownedFlow) {
	fl.received = fl.receivedBefore
	fl.waiting, fl.held = false, nil
}

// answerRequest records the host's answer to a flow's request.
func (a *Agent) answerRequest(now time.Duration, fl *ownedFlow, key flow.Key) {
	a.answerLatency.Observe(now - fl.requestedAt)
	a.lastAnswerAt, a.scheduler.silentSince = now, now
	fl.requestPending = false
	a.unansweredRequests--
	if r, counted := a.scheduler.stop(now, fl, a.hostSlots()); counted && r.started && r.startedAt >= a.pause.resumedAt {
		a.serviceTime.Observe(now - r.startedAt)
		a.scheduler.observeServiceTime(key.Destination, now-r.startedAt)
	}
}

// holdPacket keeps a packet of a waiting request. It reports false if the packet is to
// be passed on.
func (a *Agent) holdPacket(fl *ownedFlow, p *flow.Packet, data []byte) bool {
	if !fl.waiting || p.Size == 0 {
		return false
	}
	isCopy := slices.ContainsFunc(fl.held, func(h heldPacket) bool { return h.seq == p.Seq })
	if !isCopy && len(fl.held) < maxHeldPackets {
		fl.held = append(fl.held, heldPacket{seq: p.Seq, data: slices.Clone(data)})
	}
	return true
}

// releaseRequests gives the host as many waiting requests as it has room for.
func (a *Agent) releaseRequests(now time.Duration, out Output) {
	if a.scheduler.queue.Len() == 0 || !a.hasRoom(now) {
		return
	}
	a.expireWaiting(now)
	for a.scheduler.queue.Len() > 0 && a.hasRoom(now) {
		r, _ := a.scheduler.queue.Pop(now, a.hostSlots())
		a.release(now, &r, out)
	}
}

// release gives the host a request that Pop has returned.
func (a *Agent) release(now time.Duration, r *steering.QueuedRequest, out Output) {
	fl := a.flows[r.Key]
	if fl == nil || !fl.waiting {
		return
	}
	if a.scheduler.stats.observeRelease(now, fl.requestedAt, r) {
		a.logRequest(EventRequestLate, now, fl.requestedAt, r)
	}
	held := fl.held
	fl.waiting, fl.held = false, nil
	a.startRequest(now, fl, r.Key)
	for _, h := range held {
		a.hostLiveness.packetSent(now)
		out.ToHost(h.data)
	}
}

// ReleaseAll gives the host all waiting requests, and from then on each one that
// arrives. It is called before the process stops, since a requester does not send them
// again until its retransmission timeout.
func (a *Agent) ReleaseAll(now time.Duration, out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scheduler.stopping = true
	a.releaseRequests(now, out)
}

// expireRequests removes requests whose requesters have given up from the queue, and
// requests that have been unanswered for too long to be in service from the running
// ones, and fills the room that they leave.
func (a *Agent) expireRequests(now time.Duration, out Output) {
	a.expireWaiting(now)
	a.scheduler.running = slices.DeleteFunc(a.scheduler.running, func(r runningRequest) bool {
		return a.pause.since(now, r.releasedAt) > a.overdueAfter(r.key)
	})
	// The number of slots may have changed, too.
	a.scheduler.fillSlots(now, a.hostSlots())
	a.releaseRequests(now, out)
}

// expireWaiting removes requests whose requesters have given up from the queue.
func (a *Agent) expireWaiting(now time.Duration) {
	for {
		r, found := a.scheduler.queue.PopExpired(now)
		if !found {
			return
		}
		a.scheduler.stats.of(r.Priority).expired++
		if fl := a.flows[r.Key]; fl != nil && fl.waiting {
			a.logRequest(EventRequestExpired, now, fl.requestedAt, &r)
			fl.requestPending = false
			a.unansweredRequests--
			a.discardHeld(fl)
		}
	}
}

// abandonRequest ends the request of a flow that the host was given and whose requester
// no longer waits for the answer. Requests that wait end by their own limits.
func (a *Agent) abandonRequest(now time.Duration, fl *ownedFlow, key flow.Key) {
	route := schedulable(a.config.Catalog(), key)
	if fl.requestPending && !fl.waiting && route != nil && now-fl.requestedAt > route.Timeout {
		a.endRequest(now, fl, key)
	}
}

// hostLostFlow records that the host has lost a flow. Unless the flow is older than the
// last known restart of the host, which then explains the loss, the host has restarted
// and lost the requests that occupied it, too.
func (s *requestScheduler) hostLostFlow(now time.Duration, fl *ownedFlow) {
	if fl.acceptedAt > s.hostRestartedAt {
		s.running, s.hostRestartedAt = nil, now
	}
}

// backlogAhead returns the host's backlog as far as it delays a new request of the
// given priority. Behind a host that has stalled everything waits.
func (a *Agent) backlogAhead(now time.Duration, priority int) steering.Backlog {
	b := steering.Backlog{Busy: a.unansweredRequests, Slots: a.hostSlots(), ServiceTime: a.serviceTime.Mean()}
	if !a.hostStalled(now) {
		b.Busy += a.scheduler.queue.Ahead(now, priority) - a.scheduler.queue.Len()
	}
	return b
}

const (
	// stallFactor is the multiple of the mean service time without any answer after
	// which a host whose slots are all in use counts as stalled, and minStallTime the
	// lower limit of that time, since single requests may take far longer than the mean.
	stallFactor  = 6
	minStallTime = 200 * time.Millisecond
)

// hostStalled reports whether the host's slots are all in use and it has answered
// nothing for much longer than its service time.
func (a *Agent) hostStalled(now time.Duration) bool {
	return a.requestsAtHost() >= a.hostSlots() && a.pause.since(now, a.scheduler.silentSince) > max(minStallTime, stallFactor*a.serviceTime.Mean())
}

// countCanceled counts a waiting request whose requester ended or reset the flow.
func (a *Agent) countCanceled(now time.Duration, fl *ownedFlow, key flow.Key) {
	if route := schedulable(a.config.Catalog(), key); route != nil {
		a.scheduler.stats.of(route.Priority).canceled++
		a.config.Events.Log(EventRequestCanceled, key, "priority", route.Priority, "waited_ms", (now - fl.requestedAt).Milliseconds(),
			"waiting", a.scheduler.queue.Len())
	}
}
