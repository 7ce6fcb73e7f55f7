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
	// currentAt is when the configuration was known to be current.
	currentAt time.Time
	// source names who told of it.
	source string
	// link is where values are asked for, 0 for the platform.
	link LinkID
	// requested holds the digests of the parts that are on their way.
	requested map[string]bool
	// incompleteLinks holds the links whose other side lacks parts.
	incompleteLinks map[LinkID]bool
	// progressAt is when something of it last arrived.
	progressAt time.Time
}

const (
	// stallTimeout is the time without progress after which values are asked
	// for elsewhere.
	stallTimeout = time.Second
	// rejectionTTL is how long a configuration that is not valid is not
	// fetched again.
	rejectionTTL = time.Minute
	// maxRejected bounds the configurations remembered as not valid.
	maxRejected = 64
	// maxRequestParts bounds the parts asked for in one message.
	maxRequestParts = 256
	// platformSource names the platform in audit records.
	platformSource = "platform"
)

func (p *pending) stalled(now time.Time) bool {
	return now.Sub(p.progressAt) > stallTimeout
}

// mayRequest reports whether the configuration with the digest may be asked for
// over the link now.
func (p *pending) mayRequest(now time.Time, l *link, revisionNumber uint64, digest string) bool {
	switch {
	case p.stalled(now):
		return true
	case p.digest == digest:
		return p.link == 0 && !p.incompleteLinks[l.id]
	default:
		return p.revision <= revisionNumber
	}
}

// requestConfig fetches a configuration that the other side of the link holds.
func (r *Replica) requestConfig(now time.Time, l *link, state State, digest string) {
	if r.recentlyRejected(now, digest) {
		return
	}
	p := r.pending
	if p != nil && !p.mayRequest(now, l, state.Revision, digest) {
		return
	}
	if p == nil || p.digest != digest {
		p = &pending{revision: state.Revision, digest: digest, source: l.hello.ID, incompleteLinks: make(map[LinkID]bool)}
		if sentAt, ok := r.probeSentAt(l, state.Echo); ok {
			p.currentAt = timeOf(sentAt, state.Age)
		}
		r.pending = p
	}
	if p.stalled(now) {
		clear(p.incompleteLinks)
	}
	p.link = l.id
	p.progressAt = now
	p.requested = make(map[string]bool)
	if held, found := r.values.manifest(digest); found {
		p.manifest, p.raw = &held.manifest, held.raw
	}
	if p.manifest != nil {
		r.requestParts(now, l)
		return
	}
	r.send(l, Message{Request: &Request{Manifest: rawDigest(digest), Base: r.digest()}})
}

// neededParts returns the digests of the parts that the node holds: all of them,
// or the one that holds its service.
func (r *Replica) neededParts(manifest *fleet.Manifest) []string {
	if !r.fullReplica() {
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

func (r *Replica) missingParts(manifest *fleet.Manifest) []string {
	var missing []string
	for _, digest := range r.neededParts(manifest) {
		if _, held := r.values.parts[digest]; !held {
			missing = append(missing, digest)
		}
	}
	return missing
}

// incomplete reports whether the node now needs more parts than it holds.
func (r *Replica) incomplete() bool {
	check := completenessInputs{config: r.holder.Config(), fullReplica: r.fullReplica(), parts: len(r.values.parts)}
	if check.config == nil {
		return false
	}
	if check != r.checkedInputs {
		r.checkedInputs = check
		r.checkedIncomplete = len(r.missingParts(&check.config.Manifest)) > 0
	}
	return r.checkedIncomplete
}

// completenessInputs is what the outcome of incomplete depends on.
type completenessInputs struct {
	config      *fleet.Config
	fullReplica bool
	parts       int
}

// requestParts asks for the parts that are missing, and adopts the
// configuration when none is.
func (r *Replica) requestParts(now time.Time, l *link) {
	p := r.pending
	missing := r.missingParts(p.manifest)
	if len(missing) == 0 {
		r.adopt(now)
		return
	}
	if l == nil {
		return
	}
	request := &Request{}
	for _, digest := range missing[:min(len(missing), maxRequestParts)] {
		p.requested[digest] = true
		request.Parts = append(request.Parts, rawDigest(digest))
	}
	r.send(l, Message{Request: request})
}

// expirePending gives up what does not arrive; the next word of a peer starts
// it again. What the platform told of stays, and its parts are read there.
func (r *Replica) expirePending(now time.Time) {
	p := r.pending
	if p == nil || !p.stalled(now) || p.manifest != nil {
		return
	}
	r.pending = nil
}
