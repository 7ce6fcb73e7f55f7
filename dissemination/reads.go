package dissemination

import (
	"strings"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/platform"
	"github.com/turmericrock/turmericrock/revision"
)

// readState is what a replica knows of one key of the platform.
type readState struct {
	inFlight bool
	// next is when the key may be read again.
	next time.Time
	// after is the version last seen.
	after    uint64
	failures int
}

// ownReads times the reads of a node that does not watch.
type ownReads struct {
	needed bool
	next   time.Time
	last   time.Time
	// sent counts the reads.
	sent int
}

// bucket is a token bucket for the reads of a watcher.
type bucket struct {
	tokens float64
	at     time.Time
}

const (
	// bucketSize is the number of reads that a watcher may send at once.
	bucketSize = 10
	// readGap is the least time between two reads of one key whose answers
	// come at once.
	readGap = 500 * time.Millisecond
	// maxReadBackoff bounds the time after a failed read of a watcher.
	maxReadBackoff = 4 * time.Second
	// otherListAge is the age from which a watcher reads the list of another
	// zone, since the mesh does not bring it.
	otherListAge = 10 * time.Second
	// newListAge is the age from which a node that no list names and that
	// polls nobody reads the list of its zone again.
	newListAge = 2 * time.Second
	// ownListAge is the age from which any node does.
	ownListAge = 30 * time.Second
)

func (r *Replica) scheduleReads(now time.Time) {
	if r.Watching(now) {
		r.own = ownReads{}
		r.watch(now)
		return
	}
	r.readForSelf(now)
}

// watch follows the manifest and the list of the zone, and reads what the
// mesh does not bring.
func (r *Replica) watch(now time.Time) {
	wait := r.jitter(r.config.WatchWait)
	r.read(now, platform.KeyManifest, wait)
	r.read(now, platform.KeyVMs(r.config.Self.Zone), wait)
	if p := r.pending; p != nil && p.manifest != nil && (p.link == 0 || p.stalled(now)) {
		for _, digest := range r.missing(p.manifest) {
			p.asked[digest] = true
			r.read(now, platform.KeyPart(digest), 0)
		}
	}
	if !r.full() {
		return
	}
	for _, zone := range r.zones() {
		if list := r.lists[zone]; list == nil || now.Sub(list.confirmed) > otherListAge {
			r.read(now, platform.KeyVMs(zone), 0)
		}
	}
}

// read sends a read of a watcher when it is due and within the rate.
func (r *Replica) read(now time.Time, key string, wait time.Duration) {
	state := r.readState(key)
	if state.inFlight || now.Before(state.next) || !r.takeToken(now) {
		return
	}
	r.sendRead(key, state, wait)
}

func (r *Replica) sendRead(key string, state *readState, wait time.Duration) {
	state.inFlight = true
	r.counts.Reads++
	r.act(Read{Key: key, After: state.after, Wait: wait})
}

func (r *Replica) readState(key string) *readState {
	state := r.reads[key]
	if state == nil {
		state = &readState{}
		r.reads[key] = state
	}
	return state
}

func (r *Replica) takeToken(now time.Time) bool {
	watching := (r.config.Watchers + r.config.Spares) * max(r.config.Zones, len(r.zones()))
	rate := float64(r.config.WatcherReads) / float64(watching)
	if r.bucket.at.IsZero() {
		r.bucket.tokens = bucketSize
	} else {
		r.bucket.tokens = min(bucketSize, r.bucket.tokens+rate*now.Sub(r.bucket.at).Seconds())
	}
	r.bucket.at = now
	if r.bucket.tokens < 1 {
		return false
	}
	r.bucket.tokens--
	return true
}

// readPeriod is the mean time between two own reads of a node. With it, the
// sum over a fleet of FleetLimit nodes stays at OwnReads, whatever the lists
// say.
func (r *Replica) readPeriod() time.Duration {
	return time.Duration(r.config.FleetLimit) * time.Second / time.Duration(max(1, r.config.OwnReads))
}

// readForSelf reads one value in each period while something is needed. The
// first read comes at a random time in the period, so that nodes that need
// something at the same time do not read at the same time.
func (r *Replica) readForSelf(now time.Time) {
	key := r.neededKey(now)
	if key == "" {
		r.own.needed = false
		return
	}
	period := r.readPeriod()
	if !r.own.needed {
		r.own.needed = true
		r.own.next = maxTime(now.Add(r.within(period)), r.own.last.Add(period*3/4))
	}
	state := r.readState(key)
	if now.Before(r.own.next) || state.inFlight {
		return
	}
	r.own.sent++
	r.own.last = now
	r.own.next = now.Add(r.jitter(period))
	r.sendRead(key, state, 0)
}

// neededKey returns the key of the value that the node needs most and that
// the mesh does not bring, or nothing.
func (r *Replica) neededKey(now time.Time) string {
	own := r.config.Self.Zone
	list := r.lists[own]
	noList := list == nil || list.order == nil
	if noList && !r.skipList(now) {
		return platform.KeyVMs(own)
	}
	if p := r.pending; p != nil && p.manifest != nil && (p.link == 0 || p.stalled(now)) {
		for _, digest := range r.missing(p.manifest) {
			p.asked[digest] = true
			return platform.KeyPart(digest)
		}
	}
	if r.configNeeded(now) {
		if !noList && r.unlisted() && now.Sub(list.confirmed) > newListAge {
			return platform.KeyVMs(own)
		}
		return platform.KeyManifest
	}
	if now.Sub(list.confirmed) > r.listAgeLimit() {
		return platform.KeyVMs(own)
	}
	for _, zone := range r.listedZones() {
		if other := r.lists[zone]; other == nil || other.order == nil {
			return platform.KeyVMs(zone)
		}
	}
	return ""
}

// skipList reports whether the node turns to the configuration although it
// holds no list of its zone: the platform has none, or does not give it, so
// the two take turns.
func (r *Replica) skipList(now time.Time) bool {
	failed := r.readState(platform.KeyVMs(r.config.Self.Zone)).failures > 0
	return failed && r.configNeeded(now) && r.own.sent%2 == 1
}

// configNeeded reports whether the configuration is missing or was not
// confirmed for long.
func (r *Replica) configNeeded(now time.Time) bool {
	return r.holder.Config() == nil || r.holder.Age(now) > r.config.OwnReadAfter
}

// unlisted reports whether no list names the node and it polls nobody.
func (r *Replica) unlisted() bool {
	_, listed := r.rank()
	return !listed && !r.polling()
}

func (r *Replica) listAgeLimit() time.Duration {
	if r.unlisted() {
		return newListAge
	}
	return ownListAge
}

func (r *Replica) readDone(now time.Time, event ReadDone) {
	state := r.readState(event.Key)
	state.inFlight = false
	if event.Err != nil {
		r.counts.ReadErrors++
		backoff := min(readGap<<min(state.failures, 8), maxReadBackoff)
		state.failures++
		state.next = now.Add(r.jitter(backoff))
		return
	}
	state.failures = 0
	state.after = event.Value.Version
	state.next = maxTime(now, event.Started.Add(r.jitter(readGap)))
	switch {
	case event.Key == platform.KeyManifest:
		r.manifestRead(now, event)
	case strings.HasPrefix(event.Key, platform.KeyVMs("")):
		r.listRead(now, event)
	default:
		r.partRead(now, event)
	}
}

func (r *Replica) manifestRead(now time.Time, event ReadDone) {
	manifest, err := r.builder.Manifest(event.Value.Data)
	if err != nil {
		r.refuse(now, 0, fleet.Digest(event.Value.Data), platformSource, err)
		return
	}
	raw, err := fleet.Encode(manifest)
	if err != nil {
		return
	}
	p := &pending{
		revision: manifest.Revision,
		digest:   fleet.Digest(raw),
		manifest: &manifest,
		raw:      raw,
		asOf:     event.Started,
		source:   platformSource,
	}
	switch r.holder.Judge(p.revision, p.digest) {
	case revision.Stale:
		r.counts.Stale++
	case revision.Conflicting:
		r.conflict(now, p.revision, p.digest, platformSource)
	case revision.Confirmed:
		r.holder.Confirm(p.revision, event.Started)
		if r.incomplete() {
			r.fetch(now, p)
		}
	case revision.Accepted:
		r.fetch(now, p)
	}
}

// fetch takes up a configuration that the platform told of.
func (r *Replica) fetch(now time.Time, p *pending) {
	if r.refusedLately(now, p.digest) {
		return
	}
	if held := r.pending; held != nil && held.digest == p.digest {
		held.asOf = maxTime(held.asOf, p.asOf)
		if held.manifest != nil {
			return
		}
	}
	p.asked = make(map[string]bool)
	p.lacking = make(map[LinkID]bool)
	p.progressAt = now
	r.pending = p
	r.wantParts(now, r.holderOf(p.digest))
}

// holderOf returns a link whose other side holds the pending configuration and
// is not known to lack parts of it, or nil. Links to parents come first.
func (r *Replica) holderOf(digest string) *link {
	want := string(rawDigest(digest))
	var found *link
	for _, l := range r.sortedLinks() {
		if !l.up || string(l.state.Digest) != want || r.pending.lacking[l.id] || !r.mayHold(l) {
			continue
		}
		if found == nil || found.inbound && !l.inbound {
			found = l
		}
	}
	if found != nil {
		r.pending.link = found.id
	}
	return found
}

// mayHold reports whether the other side may hold the parts that this node
// needs. A child that holds a part of the configuration may not.
func (r *Replica) mayHold(l *link) bool {
	return !l.inbound || l.hello.All || !r.full()
}

func (r *Replica) listRead(now time.Time, event ReadDone) {
	list, err := r.builder.VMList(event.Value)
	if err != nil || event.Key != platform.KeyVMs(list.Zone) {
		r.counts.Invalid++
		return
	}
	if list.Zone != r.config.Self.Zone {
		r.readState(event.Key).next = now.Add(r.jitter(otherListAge / 2))
	}
	r.adoptList(now, list, event.Started, platformSource)
}

func (r *Replica) partRead(now time.Time, event ReadDone) {
	p := r.pending
	delete(r.reads, event.Key)
	if p == nil || p.manifest == nil {
		return
	}
	r.keepPart(fleet.Digest(event.Value.Data), event.Value.Data)
	p.progressAt = now
	if len(r.missing(p.manifest)) == 0 {
		r.adopt(now)
	}
}
