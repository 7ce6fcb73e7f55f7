package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxQueuedLines is the number of lines buffered while the output is slow.
	maxQueuedLines = 512
	// maxBatchBytes is the size from which a batch takes no more lines before it is
	// written.
	maxBatchBytes = 32 << 10
	// FlushTimeout is the maximum time that Close waits for queued lines.
	FlushTimeout = 200 * time.Millisecond
)

// Queue is an io.Writer that passes lines to an output in the background, so that
// Write never blocks. Lines that do not fit in the queue are dropped and counted.
type Queue struct {
	// mu guards closed, and with it lines against writes after Close.
	mu           sync.RWMutex
	closed       bool
	lines        chan []byte
	dropped      atomic.Int64
	done         chan struct{}
	failedWrites atomic.Int64
}

// NewQueue returns a queue that writes to out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go q.drain(out)
	return q
}

// QueueClosedError reports a write to a queue that has been closed.
type QueueClosedError struct{}

// Error implements error.
func (e *QueueClosedError) Error() string { return "the log queue is closed" }

// Write implements io.Writer. It returns len(line) and a nil error even if the line is
// dropped because the queue is full, and a *QueueClosedError after Close.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		return 0, errors.WithStack(&QueueClosedError{})
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// FailedWrites returns the number of writes that the output returned an error for.
func (q *Queue) FailedWrites() int64 { return q.failedWrites.Load() }

// Close writes the queued lines, for at most FlushTimeout. Further calls only wait.
func (q *Queue) Close() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-time.After(FlushTimeout):
	}
}

func (q *Queue) drain(out io.Writer) {
	defer close(q.done)
	reported := int64(0)
	var batch []byte
	for line := range q.lines {
		batch = append(batch[:0], line...)
		batch = q.appendQueued(batch)
		if dropped := q.Dropped(); dropped > reported {
			batch = fmt.Appendf(batch, "level=warning msg=log_lines_dropped count=%d\n", dropped-reported)
			reported = dropped
		}
		if _, err := out.Write(batch); err != nil {
			q.failedWrites.Add(1)
		}
	}
}

// appendQueued appends lines that are already queued to the batch, up to
// maxBatchBytes.
func (q *Queue) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line, open := <-q.lines:
			if !open {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
