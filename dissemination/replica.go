package dissemination

import (
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/revision"
)

// Replica makes the decisions of one node and holds its copies of the
// configuration and the VM lists. It is not safe for concurrent use.
type Replica struct {
	config  Config
	holder  *revision.Holder
	builder Builder
	random  *rand.Rand

	// epoch is the time of the first call of Handle or Step, the origin of the
	// probes in polls.
	epoch      time.Time
	lastStepAt time.Time
	pause      pauseState

	values valueStore
	lists  map[string]*listState
	// zoneHeardAt is when a node of each zone was last heard.
	zoneHeardAt map[string]time.Time
	links       map[LinkID]*link
	peers       map[string]*peer
	reads       map[string]*readState
	ownReads    ownReads
	bucket      tokenBucket
	pending     *pending
	// rejected is when each configuration, by its digest, was last rejected.
	rejected map[string]time.Time

	// zoneNames caches the names of the zones that zoneNamesConfig declares, and
	// of the own zone.
	zoneNames       []string
	zoneNamesConfig *fleet.Config
	selfRank        cachedRank
	// firstConfigAt is when the node was first ready to adopt a configuration.
	firstConfigAt time.Time
	// peersConfirmed is set once a synced peer answered a poll with a
	// configuration that is not newer than the one in force, or StartupTimeout
	// has passed.
	peersConfirmed bool
	// checkedInputs and checkedIncomplete cache the latest result of incomplete.
	checkedInputs     completenessInputs
	checkedIncomplete bool
	// linkCache holds the links in order of their IDs. It is nil when it is out
	// of date.
	linkCache  []*link
	nextLink   LinkID
	nextDialAt time.Time
	// nextSelectionAt is when the wanted links are next selected.
	nextSelectionAt time.Time
	// changed holds the zones whose lists changed since the last push, and
	// changedConfig if the configuration did.
	changed map[string]bool
	// presences holds the latest report on each node that was lost or heard
	// again.
	presences     map[string]presence
	presenceQueue []queuedPresence
	actions       []Action
	counts        Counts
}

// Counts holds the counters of a Replica.
type Counts struct {
	// Adopted counts configurations that came into force.
	Adopted uint64
	// Stale counts answers of the platform with a revision older than the one in
	// force.
	Stale uint64
	// Conflicting counts announcements of the revision in force with different
	// content.
	Conflicting uint64
	// Invalid counts invalid configurations, and invalid VM lists from the
	// platform.
	Invalid uint64
	// Reads counts reads sent to the platform.
	Reads uint64
	// ReadErrors counts reads that failed.
	ReadErrors uint64
	// Dials counts links that this node opened.
	Dials uint64
	// PollTimeouts counts links closed because the peer left polls unanswered.
	PollTimeouts uint64
	// InboundRejected counts inbound links rejected because MaxInbound was
	// reached.
	InboundRejected uint64
	// Pauses counts detected pauses of the process.
	Pauses uint64
	// PresenceUpdates counts reports of lost and returned nodes that were stored.
	PresenceUpdates uint64
	// RetainedLists counts VM lists that lost so many VMs that these were
	// retained.
	RetainedLists uint64
}

// New returns the replica of a node that has just started. The holder may
// already have a configuration.
func New(config Config, holder *revision.Holder, builder Builder, random *rand.Rand) *Replica {
	return &Replica{
		config:      config,
		holder:      holder,
		builder:     builder,
		random:      random,
		values:      newValueStore(),
		lists:       make(map[string]*listState),
		zoneHeardAt: make(map[string]time.Time),
		links:       make(map[LinkID]*link),
		peers:       make(map[string]*peer),
		reads:       make(map[string]*readState),
		rejected:    make(map[string]time.Time),
		nextLink:    1,
		changed:     make(map[string]bool),

		presences: make(map[string]presence),
	}
}

// Counts returns a copy of the counters.
func (r *Replica) Counts() Counts {
	return r.counts
}

// TakeActions returns and clears the actions decided since the last call.
func (r *Replica) TakeActions() []Action {
	actions := r.actions
	r.actions = nil
	return actions
}

// Handle processes an event.
func (r *Replica) Handle(now time.Time, event Event) {
	r.initClock(now)
	switch event := event.(type) {
	case LinkOpened:
		r.linkOpened(now, event)
	case LinkClosed:
		r.linkClosed(now, event)
	case Received:
		r.received(now, event)
	case ReadDone:
		r.readDone(now, event)
	}
	r.pushChanges(now)
}

// Step does what is due by now. It has to be called several times a second,
// and more often than PauseThreshold.
func (r *Replica) Step(now time.Time) {
	r.initClock(now)
	r.detectPause(now)
	r.closeSilentLinks(now)
	r.expireRetained(now)
	r.expirePending(now)
	r.adoptInitial(now)
	r.selectLinks(now)
	r.sendDuePolls(now)
	r.scheduleReads(now)
	r.pushChanges(now)
	r.broadcastPresence(now)
}

func (r *Replica) initClock(now time.Time) {
	if r.epoch.IsZero() {
		r.epoch = now
		r.lastStepAt = now
	}
}

func (r *Replica) emit(action Action) {
	r.actions = append(r.actions, action)
}

// jitter returns a random duration between 75% and 125% of d.
func (r *Replica) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + r.random.Float64()/2))
}

// randomUpTo returns a random duration between 0 and d.
func (r *Replica) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.random.Float64())
}

// digest returns the digest of the manifest in force, or nil.
func (r *Replica) digest() []byte {
	inForce := r.holder.Config()
	if inForce == nil {
		return nil
	}
	return rawDigest(inForce.Digest)
}

// rawDigest decodes a hexadecimal digest, the form that is used outside
// messages. It returns nil if the digest is not valid.
func rawDigest(digest string) []byte {
	raw, err := hex.DecodeString(digest)
	if err != nil {
		return nil
	}
	return raw
}

// ageOf returns the time from at to now in milliseconds, or unknownAge if at
// is zero.
func ageOf(now, at time.Time) uint32 {
	if at.IsZero() {
		return unknownAge
	}
	age := max(0, now.Sub(at).Milliseconds())
	return uint32(min(age, int64(unknownAge-1)))
}

// timeOf returns the time that was age milliseconds before now, or the zero
// time if age is unknownAge.
func timeOf(now time.Time, age uint32) time.Time {
	if age == unknownAge {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}
