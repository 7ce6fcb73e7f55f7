package steering

import "time"

// AdmitsLate makes lateAdmission accessible to tests.
func (q *RequestQueue) AdmitsLate(now time.Duration, priority int, limit time.Duration, backlog Backlog) bool {
	return q.lateAdmission(now, priority, limit, backlog, 0).Admitted
}

// Targets returns the number of targets that the batcher holds.
func (b *QuestionBatcher) Targets() int { return len(b.targets) }
