package dissemination

import (
	"time"

	"github.com/turmericrock/turmericrock/platform"
)

// readState is the state of the reads of one platform key.
type readState struct {
	inFlight bool
	// nextAt is the earliest time of the nextAt read of the key.
	nextAt time.Time
	// after is the version that was last read.
	after uint64
	// failures is the number of failed reads since the last successful one.
	failures int
}

// tokenBucket limits the rate of the reads of a watcher.
type tokenBucket struct {
	tokens float64
	// refilledAt is when tokens was last refilled.
	refilledAt time.Time
}

const (
	// maxBurst is the number of reads that a watcher may send at once.
	maxBurst = 10
	// minReadInterval is the minimum time between two reads of one key. It takes
	// effect when reads are answered at once.
	minReadInterval = 500 * time.Millisecond
	// maxReadBackoff is the maximum mean delay after a failed read of a watcher.
	maxReadBackoff = 4 * time.Second
	// maxOtherListAge is the age after which a watcher reads the list of another
	// zone from the platform, since its peers do not provide it.
	maxOtherListAge = 10 * time.Second
	// maxUnlistedListAge is the age after which a node that is in no list and
	// polls no peer reads the list of its zone again.
	maxUnlistedListAge = 2 * time.Second
	// maxOwnListAge is the age after which any other node that is not a watcher
	// reads the list of its zone again.
	maxOwnListAge = 30 * time.Second
)

// scheduleReads sends the reads that are due: those of a watcher, or the own
// read of any other node.
func (r *Replica) scheduleReads(now time.Time) {
	if r.Watching(now) {
		r.ownReads = ownReads{}
		r.watch(now)
		return
	}
	r.scheduleOwnRead(now)
}

// watch watches the manifest and the list of the zone, and reads values that
// the peers do not provide.
func (r *Replica) watch(now time.Time) {
	wait := r.jitter(r.config.WatchTimeout)
	r.watcherRead(now, platform.KeyManifest, wait)
	r.watcherRead(now, platform.KeyVMs(r.config.Self.Zone), wait)
	if p := r.pending; p != nil && p.manifest != nil && (p.link == 0 || p.stalled(now)) {
		for _, digest := range r.missingParts(p.manifest) {
			p.requested[digest] = true
			r.watcherRead(now, platform.KeyPart(digest), 0)
		}
	}
	if !r.holdsFullCopy() {
		return
	}
	for _, zone := range r.zones() {
		if list := r.lists[zone]; list == nil || now.Sub(list.confirmedAt) > maxOtherListAge {
			r.watcherRead(now, platform.KeyVMs(zone), 0)
		}
	}
}

// watcherRead sends a read of a watcher if it is due and the rate limit allows
// it.
func (r *Replica) watcherRead(now time.Time, key string, wait time.Duration) {
	state := r.readState(key)
	if state.inFlight || now.Before(state.nextAt) || !r.takeToken(now) {
		return
	}
	r.sendRead(key, state, wait)
}

// sendRead asks the caller to read a key, or to watch it for up to wait if wait
// is not 0.
func (r *Replica) sendRead(key string, state *readState, wait time.Duration) {
	state.inFlight = true
	r.counts.Reads++
	r.emit(Read{Key: key, After: state.after, Wait: wait})
}

// readState returns the state of the reads of a key, creating it if needed.
func (r *Replica) readState(key string) *readState {
	state := r.reads[key]
	if state == nil {
		state = &readState{}
		r.reads[key] = state
	}
	return state
}

// takeToken reports whether the rate limit allows a read, and if so takes a
// token. Each watcher and standby watcher gets an equal share of WatcherReads.
func (r *Replica) takeToken(now time.Time) bool {
	watching := (r.config.Watchers + r.config.StandbyWatchers) * max(r.config.MinZones, len(r.zones()))
	rate := float64(r.config.WatcherReads) / float64(watching)
	if r.bucket.refilledAt.IsZero() {
		r.bucket.tokens = maxBurst
	} else {
		r.bucket.tokens = min(maxBurst, r.bucket.tokens+rate*now.Sub(r.bucket.refilledAt).Seconds())
	}
	r.bucket.refilledAt = now
	if r.bucket.tokens < 1 {
		return false
	}
	r.bucket.tokens--
	return true
}
