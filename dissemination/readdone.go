package dissemination

import (
	"strings"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/platform"
	"github.com/turmericrock/turmericrock/revision"
)

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
	switch r.holder.Evaluate(p.revision, p.digest) {
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
	if r.listConfirmed(now, event) {
		return
	}
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

// listConfirmed reports whether the read brought the list that is held, which
// need not be decoded then.
func (r *Replica) listConfirmed(now time.Time, event ReadDone) bool {
	zone := strings.TrimPrefix(event.Key, platform.KeyVMs(""))
	held := r.lists[zone]
	if held == nil || held.order == nil || held.listed.Version != event.Value.Version {
		return false
	}
	held.confirmed = maxTime(held.confirmed, event.Started)
	if zone != r.config.Self.Zone {
		r.readState(event.Key).next = now.Add(r.jitter(otherListAge / 2))
	}
	return true
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
