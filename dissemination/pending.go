package dissemination

import (
	"encoding/hex"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/revision"
)

// pending is a configuration that is being fetched.
type pending struct {
	revision uint64
	digest   string
	// manifest is nil until it has arrived.
	manifest *fleet.Manifest
	raw      []byte
	// asOf is when the configuration was known to be current.
	asOf time.Time
	// source names who told of it.
	source string
	// link is where values are asked for, 0 for the platform.
	link LinkID
	// asked holds the digests of the parts that are on their way.
	asked map[string]bool
	// lacking holds the links whose other side lacks parts.
	lacking map[LinkID]bool
	// progressAt is when something of it last arrived.
	progressAt time.Time
}

const (
	// stallTime is the time without progress after which values are asked
	// for elsewhere.
	stallTime = time.Second
	// refuseTime is how long a configuration that is not valid is not
	// fetched again.
	refuseTime = time.Minute
	// maxRefused bounds the configurations remembered as not valid.
	maxRefused = 64
	// maxWant bounds the parts asked for in one message.
	maxWant = 256
	// platformSource names the platform in audit records.
	platformSource = "platform"
)

func (p *pending) stalled(now time.Time) bool {
	return now.Sub(p.progressAt) > stallTime
}

// open reports whether the configuration with the digest may be asked for
// over the link now.
func (p *pending) open(now time.Time, l *link, number uint64, digest string) bool {
	switch {
	case p.stalled(now):
		return true
	case p.digest == digest:
		return p.link == 0 && !p.lacking[l.id]
	default:
		return p.revision <= number
	}
}

// request fetches a configuration that the other side of the link holds.
func (r *Replica) request(now time.Time, l *link, state State, digest string) {
	if r.refusedLately(now, digest) {
		return
	}
	p := r.pending
	if p != nil && !p.open(now, l, state.Revision, digest) {
		return
	}
	if p == nil || p.digest != digest {
		p = &pending{revision: state.Revision, digest: digest, source: l.hello.ID, lacking: make(map[LinkID]bool)}
		if asked, ok := r.askedAt(l, state.Echo); ok {
			p.asOf = timeOf(asked, state.Age)
		}
		r.pending = p
	}
	if p.stalled(now) {
		clear(p.lacking)
	}
	p.link = l.id
	p.progressAt = now
	p.asked = make(map[string]bool)
	if held, found := r.values.manifest(digest); found {
		p.manifest, p.raw = &held.manifest, held.raw
	}
	if p.manifest != nil {
		r.wantParts(now, l)
		return
	}
	r.send(l, Message{Want: &Want{Manifest: rawDigest(digest), Base: r.digest()}})
}

// needed returns the digests of the parts that the node holds: all of them,
// or the one that holds its service.
func (r *Replica) needed(manifest *fleet.Manifest) []string {
	if !r.full() {
		if ref, found := manifest.PartFor(r.config.Self.Service); found {
			return []string{ref.Digest}
		}
	}
	digests := make([]string, 0, len(manifest.Parts))
	for _, ref := range manifest.Parts {
		digests = append(digests, ref.Digest)
	}
	return digests
}

func (r *Replica) missing(manifest *fleet.Manifest) []string {
	var missing []string
	for _, digest := range r.needed(manifest) {
		if _, held := r.values.parts[digest]; !held {
			missing = append(missing, digest)
		}
	}
	return missing
}

// incomplete reports whether the node now needs more parts than it holds.
func (r *Replica) incomplete() bool {
	check := completeness{config: r.holder.Config(), full: r.full(), parts: len(r.values.parts)}
	if check.config == nil {
		return false
	}
	if check != r.checked {
		r.checked = check
		r.lacking = len(r.missing(&check.config.Manifest)) > 0
	}
	return r.lacking
}

// completeness is what the outcome of incomplete depends on.
type completeness struct {
	config *fleet.Config
	full   bool
	parts  int
}

// wantParts asks for the parts that are missing, and adopts the
// configuration when none is.
func (r *Replica) wantParts(now time.Time, l *link) {
	p := r.pending
	missing := r.missing(p.manifest)
	if len(missing) == 0 {
		r.adopt(now)
		return
	}
	if l == nil {
		return
	}
	want := &Want{}
	for _, digest := range missing[:min(len(missing), maxWant)] {
		p.asked[digest] = true
		want.Parts = append(want.Parts, rawDigest(digest))
	}
	r.send(l, Message{Want: want})
}

func (r *Replica) wantReceived(l *link, want Want) {
	if len(want.Manifest) > 0 {
		value := r.values.tell(hex.EncodeToString(want.Manifest), hex.EncodeToString(want.Base))
		if value != nil {
			r.send(l, Message{Value: &Value{Manifest: value}})
		}
	}
	if len(want.Parts) > 0 {
		r.sendParts(l, want.Parts)
	}
	for _, ask := range want.Lists {
		if list, newer := r.tellList(ask); newer {
			r.send(l, Message{Value: &Value{Lists: []ListValue{list}}})
		}
	}
}

// sendParts sends parts in messages of a bounded size.
func (r *Replica) sendParts(l *link, digests [][]byte) {
	value := &Value{}
	size := 0
	for _, digest := range digests {
		data, held := r.values.parts[hex.EncodeToString(digest)]
		if !held {
			value.Missing = append(value.Missing, digest)
			continue
		}
		if size > 0 && size+len(data) > maxValueSize {
			r.send(l, Message{Value: value})
			value = &Value{}
			size = 0
		}
		value.Parts = append(value.Parts, data)
		size += len(data)
	}
	r.send(l, Message{Value: value})
}

// maxValueSize is the size in bytes up to which parts share a message.
const maxValueSize = 256 << 10

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

// adopt assembles and offers what was fetched.
func (r *Replica) adopt(now time.Time) {
	p := r.pending
	r.pending = nil
	config, err := r.builder.Assemble(*p.manifest, r.values.parts, !r.full())
	if err != nil {
		r.refuse(now, p.revision, p.digest, p.source, err)
		return
	}
	before := r.holder.Config()
	verdict := r.holder.Offer(config, p.asOf)
	r.act(ConfigJudged{Before: before, Config: config, Verdict: verdict, Source: p.source})
	if verdict != revision.Accepted {
		return
	}
	r.counts.Adopted++
	if r.adoptedAt.IsZero() {
		r.adoptedAt = now
	}
	r.values.keep(heldManifest{digest: p.digest, manifest: *p.manifest, raw: p.raw})
	r.changed[changedConfig] = true
}

// checkPending gives up what does not arrive; the next word of a peer starts
// it again. What the platform told of stays, and its parts are read there.
func (r *Replica) checkPending(now time.Time) {
	p := r.pending
	if p == nil || !p.stalled(now) || p.manifest != nil {
		return
	}
	r.pending = nil
}

func (r *Replica) conflict(now time.Time, number uint64, digest, source string) {
	r.counts.Conflicting++
	if r.refusedLately(now, digest) {
		return
	}
	r.rememberRefused(now, digest)
	r.act(ConfigRefused{Revision: number, Source: source, Err: &ConflictError{Revision: number}})
}

func (r *Replica) refuse(now time.Time, number uint64, digest, source string, err error) {
	r.counts.Invalid++
	r.rememberRefused(now, digest)
	r.act(ConfigRefused{Revision: number, Source: source, Err: err})
}

func (r *Replica) refusedLately(now time.Time, digest string) bool {
	at, found := r.refused[digest]
	return found && now.Sub(at) < refuseTime
}

func (r *Replica) rememberRefused(now time.Time, digest string) {
	if len(r.refused) >= maxRefused {
		clear(r.refused)
	}
	r.refused[digest] = now
}
