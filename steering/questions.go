package steering

import (
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

const (
	// QuestionDelay is how long a question of a search may wait for others to the same
	// agent. It is a tenth of the requesters' first retransmission interval.
	QuestionDelay = 20 * time.Millisecond
	// MaxBatchedQuestions is the number of questions that are sent together. Their frame
	// fits into a datagram of 1,250 bytes.
	MaxBatchedQuestions = 100
	// maxQuestionTargets limits the targets that questions wait for, about 5 MB of keys.
	// Questions to others are sent at once.
	maxQuestionTargets = 4096
)

// QuestionTarget is an agent that questions are for, and the service that they name. They
// are sent together only if they agree in both.
type QuestionTarget struct {
	Agent      [4]byte
	ServiceTag uint32
}

// QuestionBatch holds the flows of questions that are sent together.
type QuestionBatch struct {
	Target QuestionTarget
	Keys   []flow.Key
}

// QuestionBatcher decides when the questions of searches are sent. It answers the load after
// a restart of the whole fleet: each flow is searched for, and each search asks each agent of
// the service. A question after a pause is sent at once; further ones to the same agent wait
// for at most QuestionDelay and are sent together. It is not safe for concurrent use.
type QuestionBatcher struct {
	targets map[QuestionTarget]*questionQueue
	// dueAt is the earliest time at which waiting questions are due, valid if waiting is set.
	dueAt   time.Duration
	waiting bool
	// full reports that a target has MaxBatchedQuestions waiting.
	full bool
}

// questionQueue holds the questions to one target.
type questionQueue struct {
	// sentAt is when questions were last sent.
	sentAt time.Duration
	// dueAt is when keys are to be sent, valid if there are any.
	dueAt time.Duration
	keys  []flow.Key
}

// NewQuestionBatcher returns a batcher without waiting questions.
func NewQuestionBatcher() *QuestionBatcher {
	return &QuestionBatcher{targets: make(map[QuestionTarget]*questionQueue)}
}

// Ask adds a question that may wait for the given time, and returns how long it waits at
// most. The questions that are now due are returned by Due.
func (b *QuestionBatcher) Ask(to QuestionTarget, key flow.Key, now, patience time.Duration) time.Duration {
	if len(b.targets) >= maxQuestionTargets && b.targets[to] == nil {
		b.Expire(now)
		patience = 0
	}
	q := b.targets[to]
	if q == nil {
		q = &questionQueue{sentAt: now - QuestionDelay}
		b.targets[to] = q
	}
	dueAt := max(now, min(q.sentAt+QuestionDelay, now+patience))
	if len(q.keys) > 0 {
		dueAt = min(dueAt, q.dueAt)
	}
	q.keys = append(q.keys, key)
	if len(q.keys) >= MaxBatchedQuestions {
		dueAt, b.full = now, true
	}
	q.dueAt = dueAt
	if !b.waiting || dueAt < b.dueAt {
		b.dueAt, b.waiting = dueAt, true
	}
	return max(0, dueAt-now)
}

// Full reports that a full batch waits, so that Due is to be called before further questions.
func (b *QuestionBatcher) Full() bool { return b.full }

// NextDue returns when the first waiting questions are due, and false if there are none.
func (b *QuestionBatcher) NextDue() (time.Duration, bool) { return b.dueAt, b.waiting }

// Due removes and returns the questions that are due, in batches of at most
// MaxBatchedQuestions.
func (b *QuestionBatcher) Due(now time.Duration) []QuestionBatch {
	if !b.waiting || now < b.dueAt {
		return nil
	}
	var due []QuestionBatch
	b.waiting, b.full = false, false
	for to, q := range b.targets {
		if len(q.keys) > 0 && q.dueAt <= now {
			for keys := range slices.Chunk(q.keys, MaxBatchedQuestions) {
				due = append(due, QuestionBatch{Target: to, Keys: keys})
			}
			q.keys, q.sentAt = nil, now
		}
		if len(q.keys) > 0 && (!b.waiting || q.dueAt < b.dueAt) {
			b.dueAt, b.waiting = q.dueAt, true
		}
	}
	return due
}

// Expire forgets targets to which no question waits or was sent for QuestionDelay.
func (b *QuestionBatcher) Expire(now time.Duration) {
	for to, q := range b.targets {
		if len(q.keys) == 0 && now-q.sentAt >= QuestionDelay {
			delete(b.targets, to)
		}
	}
}
