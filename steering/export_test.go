package steering

import "time"

// AdmitsLate makes admitsLate accessible to tests.
func (q *RequestQueue) AdmitsLate(now time.Duration, priority int, limit time.Duration, backlog Backlog) bool {
	return q.admitsLate(now, priority, limit, backlog, 0)
}

// Targets returns the number of targets that the batcher holds.
func (b *QuestionBatcher) Targets() int { return len(b.targets) }
