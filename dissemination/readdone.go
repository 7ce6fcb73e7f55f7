package dissemination

import (
	"strings"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/platform"
	"github.com/turmericrock/turmericrock/revision"
)

// readDone processes the result of a read and sets the earliest time of the
// next read of the key.
func (r *Replica) readDone(now time.Time, event ReadDone) {
	state := r.readState(event.Key)
	state.inFlight = false
	if event.Err != nil {
		r.counts.ReadErrors++
		backoff := min(minReadInterval<<min(state.failures, 8), maxReadBackoff)
		state.failures++
		state.nextAt = now.Add(r.jitter(backoff))
		return
	}
	state.failures = 0
	state.after = event.Value.Version
	state.nextAt = maxTime(now, event.StartedAt.Add(r.jitter(minReadInterval)))
	switch {
	case event.Key == platform.KeyManifest:
		r.manifestRead(now, event)
	case strings.HasPrefix(event.Key, platform.KeyVMs("")):
		r.listRead(now, event)
	default:
		r.partRead(now, event)
	}
}

// manifestRead processes a manifest from the platform: it confirms the
// configuration in force, or fetches a newer one.
func (r *Replica) manifestRead(now time.Time, event ReadDone) {
	manifest, err := r.builder.Manifest(event.Value.Data)
	if err != nil {
		r.reject(now, 0, fleet.Digest(event.Value.Data), platformSource, err)
		return
	}
	raw, err := fleet.Encode(manifest)
	if err != nil {
		return
	}
	p := &pending{
		revision:  manifest.Revision,
		digest:    fleet.Digest(raw),
		manifest:  &manifest,
		raw:       raw,
		currentAt: event.StartedAt,
		source:    platformSource,
	}
	switch r.holder.Evaluate(p.revision, p.digest) {
	case revision.Stale:
		r.counts.Stale++
	case revision.Conflicting:
		r.rejectConflict(now, p.revision, p.digest, platformSource)
	case revision.Confirmed:
		r.holder.Confirm(p.revision, event.StartedAt)
		if r.incomplete() {
			r.startFetch(now, p)
		}
	case revision.Accepted:
		r.startFetch(now, p)
	}
}

// startFetch makes a configuration announced by the platform the pending one
// and requests its parts.
func (r *Replica) startFetch(now time.Time, p *pending) {
	if r.recentlyRejected(now, p.digest) {
		return
	}
	if existing := r.pending; existing != nil && existing.digest == p.digest {
		existing.currentAt = maxTime(existing.currentAt, p.currentAt)
		if existing.manifest != nil {
			return
		}
	}
	p.requested = make(map[string]bool)
	p.incompleteLinks = make(map[LinkID]bool)
	p.progressAt = now
	r.pending = p
	r.requestParts(now, r.linkHolding(p.digest))
}

// linkHolding returns a link, preferably to a parent, whose other side has the
// pending configuration and is not known to lack parts of it, and sets it as
// the link to request them over. It returns nil if there is none.
func (r *Replica) linkHolding(digest string) *link {
	want := string(rawDigest(digest))
	var found *link
	for _, l := range r.sortedLinks() {
		if !l.up || string(l.state.Digest) != want || r.pending.incompleteLinks[l.id] || !r.mayHoldParts(l) {
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

// mayHoldParts reports whether the other side may hold the parts that this node
// needs. A child without a full copy may lack parts that a node with a full
// copy needs.
func (r *Replica) mayHoldParts(l *link) bool {
	return !l.inbound || l.hello.FullCopy || !r.holdsFullCopy()
}

// listRead processes a VM list from the platform.
func (r *Replica) listRead(now time.Time, event ReadDone) {
	if r.listConfirmed(now, event) {
		return
	}
	list, err := r.builder.VMList(event.Value)
	if err != nil || event.Key != platform.KeyVMs(list.Zone) {
		r.counts.Invalid++
		return
	}
	if list.Zone != r.config.Self.Zone {
		r.readState(event.Key).nextAt = now.Add(r.jitter(maxOtherListAge / 2))
	}
	r.adoptList(now, list, event.StartedAt, platformSource)
}

// listConfirmed reports whether the list that was read has the version that is
// held, and if so confirms the held list. It then need not be decoded.
func (r *Replica) listConfirmed(now time.Time, event ReadDone) bool {
	zone := strings.TrimPrefix(event.Key, platform.KeyVMs(""))
	state := r.lists[zone]
	if state == nil || state.order == nil || state.current.Version != event.Value.Version {
		return false
	}
	state.confirmedAt = maxTime(state.confirmedAt, event.StartedAt)
	if zone != r.config.Self.Zone {
		r.readState(event.Key).nextAt = now.Add(r.jitter(maxOtherListAge / 2))
	}
	return true
}

// partRead stores a part of the pending configuration and adopts the
// configuration if no part is missing.
func (r *Replica) partRead(now time.Time, event ReadDone) {
	p := r.pending
	delete(r.reads, event.Key)
	if p == nil || p.manifest == nil {
		return
	}
	r.storePart(fleet.Digest(event.Value.Data), event.Value.Data)
	p.progressAt = now
	if len(r.missingParts(p.manifest)) == 0 {
		r.adopt(now)
	}
}
