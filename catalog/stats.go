package catalog

import (
	"sync/atomic"

	"github.com/turmericrock/turmericrock/internal/metrics"
)

// readOutcome is what became of a read.
type readOutcome int

// The counted outcomes.
const (
	// readChanged: the read changed the catalog.
	readChanged readOutcome = iota
	// readUnchanged: the read confirmed the catalog.
	readUnchanged
	// readOutdated: the read was ignored, since its position precedes the applied one.
	readOutdated
	// readOtherEra: the read is from another era than the applied state.
	readOtherEra
	// readFailed: the read returned an error.
	readFailed
	readOutcomes
)

var readOutcomeNames = [readOutcomes]string{"changed", "unchanged", "outdated", "other_era", "failed"}

// readCounters counts reads from the store and from peers. It is safe for concurrent
// use.
type readCounters [readOutcomes]atomic.Int64

func (c *readCounters) add(o readOutcome) { c[o].Add(1) }

// confirmCounters counts confirmations of the list of hosts by outcome. It is safe for
// concurrent use.
type confirmCounters struct {
	confirmed, failed atomic.Int64
}

// Collect implements metrics.Source. It emits the requested confirmations by outcome.
func (f *Confirmer) Collect(emit func(metrics.Sample)) {
	emit(metrics.Sample{Name: "catalog_confirmations", Cause: "confirmed", Value: f.counters.confirmed.Load()})
	emit(metrics.Sample{Name: "catalog_confirmations", Cause: "failed", Value: f.counters.failed.Load()})
}

// Collect implements metrics.Source. It emits the reads by outcome, and the position,
// the version and the age in milliseconds of the catalog.
func (s *Syncer) Collect(emit func(metrics.Sample)) {
	for o := range s.reads {
		emit(metrics.Sample{Name: "catalog_reads", Cause: readOutcomeNames[o], Value: s.reads[o].Load()})
	}
	c := s.Tracker.Current()
	if c == nil {
		return
	}
	emit(metrics.Sample{Name: "catalog_era", Value: c.Era, Gauge: true})
	emit(metrics.Sample{Name: "catalog_revision", Value: c.Revision, Gauge: true})
	emit(metrics.Sample{Name: "catalog_config_version", Value: int64(c.Config.Version), Gauge: true})
	emit(metrics.Sample{Name: "catalog_age_milliseconds", Value: (s.Now() - c.ConfirmedAt).Milliseconds(), Gauge: true})
}
