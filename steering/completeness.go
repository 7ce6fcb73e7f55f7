package steering

import (
	"time"

	"github.com/turmericrock/turmericrock/steering/pacing"
)

const (
	// announceBudget is the rate, in bytes per second, at which an agent whose
	// host is not listed may announce itself.
	announceBudget = 24_000
	// announcementSize is the size of an announcement in bytes, with its IP and
	// UDP headers.
	announcementSize = 76
	// minAnnounceInterval is the shortest time between two announcements.
	minAnnounceInterval = 100 * time.Millisecond
	// reporterListening is how long an agent that reads the store for others must have
	// listened for announcements for its report to be complete. It covers the time by
	// which machines that start together differ, a first reading of a large configuration
	// and several announcements.
	reporterListening = 500 * time.Millisecond
	// minReporters is the number of such agents whose reports are needed, since lists of
	// hosts may differ for a moment.
	minReporters = 2
	// reportLifetime is the age up to which a report counts.
	reportLifetime = 300 * time.Millisecond
	// announceRounds is the number of announcements that an agent must have been
	// able to receive before it takes unlisted hosts to be known. Single frames
	// may be lost.
	announceRounds = 3
	// maxHostListAge is the largest age of the host list at which a flow may be
	// declared lost.
	maxHostListAge = 1500 * time.Millisecond
)

// ReporterAnnounceInterval is the time between two announcements of an agent whose host is
// not listed to those that read the store for others, and between two questions to them.
const ReporterAnnounceInterval = minAnnounceInterval

// AnnounceInterval returns the time between two announcements of an agent whose
// host is not listed, to each of the given number of agents.
func AnnounceInterval(agents int) time.Duration {
	byBudget := time.Duration(agents*announcementSize)*time.Second/announceBudget + 1
	return max(minAnnounceInterval, byBudget)
}

// HostListEvidence is what an agent knows about the completeness of its list of
// running hosts. A flow may be declared lost only if the list is complete. After
// all machines have lost power, every open flow waits for this decision.
type HostListEvidence struct {
	// ListAge is the time since the list was known to match the store.
	ListAge time.Duration
	// StoreReadable is how long reads of the store have succeeded.
	StoreReadable time.Duration
	// Listening is how long the agent has been able to receive the announcements
	// of agents whose hosts are not listed, or 0 if it cannot receive them.
	Listening time.Duration
	// Agents is the number of listed agents.
	Agents int
	// Reporters is the number of agents that read the store for others, and Reports holds
	// what they reported.
	Reporters int
	Reports   []UnlistedReport
}

// UnlistedReport is the word of an agent that reads the store for others on which agents
// have announced that their hosts are not listed.
type UnlistedReport struct {
	// Age is the time since the report arrived, and Listening how long its sender had
	// listened then.
	Age, Listening time.Duration
}

// Complete reports whether every running host is listed or has announced itself.
// Hosts that are cut off from the agent cannot announce themselves; they could
// not be asked either.
//
// Load pattern: all machines of a fleet of hundreds lose power and return. To hear from
// each agent directly takes the longer the more there are, and until then every request on
// a flow that was open waits, and comes at once with all others afterwards. Few agents are
// told often, and asked.
func (e HostListEvidence) Complete() bool {
	if e.ListAge > maxHostListAge {
		return false
	}
	return e.StoreReadable >= pacing.StoreSettleTime || e.Listening >= announceRounds*AnnounceInterval(e.Agents) || e.isReported()
}

// isReported reports whether enough agents have listened long enough.
func (e HostListEvidence) isReported() bool {
	complete := 0
	for _, r := range e.Reports {
		if r.Age <= reportLifetime && r.Listening >= reporterListening {
			complete++
		}
	}
	return complete > 0 && complete >= min(minReporters, e.Reporters)
}
