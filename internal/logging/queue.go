package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is how many lines wait for a slow output.
	maxQueuedLines = 512
	// maxBatchBytes is how much is written at once.
	maxBatchBytes = 32 << 10
	// flushTimeout bounds how long the end of a process waits for its lines.
	flushTimeout = 200 * time.Millisecond
)

// Queue writes lines to an output without ever blocking the writer of a line:
// when the output is slow, lines are dropped and counted.
type Queue struct {
	lines        chan []byte
	dropped      atomic.Int64
	done         chan struct{}
	failedWrites atomic.Int64
}

// NewQueue returns a queue before the output.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go q.drain(out)
	return q
}

// Write implements io.Writer. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the output was slow.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// FailedWrites returns how many writes the output refused.
func (q *Queue) FailedWrites() int64 { return q.failedWrites.Load() }

// Close writes what waits, for a bounded time. No line may be written after it.
func (q *Queue) Close() {
	close(q.lines)
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
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

// appendQueued appends the lines that wait already.
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
