package node

import (
	"time"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/internal/metrics"
)

// Snapshot is the state of a replica at one point in time, for metrics and status.
type Snapshot struct {
	At       time.Time
	Watching bool
	Counts   dissemination.Counts
	Peers    []dissemination.Peer
	// ConfirmationAge is the time since the configuration in force was last known
	// to be current.
	ConfirmationAge time.Duration
}

const snapshotInterval = time.Second

// snapshot adds a Snapshot to the effects, at most once per snapshotInterval.
func (s *FleetState) snapshot(now time.Time) {
	if now.Sub(s.lastSnapshotAt) < snapshotInterval {
		return
	}
	s.lastSnapshotAt = now
	s.effects = append(s.effects, Snapshot{
		At:              now,
		Watching:        s.replica.Watching(now),
		Counts:          s.replica.Counts(),
		Peers:           s.replica.Peers(),
		ConfirmationAge: s.Holder.Age(now),
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
	emit(metrics.Sample{Name: "control_confirmation_age_ms", Value: s.ConfirmationAge.Milliseconds(), Gauge: true})
	emit(metrics.Sample{Name: "control_watching", Value: boolToInt(s.Watching), Gauge: true})
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

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
