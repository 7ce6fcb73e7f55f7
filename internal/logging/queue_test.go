package logging_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/logging"
)

func TestQueueWritesAllLinesInOrder(t *testing.T) {
	var out bytes.Buffer
	q := logging.NewQueue(&out)
	for range 100 {
		_, err := q.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	q.Close()
	must.Eq(t, strings.Repeat("line\n", 100), out.String())
	must.Zero(t, q.Dropped())
}

// blockedWriter blocks all writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	q := logging.NewQueue(out)
	start := time.Now()
	for range 5000 {
		_, err := q.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	must.Less(t, time.Second, time.Since(start))
	must.Positive(t, q.Dropped())
	close(out.release)
	q.Close()
	must.StrContains(t, out.String(), "msg=log_lines_dropped")
}
