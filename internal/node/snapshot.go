package node

import (
	"time"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/internal/metrics"
)

// Snapshot is the state of a replica at one moment, for operators.
type Snapshot struct {
	At       time.Time
	Watching bool
	Counts   dissemination.Counts
	Peers    []dissemination.Peer
	// Age is the time since the configuration in force was known to be
	// current.
	Age time.Duration
}

const snapshotInterval = time.Second

// snapshot notes the state of the replica once in an interval.
func (f *Facts) snapshot(now time.Time) {
	if now.Sub(f.snapshotAt) < snapshotInterval {
		return
	}
	f.snapshotAt = now
	f.effects = append(f.effects, Snapshot{
		At:       now,
		Watching: f.replica.Watching(now),
		Counts:   f.replica.Counts(),
		Peers:    f.replica.Peers(),
		Age:      f.Holder.Age(now),
	})
}

func (s *Snapshot) collect(emit func(metrics.Sample)) {
	counts := s.Counts
	count := func(name, cause string, value uint64) {
		emit(metrics.Sample{Name: name, Cause: cause, Value: int64(value)})
	}
	count("control_configurations", "adopted", counts.Adopted)
	count("control_configurations", "stale", counts.Stale)
	count("control_configurations", "conflicting", counts.Conflicting)
	count("control_configurations", "invalid", counts.Invalid)
	count("control_platform_reads", "sent", counts.Reads)
	count("control_platform_reads", "failed", counts.ReadErrors)
	count("control_links", "opened", counts.Dials)
	count("control_links", "silent", counts.PollTimeouts)
	count("control_links", "full", counts.InboundRejected)
	count("control_pauses", "", counts.Pauses)
	count("control_lists_retained", "", counts.RetainedLists)
	emit(metrics.Sample{Name: "control_confirmation_age_ms", Value: s.Age.Milliseconds(), Gauge: true})
	emit(metrics.Sample{Name: "control_watching", Value: boolValue(s.Watching), Gauge: true})
	s.collectPeers(emit)
}

func (s *Snapshot) collectPeers(emit func(metrics.Sample)) {
	byStatus := make(map[string]int64)
	for _, peer := range s.Peers {
		byStatus[peer.Status.String()]++
		if peer.Leaving {
			byStatus["leaving"]++
		}
	}
	for status, n := range byStatus {
		emit(metrics.Sample{Name: "control_peers", Cause: status, Value: n, Gauge: true})
	}
}

func boolValue(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
