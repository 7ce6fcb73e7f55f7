package logging_test

import (
	"bytes"
	"io"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/logging"
)

// Guards against a panic of a goroutine that logs after the queue was closed.
func TestWriteAfterCloseReturnsAnError(t *testing.T) {
	var out bytes.Buffer
	q := logging.NewQueue(&out)
	_, err := q.Write([]byte("before\n"))
	must.NoError(t, err)
	q.Close()
	n, err := q.Write([]byte("after\n"))
	must.Zero(t, n)
	var closed *logging.QueueClosedError
	must.True(t, errors.As(err, &closed), must.Sprintf("%v", err))
	must.Eq(t, "before\n", out.String())
	q.Close() // A second call has no effect.
}

// Guards against a race, and a panic, of goroutines that log while the queue is closed.
func TestWritersDuringCloseGetAnError(t *testing.T) {
	const writers = 8
	for range 20 {
		q := logging.NewQueue(io.Discard)
		started := make(chan struct{}, writers)
		var group sync.WaitGroup
		for range writers {
			group.Go(func() {
				_, err := q.Write([]byte("first line\n"))
				must.NoError(t, err)
				started <- struct{}{}
				for err == nil {
					_, err = q.Write([]byte("line\n"))
				}
				var closed *logging.QueueClosedError
				must.True(t, errors.As(err, &closed))
			})
		}
		for range writers {
			<-started
		}
		q.Close()
		group.Wait()
	}
}
