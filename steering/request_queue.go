package steering

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

const (
	// maxPassedOver is how many releases in succession may pass over a waiting
	// request of lower priority. It bounds the starvation of the lowest priority.
	maxPassedOver = 7
	// deliveryMargin is the part of a deadline that is set aside for carrying the
	// answer to the requester.
	deliveryMargin = 5 * time.Millisecond
	// drainMargin is the multiple of the expected work that a backlog is assumed to
	// take, since work scatters and requests of higher priority may still arrive.
	drainMargin = 1.25
)

// QueuedRequest describes a request that waits for a slot of its host. Times are
// on the local clock.
type QueuedRequest struct {
	Key flow.Key
	// Priority is that of the request's route; 0 is the highest.
	Priority int
	// Objective is the time by which the request is to be answered, Limit the time
	// at which its requester gives up.
	Objective, Limit time.Duration
	// Work is the expected time in service.
	Work time.Duration
}

// meetsObjective reports whether the request would be answered in time if it
// were released now.
func (r *QueuedRequest) meetsObjective(now time.Duration) bool {
	return now+r.Work+deliveryMargin <= r.Objective
}

// meetsLimit reports whether the request would be answered before its requester gives
// up if it were released now.
func (r *QueuedRequest) meetsLimit(now time.Duration) bool {
	return now+r.Work+deliveryMargin <= r.Limit
}

// RequestQueue orders the requests that wait for a slot of one host by what
// waiting costs their callers. It answers loads above what the host serves: bursts,
// and the backlog that returns after an outage, in which a first-come queue serves
// every request just too late.
//
// Requests that can still meet their objectives go first, by earliest objective while
// this order meets all of them. While it does not, a higher priority goes first, and
// among equals the earliest objective, or the latest one if the requests of this
// priority alone exceed the host: the latest has the most time left, and those that
// are passed over would be served too late anyway. Requests that can only meet their
// time limits go after them, by priority and earliest limit.
//
// It is not safe for concurrent use.
type RequestQueue struct {
	waiting []QueuedRequest
	// passedOver counts the releases in succession that passed over a request of
	// lower priority.
	passedOver int
	late       lateRate
}

// Len returns the number of waiting requests.
func (q *RequestQueue) Len() int { return len(q.waiting) }

// WaitingByPriority returns the numbers of waiting requests by priority.
func (q *RequestQueue) WaitingByPriority() map[int]int {
	waiting := make(map[int]int)
	for i := range q.waiting {
		waiting[q.waiting[i].Priority]++
	}
	return waiting
}

// Push adds a request.
func (q *RequestQueue) Push(r QueuedRequest) {
	q.waiting = append(q.waiting, r)
}

// Remove removes the request of a flow, such as a canceled one. It reports false if
// there is none.
func (q *RequestQueue) Remove(key flow.Key) bool {
	i := slices.IndexFunc(q.waiting, func(r QueuedRequest) bool { return r.Key == key })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// PopExpired removes and returns a request whose requester has given up; found is
// false if there is none.
func (q *RequestQueue) PopExpired(now time.Duration) (r QueuedRequest, found bool) {
	for i := range q.waiting {
		if now >= q.waiting[i].Limit {
			return q.take(i), true
		}
	}
	return QueuedRequest{}, false
}

// Pop removes and returns the request to release next to a host with the given
// number of slots; found is false if none waits.
func (q *RequestQueue) Pop(now time.Duration, slots int) (r QueuedRequest, found bool) {
	if len(q.waiting) == 0 {
		return QueuedRequest{}, false
	}
	next := q.next(now, slots)
	if q.passesOver(next, now) {
		q.passedOver++
	} else {
		q.passedOver = 0
	}
	q.late.observeRelease(now, !q.waiting[next].meetsObjective(now), q.lateWaiting(now))
	return q.take(next), true
}

// passesOver reports whether a request of lower priority waits that could be answered.
func (q *RequestQueue) passesOver(next int, now time.Duration) bool {
	for i := range q.waiting {
		if r := &q.waiting[i]; r.Priority > q.waiting[next].Priority && r.meetsLimit(now) {
			return true
		}
	}
	return false
}

// next returns the index of the request to release next.
func (q *RequestQueue) next(now time.Duration, slots int) int {
	// The order by objective is that of the queue but for the ages of openings.
	slices.SortStableFunc(q.waiting, func(a, b QueuedRequest) int { return cmp.Compare(a.Objective, b.Objective) })
	if q.passedOver >= maxPassedOver {
		return q.first(now, precedesByLowestPriority)
	}
	if q.meetsObjectives(now, slots, lowestOfAll) {
		return q.first(now, precedesByObjective)
	}
	urgent := q.first(now, precedesByPriority)
	priority := q.waiting[urgent].Priority
	if q.meetsObjectives(now, slots, priority) {
		return urgent
	}
	return q.latest(now, priority)
}

// lowestOfAll is a priority number that is not below that of any request.
const lowestOfAll = math.MaxInt

// The ranks of a request by what it can still meet.
const (
	meetsObjective = iota
	meetsLimit
	meetsNothing
)

// rankedRequest is a waiting request with its rank.
type rankedRequest struct {
	*QueuedRequest
	rank int
}

func (r *QueuedRequest) ranked(now time.Duration) rankedRequest {
	switch {
	case r.meetsObjective(now):
		return rankedRequest{r, meetsObjective}
	case r.meetsLimit(now):
		return rankedRequest{r, meetsLimit}
	default:
		return rankedRequest{r, meetsNothing}
	}
}

// first returns the index of the request that precedes all others, by the earliest
// objective if the order says nothing. The queue has to be in the order of objectives.
func (q *RequestQueue) first(now time.Duration, precedes func(a, b rankedRequest) bool) int {
	index, first := 0, q.waiting[0].ranked(now)
	for i := 1; i < len(q.waiting); i++ {
		if r := q.waiting[i].ranked(now); precedes(r, first) {
			index, first = i, r
		}
	}
	return index
}

// precedesByObjective orders requests that can meet their objectives by these, and the
// rest after them by priority.
func precedesByObjective(a, b rankedRequest) bool {
	if a.rank == meetsObjective && b.rank == meetsObjective {
		return false // The queue is in the order of objectives.
	}
	return precedesByPriority(a, b)
}

// precedesByPriority orders requests by what they can still meet, then by priority.
func precedesByPriority(a, b rankedRequest) bool {
	switch {
	case a.rank != b.rank:
		return a.rank < b.rank
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	default:
		return a.rank != meetsObjective && a.Limit < b.Limit
	}
}

// precedesByLowestPriority prefers lower priorities instead, also if they are late.
func precedesByLowestPriority(a, b rankedRequest) bool {
	answerable := a.rank != meetsNothing && b.rank != meetsNothing
	if a.Priority != b.Priority && (answerable || a.rank == b.rank) {
		return a.Priority > b.Priority
	}
	return precedesByPriority(a, b)
}

// latest returns the index of the request with the latest objective among those of a
// priority.
func (q *RequestQueue) latest(now time.Duration, priority int) int {
	latest := -1
	for i := range q.waiting {
		if r := &q.waiting[i]; r.Priority == priority && r.meetsObjective(now) && (latest < 0 || r.Objective >= q.waiting[latest].Objective) {
			latest = i
		}
	}
	return latest
}

// meetsObjectives reports whether all waiting requests of the given priority and higher
// ones that can still meet their objectives do so if they are released in the order of
// these, in which the queue has to be.
func (q *RequestQueue) meetsObjectives(now time.Duration, slots, priority int) bool {
	var work time.Duration
	for i := range q.waiting {
		r := &q.waiting[i]
		if r.Priority > priority || !r.meetsObjective(now) {
			continue
		}
		start := now + time.Duration(drainMargin*float64(work))/time.Duration(max(1, slots))
		if !r.meetsObjective(start) {
			return false
		}
		work += r.Work
	}
	return true
}

func (q *RequestQueue) take(i int) QueuedRequest {
	r := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return r
}

// Ahead returns how many waiting requests would be released before a new one of the
// given priority that can meet its objective.
func (q *RequestQueue) Ahead(now time.Duration, priority int) int {
	n := 0
	for i := range q.waiting {
		if q.waiting[i].isAhead(now, priority) {
			n++
		}
	}
	return n
}

// isAhead reports whether the request would be released before a new one of the given
// priority that can meet its objective.
func (r *QueuedRequest) isAhead(now time.Duration, priority int) bool {
	return r.Priority <= priority && r.meetsObjective(now)
}

// lateAdmission estimates whether a new request of the given priority that misses its
// objective would still be released in time for its requester, which waits until
// limit, if some more requests were ahead of it than there are. It answers the backlog
// after an outage: requests that come at once and are refused use up their tries
// although there is room a moment later. While requests that can meet their
// objectives fill the host, late ones are not released, and nothing more is admitted
// late. Requests that the host was given beyond its slots are served first.
func (q *RequestQueue) lateAdmission(now time.Duration, priority int, limit time.Duration, backlog Backlog, more int) LateAdmission {
	atHost := backlog.Busy - q.Ahead(now, priority)
	ahead := max(0, atHost-backlog.Slots) + more
	for i := range q.waiting {
		if r := &q.waiting[i]; r.Priority <= priority || r.meetsObjective(now) {
			ahead++
		}
	}
	full := float64(max(1, backlog.Slots)) / max(backlog.ServiceTime.Seconds(), minServiceTime.Seconds())
	share := q.late.share(now)
	wait := time.Duration(float64(ahead+1) / max(full*share, minLateRate) * float64(time.Second))
	return LateAdmission{
		Considered: true, Admitted: now+wait+backlog.ServiceTime <= limit-deliveryMargin,
		Ahead: ahead, Wait: wait, Share: share,
	}
}

// LateLatency returns the expected latency of a new request of the given priority that
// misses its objective. The backlog is what is ahead of one that meets it.
func (q *RequestQueue) LateLatency(now time.Duration, priority int, backlog Backlog) time.Duration {
	return q.lateAdmission(now, priority, 0, backlog, 0).Wait + backlog.ServiceTime
}

// lateWaiting returns how many waiting requests can no longer meet their objectives.
func (q *RequestQueue) lateWaiting(now time.Duration) int {
	n := 0
	for i := range q.waiting {
		if !q.waiting[i].meetsObjective(now) {
			n++
		}
	}
	return n
}

const (
	// minServiceTime and minLateRate, in requests per second, keep estimates of the
	// wait finite.
	minServiceTime = time.Millisecond
	minLateRate    = 0.01
	// lateHalfLife is the half-life of the deviation of the share from
	// initialLateShare. It is long compared with the time between two releases, so
	// that almost nothing is admitted late while late requests are not released.
	lateHalfLife = 2 * time.Second
	// initialLateShare is the share of releases that is assumed to go to late requests
	// while nothing is known.
	initialLateShare = 0.5
	// lateSmoothing is the weight of a release in the share of late releases.
	lateSmoothing = 0.1
)

// lateRate tracks which share of a host's releases goes to late requests while such
// requests wait.
type lateRate struct {
	// observed is the share as of observedAt, valid if known is set.
	observed   float64
	observedAt time.Duration
	known      bool
}

// observeRelease records a release, given how many late requests waited.
func (l *lateRate) observeRelease(now time.Duration, late bool, lateWaiting int) {
	if lateWaiting == 0 {
		return
	}
	sample := 0.0
	if late {
		sample = 1
	}
	share := l.share(now)
	l.observed = share + lateSmoothing*(sample-share)
	l.observedAt, l.known = now, true
}

// share returns the share of releases that late requests can count on. It returns to
// initialLateShare while no late request waits.
func (l *lateRate) share(now time.Duration) float64 {
	if !l.known {
		return initialLateShare
	}
	keep := halfLifeDecay(now-l.observedAt, lateHalfLife)
	return initialLateShare + keep*(l.observed-initialLateShare)
}
