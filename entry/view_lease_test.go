package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/node"
)

func TestViewExpiresUnlessFleetStateIsCurrent(t *testing.T) {
	b := newTestbed(t, "a")
	b.addHosts("a", 2)
	b.advance(time.Second)
	must.Between(t, viewLeaseDuration-viewLeaseRenewInterval, b.viewValidUntil.Sub(b.now), viewLeaseDuration)

	// A process that resumes after a pause does not renew the view's lease
	// until its configuration is confirmed again.
	until := b.viewValidUntil
	pausedAt := b.now
	b.now = b.now.Add(20 * time.Second)
	b.engine.Step(b.now)
	must.Eq(t, until, b.viewValidUntil)
	b.now = b.now.Add(viewLeaseRenewInterval)
	b.applyUpdate(node.RevisionConfirmed{Revision: b.revision, AsOf: pausedAt})
	must.Eq(t, until, b.viewValidUntil)
	b.advance(time.Second)
	must.True(t, b.viewValidUntil.After(b.now))
}

func TestResumedEntryDoesNotProbeBeforeRevisionIsConfirmed(t *testing.T) {
	b := newTestbed(t, "a")
	b.addHosts("a", 2)
	b.advance(2 * time.Second)
	b.now = b.now.Add(20 * time.Second)
	probes := b.probeCount
	for range 10 {
		b.engine.Step(b.now)
		b.now = b.now.Add(scanInterval)
	}
	must.Eq(t, probes, b.probeCount)
	b.advance(time.Second)
	must.Greater(t, probes, b.probeCount)
}

func TestViewDeadlineUsesMonotonicClock(t *testing.T) {
	start := time.Now()
	d := newViewDeadline(start)
	must.True(t, d.passed(start))
	d.extend(start.Add(time.Second))
	must.False(t, d.passed(start.Add(time.Second-1)))
	must.True(t, d.passed(start.Add(time.Second)))
}
