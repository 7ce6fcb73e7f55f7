package datagram_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/datagram"
)

// Guards against questions waiting until an agent's next event because its node does not call
// Flush at the time asked for, or calls it only once.
func TestNodeCallsFlushAtTheTimesOfItsAlarm(t *testing.T) {
	n := newListeningNode(t, logrus.NewEntry(logrus.New()))
	flushed := make(chan time.Duration, 2)
	n.Alarm = datagram.NewAlarm()
	n.Flush = func(now time.Duration, _ datagram.Output) { flushed <- now }
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	for range 2 {
		at := n.Now() + 20*time.Millisecond
		n.Alarm.WakeAt(at)
		select {
		case now := <-flushed:
			must.GreaterEq(t, at, now)
		case <-time.After(stopTimeout):
			t.Fatal("not called")
		}
	}
	stop()
	must.NoError(t, <-ended)
	for range 3 {
		n.Alarm.WakeAt(0) // Does not block although nobody receives it.
	}
}
