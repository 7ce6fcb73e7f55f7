package dissemination

import (
	"encoding/hex"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
)

func (r *Replica) valueReceived(now time.Time, l *link, value Value) {
	for _, list := range value.Lists {
		r.listReceived(now, l, list)
	}
	p := r.pending
	if p == nil {
		return
	}
	if value.Manifest != nil {
		r.manifestReceived(now, l, value.Manifest)
	}
	r.partsReceived(now, l, value)
}

func (r *Replica) listReceived(now time.Time, l *link, value ListValue) {
	held := fleet.VMList{Zone: value.Zone}
	if state := r.lists[value.Zone]; state != nil {
		held, _ = state.version(value.Base)
	}
	list, err := r.builder.Merge(held, value)
	if err != nil || !r.listAllowed(value.Zone) {
		return
	}
	r.adoptList(now, list, time.Time{}, l.hello.ID)
}

// listAllowed bounds the zones whose lists are held to those that are
// declared.
func (r *Replica) listAllowed(zone string) bool {
	for _, name := range r.zones() {
		if name == zone {
			return true
		}
	}
	return false
}

func (r *Replica) manifestReceived(now time.Time, l *link, value *ManifestValue) {
	p := r.pending
	if p.manifest != nil {
		return
	}
	manifest, err := r.decodeManifest(value)
	if err != nil {
		r.refuse(now, p.revision, p.digest, l.hello.ID, err)
		r.pending = nil
		return
	}
	raw, err := fleet.Encode(manifest)
	if err != nil || fleet.Digest(raw) != p.digest || manifest.Revision != p.revision {
		// The answer to an earlier request, or a difference that does not fit.
		return
	}
	p.manifest, p.raw = &manifest, raw
	p.progressAt = now
	r.wantParts(now, l)
}

func (r *Replica) decodeManifest(value *ManifestValue) (fleet.Manifest, error) {
	if len(value.Whole) > 0 {
		return r.builder.Manifest(value.Whole)
	}
	base, found := r.values.manifest(hex.EncodeToString(value.Base))
	if !found {
		return fleet.Manifest{}, &DifferenceError{Kind: "manifest"}
	}
	return MergeManifest(base.manifest, value)
}

func (r *Replica) partsReceived(now time.Time, l *link, value Value) {
	p := r.pending
	if p == nil || p.manifest == nil || len(value.Parts)+len(value.Missing) == 0 {
		return
	}
	for _, data := range value.Parts {
		r.keepPart(fleet.Digest(data), data)
	}
	if len(value.Missing) > 0 {
		p.lacking[l.id] = true
		p.link = 0
		r.wantParts(now, r.holderOf(p.digest))
		return
	}
	p.progressAt = now
	if len(p.asked) == 0 {
		r.wantParts(now, l)
	}
}

// keepPart holds a part that was asked for.
func (r *Replica) keepPart(digest string, data []byte) {
	if r.pending.asked[digest] {
		delete(r.pending.asked, digest)
		r.values.parts[digest] = data
	}
}
