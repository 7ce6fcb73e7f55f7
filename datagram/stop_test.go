package datagram_test

import (
	"bytes"
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/datagram"
	"github.com/turmericrock/turmericrock/internal/logging"
)

// stopTimeout is the limit of the nodes in these tests. It only ends a test that fails.
const stopTimeout = 10 * time.Second

func newListeningNode(t *testing.T, log *logrus.Entry) *datagram.Node {
	started := time.Now()
	n := &datagram.Node{
		Sockets: datagram.Sockets{Peers: netip.MustParseAddrPort("127.0.0.1:0")},
		OnPeer:  func(time.Duration, [4]byte, []byte, datagram.Output) {},
		Expire:  func(time.Duration) {},
		Now:     func() time.Duration { return time.Since(started) },
		Log:     log, Events: datagram.NewEvents(log), StopTimeout: stopTimeout,
	}
	must.NoError(t, n.Listen())
	return n
}

// Guards against a panic of a process that stops: a goroutine of the node logged the end of
// its last call after the log queue had been closed.
func TestRunWaitsForBackgroundThatLogsDuringTheStop(t *testing.T) {
	var out bytes.Buffer
	queue := logging.NewQueue(&out)
	logger, err := logging.New(queue, "info")
	must.NoError(t, err)
	log := logrus.NewEntry(logger)
	n := newListeningNode(t, log)
	ctx, stop := context.WithCancel(context.Background())
	logged := make(chan struct{})
	stopped := make(chan struct{})
	n.Background = append(n.Background, func(ctx context.Context) {
		<-ctx.Done()
		// Gives a Run that does not wait the time to return before the line is logged.
		select {
		case <-stopped:
		case <-time.After(50 * time.Millisecond):
		}
		log.Info("store_lost")
		close(logged)
	})
	stop()
	must.NoError(t, n.Run(ctx))
	queue.Close()
	close(stopped)
	<-logged
	must.StrContains(t, out.String(), "msg=store_lost")
}

// Guards against sockets that close while a goroutine of the node still sends.
func TestSocketsAreOpenUntilBackgroundHasEnded(t *testing.T) {
	log := logrus.NewEntry(logrus.New())
	n := newListeningNode(t, log)
	receiver := newListeningNode(t, log)
	received := make(chan struct{}, 1)
	receiver.OnPeer = func(time.Duration, [4]byte, []byte, datagram.Output) { received <- struct{}{} }
	receiving, stopReceiver := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- receiver.Run(receiving) }()
	n.Sockets.Host = receiver.PeersAddr()
	n.Background = append(n.Background, func(ctx context.Context) {
		<-ctx.Done()
		n.NewOutput().ToHost([]byte("the last packet"))
	})
	ctx, stop := context.WithCancel(context.Background())
	stop()
	must.NoError(t, n.Run(ctx))
	select {
	case <-received:
	case <-time.After(stopTimeout):
		t.Error("the packet was not sent")
	}
	stopReceiver()
	must.NoError(t, <-done)
}

// testStopTimeout leaves the goroutines that are to end 500 ms, also on a busy machine.
const testStopTimeout = 2 * time.Second

// Guards against a stop that outlasts the platform's grace period because a goroutine of the
// node does not end.
func TestRunReturnsAlthoughBackgroundDoesNotEnd(t *testing.T) {
	n := newListeningNode(t, logrus.NewEntry(logrus.New()))
	n.StopTimeout = testStopTimeout
	release := make(chan struct{})
	ended := make(chan struct{})
	n.Background = append(n.Background, func(context.Context) {
		<-release
		close(ended)
	})
	ctx, stop := context.WithCancel(context.Background())
	stop()
	var timeout *datagram.StopTimeoutError
	must.True(t, errors.As(n.Run(ctx), &timeout))
	must.Eq(t, "background", timeout.Waiting)
	close(release)
	<-ended
}

// Guards against a stop that outlasts the platform's grace period because the processing of
// a datagram does not end.
func TestRunReturnsAlthoughAHandlerDoesNotEnd(t *testing.T) {
	n := newListeningNode(t, logrus.NewEntry(logrus.New()))
	n.StopTimeout = testStopTimeout
	release := make(chan struct{})
	blocked := make(chan struct{})
	n.OnPeer = func(time.Duration, [4]byte, []byte, datagram.Output) {
		close(blocked)
		<-release
	}
	defer close(release)
	n.Sockets.Host = n.PeersAddr()
	n.NewOutput().ToHost([]byte("a packet to itself"))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	<-blocked
	stop()
	var timeout *datagram.StopTimeoutError
	must.True(t, errors.As(<-done, &timeout))
	must.Eq(t, "readers", timeout.Waiting)
}
