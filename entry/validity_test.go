package entry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/node"
)

func TestViewExpiresUnlessFactsAreCurrent(t *testing.T) {
	b := newBed(t, "a")
	b.list("a", 2)
	b.run(time.Second)
	must.Between(t, viewLifetime-extendInterval, b.until.Sub(b.now), viewLifetime)

	// A process that wakes does not extend the view before its configuration
	// is confirmed again.
	until := b.until
	asleep := b.now
	b.now = b.now.Add(20 * time.Second)
	b.engine.Step(b.now)
	must.Eq(t, until, b.until)
	b.now = b.now.Add(extendInterval)
	b.update(node.Confirmed{Revision: b.revision, AsOf: asleep})
	must.Eq(t, until, b.until)
	b.run(time.Second)
	must.True(t, b.until.After(b.now))
}

func TestWokenEntryProbesNobodyBeforeItsFactsAreConfirmed(t *testing.T) {
	b := newBed(t, "a")
	b.list("a", 2)
	b.run(2 * time.Second)
	b.now = b.now.Add(20 * time.Second)
	probes := b.probes
	for range 10 {
		b.engine.Step(b.now)
		b.now = b.now.Add(scanInterval)
	}
	must.Eq(t, probes, b.probes)
	b.run(time.Second)
	must.Greater(t, probes, b.probes)
}

func TestDeadlineIsOnTheMonotonicClock(t *testing.T) {
	start := time.Now()
	d := newDeadline(start)
	must.True(t, d.passed(start))
	d.extend(start.Add(time.Second))
	must.False(t, d.passed(start.Add(time.Second-1)))
	must.True(t, d.passed(start.Add(time.Second)))
}
