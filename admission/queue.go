package admission

// Priority orders the requests that wait for a slot.
type Priority uint8

// Priorities, the first served first.
const (
	// ExistingFlow is for requests of flows that were served before: work already
	// begun goes before new work.
	ExistingFlow Priority = iota
	// NewFlow is for the first request of a flow.
	NewFlow
	priorityCount
)

// Queue holds the requests that wait for a slot, first come first served
// within a priority. It is bounded: when it is full a request of higher
// priority displaces the latest one of lower priority. It is not safe for
// concurrent use.
type Queue[T comparable] struct {
	waiting [priorityCount][]T
	size    int
}

// NewQueue returns a queue of the size given.
func NewQueue[T comparable](size int) *Queue[T] {
	return &Queue[T]{size: size}
}

// Resize changes the size. Requests that wait already stay.
func (q *Queue[T]) Resize(size int) {
	q.size = size
}

// Len returns the number of requests that wait.
func (q *Queue[T]) Len() int {
	return len(q.waiting[ExistingFlow]) + len(q.waiting[NewFlow])
}

// Push adds a request. It reports whether it was added, and which one it
// displaced, if any.
func (q *Queue[T]) Push(item T, priority Priority) (added bool, displaced T, found bool) {
	if q.Len() >= q.size {
		if priority != ExistingFlow || len(q.waiting[NewFlow]) == 0 {
			return false, displaced, false
		}
		last := len(q.waiting[NewFlow]) - 1
		displaced, found = q.waiting[NewFlow][last], true
		q.waiting[NewFlow] = q.waiting[NewFlow][:last]
	}
	q.waiting[priority] = append(q.waiting[priority], item)
	return true, displaced, found
}

// Pop takes the request that is served next.
func (q *Queue[T]) Pop() (item T, found bool) {
	for p := range q.waiting {
		if len(q.waiting[p]) > 0 {
			item = q.waiting[p][0]
			q.waiting[p] = q.waiting[p][1:]
			return item, true
		}
	}
	return item, false
}

// Remove takes out a request that no longer waits and reports whether it was
// in the queue.
func (q *Queue[T]) Remove(item T) bool {
	for p := range q.waiting {
		for i, waiting := range q.waiting[p] {
			if waiting == item {
				q.waiting[p] = append(q.waiting[p][:i:i], q.waiting[p][i+1:]...)
				return true
			}
		}
	}
	return false
}
