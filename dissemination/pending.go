package dissemination

import (
	"time"

	"github.com/turmericrock/turmericrock/fleet"
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

// checkPending gives up what does not arrive; the next word of a peer starts
// it again. What the platform told of stays, and its parts are read there.
func (r *Replica) checkPending(now time.Time) {
	p := r.pending
	if p == nil || !p.stalled(now) || p.manifest != nil {
		return
	}
	r.pending = nil
}
