package steering

import (
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
	deliveryMargin = 10 * time.Millisecond
	// workMargin is the multiple of the expected work that has to fit before a
	// deadline, since half of all requests need more than the mean.
	workMargin = 1.5
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
	return r.finishesBy(r.Objective, now)
}

func (r *QueuedRequest) finishesBy(deadline, now time.Duration) bool {
	return now+time.Duration(workMargin*float64(r.Work))+deliveryMargin <= deadline
}

// RequestQueue orders the requests that wait for a slot of one host by what
// waiting costs their callers. It answers loads above what the host serves: bursts,
// and the backlog that returns after an outage, in which a first-come queue serves
// every request just too late.
//
// Requests that can still meet their objective go first, then those that can only
// meet their time limit. Within both, a higher priority goes first, then the
// earlier deadline. While the requests that wait cannot all meet their objectives,
// the latest one goes first among equals: it has the most time left, and those that
// are passed over would be served too late anyway.
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
	order := releaseOrder{now: now, newestFirst: q.exceedsObjectives(now, slots), lowestFirst: q.passedOver >= maxPassedOver}
	best := 0
	lowest := q.waiting[0].Priority
	for i := range q.waiting {
		if order.precedes(&q.waiting[i], &q.waiting[best]) {
			best = i
		}
		lowest = max(lowest, q.waiting[i].Priority)
	}
	if q.waiting[best].Priority < lowest {
		q.passedOver++
	} else {
		q.passedOver = 0
	}
	q.late.observeRelease(now, !q.waiting[best].meetsObjective(now), q.lateWaiting(now))
	return q.take(best), true
}

func (q *RequestQueue) take(i int) QueuedRequest {
	r := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return r
}

// exceedsObjectives reports whether the waiting requests that can still meet their
// objectives take longer than the time that the latest of them has left.
func (q *RequestQueue) exceedsObjectives(now time.Duration, slots int) bool {
	var work, left time.Duration
	for i := range q.waiting {
		r := &q.waiting[i]
		if r.meetsObjective(now) {
			work += r.Work
			left = max(left, r.Objective-now-deliveryMargin)
		}
	}
	return work/time.Duration(max(1, slots)) > left
}

// releaseOrder compares requests at one release.
type releaseOrder struct {
	now time.Duration
	// newestFirst prefers the latest among requests of equal rank, lowestFirst the
	// lowest priority.
	newestFirst, lowestFirst bool
}

// precedes reports whether a is to be released before b.
func (o releaseOrder) precedes(a, b *QueuedRequest) bool {
	aMeets, bMeets := a.meetsObjective(o.now), b.meetsObjective(o.now)
	if aMeets != bMeets {
		return aMeets
	}
	if a.Priority != b.Priority {
		return (a.Priority < b.Priority) != o.lowestFirst
	}
	if aMeets {
		return (a.Objective < b.Objective) != o.newestFirst
	}
	aFinishes, bFinishes := a.finishesBy(a.Limit, o.now), b.finishesBy(b.Limit, o.now)
	if aFinishes != bFinishes {
		return aFinishes
	}
	return a.Limit < b.Limit
}

// Ahead returns how many waiting requests would be released before a new one of the
// given priority that can meet its objective.
func (q *RequestQueue) Ahead(now time.Duration, priority int) int {
	n := 0
	for i := range q.waiting {
		if r := &q.waiting[i]; r.Priority <= priority && r.meetsObjective(now) {
			n++
		}
	}
	return n
}

// AdmitsLate reports whether a new request of the given priority that misses its
// objective would still be released in time for its requester, which waits until
// limit. It answers the backlog after an outage: requests that come at once and are
// refused use up their tries although there is room a moment later. While requests
// that can meet their objectives fill the host, late ones are not released, and
// nothing more is admitted late.
func (q *RequestQueue) AdmitsLate(now time.Duration, priority int, limit time.Duration, backlog Backlog) bool {
	ahead := 0
	for i := range q.waiting {
		if r := &q.waiting[i]; r.Priority <= priority || r.meetsObjective(now) {
			ahead++
		}
	}
	full := float64(max(1, backlog.Slots)) / max(backlog.ServiceTime.Seconds(), minServiceTime.Seconds())
	wait := float64(ahead+1) / max(full*q.late.share(now), minLateRate)
	return now+time.Duration(wait*float64(time.Second))+backlog.ServiceTime <= limit-deliveryMargin
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
)

// lateRate tracks which share of a host's releases goes to late requests while such
// requests wait.
type lateRate struct {
	value      float64
	observedAt time.Duration
	known      bool
}

// observeRelease records a release.
func (l *lateRate) observeRelease(now time.Duration, late bool, lateWaiting int) {
	if lateWaiting == 0 {
		return
	}
	sample := 0.0
	if late {
		sample = 1
	}
	l.value = l.share(now) + lateSmoothing*(sample-l.share(now))
	l.observedAt, l.known = now, true
}

// lateSmoothing is the weight of a release in the share of late releases.
const lateSmoothing = 0.1

// share returns the share of releases that late requests can count on. It returns to
// initialLateShare while no late request waits.
func (l *lateRate) share(now time.Duration) float64 {
	if !l.known {
		return initialLateShare
	}
	keep := halfLifeDecay(now-l.observedAt, lateHalfLife)
	return initialLateShare + keep*(l.value-initialLateShare)
}
