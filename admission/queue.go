package admission

// Priority orders the requests that wait for a slot.
type Priority uint8

// Priorities, the first served first.
const (
	// Begun is for requests of flows that were served before: work already
	// begun goes before new work.
	Begun Priority = iota
	// New is for the first request of a flow.
	New
	priorities
)

// Queue holds the requests that wait for a slot, first come first served
// within a priority. It is bounded: when it is full a request of higher
// priority displaces the latest one of lower priority. It is not safe for
// concurrent use.
type Queue[T comparable] struct {
	waiting [priorities][]T
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
	return len(q.waiting[Begun]) + len(q.waiting[New])
}

// Push adds a request. It reports whether it was added, and which one it
// displaced, if any.
func (q *Queue[T]) Push(item T, priority Priority) (added bool, displaced T, found bool) {
	if q.Len() >= q.size {
		if priority != Begun || len(q.waiting[New]) == 0 {
			return false, displaced, false
		}
		last := len(q.waiting[New]) - 1
		displaced, found = q.waiting[New][last], true
		q.waiting[New] = q.waiting[New][:last]
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
