package dissemination

import (
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/revision"
)

// Replica decides for one node. It belongs to one goroutine.
type Replica struct {
	config  Config
	holder  *revision.Holder
	builder Builder
	random  *rand.Rand

	epoch    time.Time
	lastStep time.Time
	pause    pauseState

	values  valueStore
	lists   map[string]*listState
	heard   map[string]time.Time
	links   map[LinkID]*link
	peers   map[string]*peer
	reads   map[string]*readState
	own     ownReads
	bucket  bucket
	pending *pending
	refused map[string]time.Time

	// zoneNames are the zones that the configuration zonesOf declares.
	zoneNames []string
	zonesOf   *fleet.Config
	place     ownPlace
	// toldAt is when the node first learnt of a configuration.
	toldAt time.Time
	// peersAsked is set once a peer answered a poll with a configuration that
	// is not newer than the one in force.
	peersAsked bool
	// checked and lacking hold the latest outcome of incomplete.
	checked completeness
	lacking bool
	// ordered holds the links in order of their IDs, or nil.
	ordered  []*link
	nextLink LinkID
	nextDial time.Time
	// nextChoice is when the links are next chosen.
	nextChoice time.Time
	changed    map[string]bool
	// presences holds word of nodes that were lost or heard again.
	presences map[string]presence
	news      []news
	actions   []Action
	counts    Counts
}

// Counts counts what a Replica decided and saw.
type Counts struct {
	// Adopted counts configurations taken into force.
	Adopted uint64
	// Stale counts answers of the platform with an older revision.
	Stale uint64
	// Conflicting counts offers with the revision in force and other content.
	Conflicting uint64
	// Invalid counts configurations that did not validate.
	Invalid uint64
	// Reads counts reads sent to the platform.
	Reads uint64
	// ReadErrors counts reads that failed.
	ReadErrors uint64
	// Dials counts links that this node opened.
	Dials uint64
	// Silent counts links closed since the peer left polls unanswered.
	Silent uint64
	// Full counts links of other nodes refused for their number.
	Full uint64
	// Pauses counts pauses of the process.
	Pauses uint64
	// Presences counts word of nodes that were lost or heard again.
	Presences uint64
	// Retained counts lists that lost so many VMs that these were kept.
	Retained uint64
}

// New returns the replica of a node that has just started. The holder may
// already hold a configuration.
func New(config Config, holder *revision.Holder, builder Builder, random *rand.Rand) *Replica {
	return &Replica{
		config:   config,
		holder:   holder,
		builder:  builder,
		random:   random,
		values:   newValueStore(),
		lists:    make(map[string]*listState),
		heard:    make(map[string]time.Time),
		links:    make(map[LinkID]*link),
		peers:    make(map[string]*peer),
		reads:    make(map[string]*readState),
		refused:  make(map[string]time.Time),
		nextLink: 1,
		changed:  make(map[string]bool),

		presences: make(map[string]presence),
	}
}

// Counts returns the counters.
func (r *Replica) Counts() Counts {
	return r.counts
}

// Take returns the actions decided since the last call.
func (r *Replica) Take() []Action {
	actions := r.actions
	r.actions = nil
	return actions
}

// Handle takes an event in.
func (r *Replica) Handle(now time.Time, event Event) {
	r.start(now)
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
	r.push(now)
}

// Step does what is due by time. It is called a few times a second.
func (r *Replica) Step(now time.Time) {
	r.start(now)
	r.checkPause(now)
	r.checkLinks(now)
	r.releaseRetained(now)
	r.checkPending(now)
	r.checkStart(now)
	r.chooseLinks(now)
	r.poll(now)
	r.scheduleReads(now)
	r.push(now)
	r.spread(now)
}

func (r *Replica) start(now time.Time) {
	if r.epoch.IsZero() {
		r.epoch = now
		r.lastStep = now
	}
}

func (r *Replica) act(action Action) {
	r.actions = append(r.actions, action)
}

// jitter returns a time between 75% and 125% of d.
func (r *Replica) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + r.random.Float64()/2))
}

// within returns a time between 0 and d.
func (r *Replica) within(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.random.Float64())
}

func (r *Replica) digest() []byte {
	held := r.holder.Config()
	if held == nil {
		return nil
	}
	return rawDigest(held.Digest)
}

func rawDigest(digest string) []byte {
	raw, err := hex.DecodeString(digest)
	if err != nil {
		return nil
	}
	return raw
}

// ageOf returns the time since at in milliseconds.
func ageOf(now, at time.Time) uint32 {
	if at.IsZero() {
		return unknownAge
	}
	age := max(0, now.Sub(at).Milliseconds())
	return uint32(min(age, int64(unknownAge-1)))
}

// timeOf returns the time that was age milliseconds before now.
func timeOf(now time.Time, age uint32) time.Time {
	if age == unknownAge {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}
