package admission

// Priority orders the requests that wait for a slot.
type Priority uint8

// The priorities, highest first.
const (
	// ExistingFlow is for requests of flows that have been served before, so that
	// work in progress is finished before new work is started.
	ExistingFlow Priority = iota
	// NewFlow is for the first request of a flow.
	NewFlow
	priorityCount
)

// Queue is a bounded priority queue of the requests that wait for a slot, FIFO
// within a priority. When it is full, a request of higher priority displaces
// the most recent one of lower priority. It is not safe for concurrent use.
type Queue[T comparable] struct {
	waiting [priorityCount][]T
	size    int
}

// NewQueue returns an empty queue for at most size requests.
func NewQueue[T comparable](size int) *Queue[T] {
	return &Queue[T]{size: size}
}

// Resize changes the size. Requests that are already queued stay.
func (q *Queue[T]) Resize(size int) {
	q.size = size
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int {
	return len(q.waiting[ExistingFlow]) + len(q.waiting[NewFlow])
}

// Push adds a request. It reports whether the request was added, and returns
// the request that it displaced; found is false if it displaced none.
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

// Pop removes and returns the next request to serve; found is false if the
// queue is empty.
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

// Remove removes a request, such as a canceled one, and reports whether it was
// queued.
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
