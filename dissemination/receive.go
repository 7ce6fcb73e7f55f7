package dissemination

import (
	"encoding/hex"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
)

// responseReceived applies the lists in a response, and its manifest and parts
// to the pending configuration.
func (r *Replica) responseReceived(now time.Time, l *link, response Response) {
	for _, list := range response.Lists {
		r.listReceived(now, l, list)
	}
	p := r.pending
	if p == nil {
		return
	}
	if response.Manifest != nil {
		r.manifestReceived(now, l, response.Manifest)
	}
	r.partsReceived(now, l, response)
}

// listReceived applies a list, or a difference to a held list. A difference
// from a list that is not held is ignored.
func (r *Replica) listReceived(now time.Time, l *link, update ListUpdate) {
	base := fleet.VMList{Zone: update.Zone}
	if state := r.lists[update.Zone]; state != nil {
		base, _ = state.findVersion(update.Base)
	}
	list, err := r.builder.MergeList(base, update)
	if err != nil || !r.zoneDeclared(update.Zone) {
		return
	}
	r.adoptList(now, list, time.Time{}, l.hello.ID)
}

// zoneDeclared reports whether the zone is declared in the configuration or is
// the own zone. Only the lists of such zones are held, which bounds their
// number.
func (r *Replica) zoneDeclared(zone string) bool {
	for _, name := range r.zones() {
		if name == zone {
			return true
		}
	}
	return false
}

// manifestReceived sets the manifest of the pending configuration and requests
// its parts. A manifest that cannot be decoded rejects the configuration.
func (r *Replica) manifestReceived(now time.Time, l *link, update *ManifestUpdate) {
	p := r.pending
	if p.manifest != nil {
		return
	}
	manifest, err := r.decodeManifest(update)
	if err != nil {
		r.reject(now, p.revision, p.digest, l.hello.ID, err)
		r.pending = nil
		return
	}
	raw, err := fleet.Encode(manifest)
	if err != nil || fleet.Digest(raw) != p.digest || manifest.Revision != p.revision {
		// This answers an earlier request, or is a difference from another base.
		return
	}
	p.manifest, p.raw = &manifest, raw
	p.progressAt = now
	r.requestParts(now, l)
}

// decodeManifest returns the whole manifest that an update contains or leads
// to. It returns a *DifferenceError if the base is not held.
func (r *Replica) decodeManifest(update *ManifestUpdate) (fleet.Manifest, error) {
	if len(update.Whole) > 0 {
		return r.builder.Manifest(update.Whole)
	}
	base, found := r.values.manifest(hex.EncodeToString(update.Base))
	if !found {
		return fleet.Manifest{}, &DifferenceError{Kind: "manifest"}
	}
	return MergeManifest(base.manifest, update)
}

// partsReceived stores the requested parts in a response. If the other side
// lacks some, all missing parts are requested over another link whose peer has
// the configuration. If there is none, the pending link is 0, and they are read
// from the platform. Once all requested parts have arrived, requestParts
// requests the next missing ones or, if none is missing, adopts the
// configuration.
func (r *Replica) partsReceived(now time.Time, l *link, response Response) {
	p := r.pending
	if p == nil || p.manifest == nil || len(response.Parts)+len(response.Missing) == 0 {
		return
	}
	for _, data := range response.Parts {
		r.storePart(fleet.Digest(data), data)
	}
	if len(response.Missing) > 0 {
		p.incompleteLinks[l.id] = true
		p.link = 0
		r.requestParts(now, r.linkHolding(p.digest))
		return
	}
	p.progressAt = now
	if len(p.requested) == 0 {
		r.requestParts(now, l)
	}
}

// storePart stores a part if it was requested.
func (r *Replica) storePart(digest string, data []byte) {
	if r.pending.requested[digest] {
		delete(r.pending.requested, digest)
		r.values.parts[digest] = data
	}
}
