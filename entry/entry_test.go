package entry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/internal/audit"
	"github.com/turmericrock/turmericrock/internal/metrics"
	"github.com/turmericrock/turmericrock/internal/node"
	"github.com/turmericrock/turmericrock/platform"
)

// unavailablePlatform blocks each read until its context is done, then fails
// it.
type unavailablePlatform struct{}

// Read implements platform.Reader.
func (unavailablePlatform) Read(ctx context.Context, key string) (platform.Value, error) {
	return unavailablePlatform{}.Watch(ctx, key, 0, 0)
}

// Watch implements platform.Reader.
func (unavailablePlatform) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (platform.Value, error) {
	<-ctx.Done()
	return platform.Value{}, &platform.ReadError{Key: key, Err: ctx.Err()}
}

func newTestEntry(t *testing.T, grace time.Duration) *Entry {
	t.Helper()
	b := newTestbed(t, "a")
	config := b.board.Config
	freeConn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must.NoError(t, err)
	config.Self.Addr = freeConn.LocalAddr().(*net.UDPAddr).AddrPort()
	must.NoError(t, freeConn.Close())
	config.Listen = []Listener{{Addr: netip.MustParseAddrPort("127.0.0.1:0"), ServicePort: 443}}
	config.StopGrace = grace
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	e := New(config, b.board.Keys, unavailablePlatform{}, log, audit.NewTrail(log, 10))
	b.addHosts("a", 1)
	e.engine.Post(NodeUpdated{Update: node.ConfigOffered{
		Config: b.board.Node.Holder.Config(), AsOf: time.Now(), Source: "test",
	}})
	e.engine.Post(NodeUpdated{Update: node.ListOffered{List: b.lists["a"], Source: "test"}})
	return e
}

// awaitReady blocks until the entry is ready.
func awaitReady(t *testing.T, e *Entry) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for e.Ready() != nil {
		<-ticker.C
	}
}

func notReadyCause(err error) string {
	var notReady *NotReadyError
	if errors.As(err, &notReady) {
		return notReady.Cause
	}
	return ""
}

func TestStoppingEntryForwardsAndIsNotReady(t *testing.T) {
	e := newTestEntry(t, time.Hour)
	must.Eq(t, "no_configuration", notReadyCause(e.Ready()))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	runResult := make(chan error, 1)
	go func() { runResult <- e.Run(ctx) }()
	awaitReady(t, e)
	e.Stop()
	e.Stop()
	must.Eq(t, "stopping", notReadyCause(e.Ready()))
	must.False(t, e.viewDeadline.passed(time.Now()))
	must.Zero(t, len(runResult))
	cancel()
	must.NoError(t, <-runResult)
}

func TestStoppedEntryEndsAfterGracePeriod(t *testing.T) {
	e := newTestEntry(t, time.Nanosecond)
	runResult := make(chan error, 1)
	go func() { runResult <- e.Run(context.Background()) }()
	awaitReady(t, e)
	e.Stop()
	must.NoError(t, <-runResult)
}

func TestEntryWithoutHostsIsNotReady(t *testing.T) {
	b := newTestbed(t, "a")
	e := New(b.board.Config, b.board.Keys, unavailablePlatform{}, nil, nil)
	e.viewDeadline.extend(time.Now().Add(time.Hour))
	e.views.Store(b.view)
	must.Eq(t, "no_hosts", notReadyCause(e.Ready()))
	b.addHosts("a", 1)
	b.advance(scanInterval)
	e.views.Store(b.view)
	must.NoError(t, e.Ready())
}

func TestStatusAndMetricsShowEveryCause(t *testing.T) {
	e := newTestEntry(t, time.Hour)
	e.engine.Step(time.Now())
	status := e.Status()
	must.Eq(t, "entry-1", status.ID)
	must.MapLen(t, int(verdictCount), status.Packets)
	must.MapLen(t, int(reportVerdictCount), status.Reports)
	samples := make(map[string]bool)
	e.Collect(func(sample metrics.Sample) {
		must.False(t, samples[sample.Name+sample.Cause])
		samples[sample.Name+sample.Cause] = true
	})
	must.True(t, samples["entry_packetsstale_view"])
	must.True(t, samples["entry_reportsforged"])
	must.True(t, samples["entry_hostssuspect"])
}
