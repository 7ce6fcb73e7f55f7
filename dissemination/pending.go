package dissemination

import (
	"time"

	"github.com/turmericrock/turmericrock/fleet"
)

// pending is a configuration that is being fetched or waits to be adopted.
type pending struct {
	revision uint64
	digest   string
	// manifest is nil until it has arrived.
	manifest *fleet.Manifest
	// raw is the encoded manifest.
	raw []byte
	// currentAt is the latest time at which the configuration is known to have
	// been current.
	currentAt time.Time
	// source names the peer, or the platform, that announced the configuration.
	source string
	// link is the link over which values are requested, or 0 if they are read
	// from the platform.
	link LinkID
	// requested holds the digests of the parts that were requested and have not
	// arrived.
	requested map[string]bool
	// incompleteLinks holds the links whose other side does not have all parts.
	incompleteLinks map[LinkID]bool
	// progressAt is when a value of the configuration last arrived, or when its
	// fetch was last started.
	progressAt time.Time
}

const (
	// stallTimeout is the time without progress after which values are requested
	// elsewhere.
	stallTimeout = time.Second
	// rejectionTTL is how long a rejected configuration is not fetched again.
	rejectionTTL = time.Minute
	// maxRejected is the maximum number of rejected configurations remembered.
	maxRejected = 64
	// maxRequestParts is the maximum number of parts requested in one message.
	maxRequestParts = 256
	// platformSource is the name of the platform in audit records.
	platformSource = "platform"
)

// stalled reports whether the fetch has made no progress for longer than
// stallTimeout.
func (p *pending) stalled(now time.Time) bool {
	return now.Sub(p.progressAt) > stallTimeout
}

// mayRequest reports whether a configuration with the given revision and
// digest may be requested over the link, given that p is already pending.
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

// requestConfig requests a configuration that the other side of the link has.
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
	if stored, found := r.values.manifest(digest); found {
		p.manifest, p.raw = &stored.manifest, stored.raw
	}
	if p.manifest != nil {
		r.requestParts(now, l)
		return
	}
	r.send(l, Message{Request: &Request{Manifest: rawDigest(digest), Base: r.digest()}})
}

// neededParts returns the digests of the parts that the node has to hold: all
// of them, or on a node without a full copy only the one that contains the
// node's service, if there is such a part.
func (r *Replica) neededParts(manifest *fleet.Manifest) []string {
	if !r.holdsFullCopy() {
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

// missingParts returns the digests of the needed parts that the node does not
// hold.
func (r *Replica) missingParts(manifest *fleet.Manifest) []string {
	var missing []string
	for _, digest := range r.neededParts(manifest) {
		if _, held := r.values.parts[digest]; !held {
			missing = append(missing, digest)
		}
	}
	return missing
}

// incomplete reports whether parts that the node needs of the configuration in
// force are missing. This happens, for example, when the node begins to need a
// full copy. The result is cached.
func (r *Replica) incomplete() bool {
	check := completenessInputs{config: r.holder.Config(), fullCopy: r.holdsFullCopy(), parts: len(r.values.parts)}
	if check.config == nil {
		return false
	}
	if check != r.checkedInputs {
		r.checkedInputs = check
		r.checkedIncomplete = len(r.missingParts(&check.config.Manifest)) > 0
	}
	return r.checkedIncomplete
}

// completenessInputs holds the values that the result of incomplete depends
// on.
type completenessInputs struct {
	config   *fleet.Config
	fullCopy bool
	parts    int
}

// requestParts requests the missing parts over the link, or adopts the
// configuration if none is missing. It does nothing if parts are missing and
// the link is nil.
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

// expirePending drops a pending configuration whose manifest does not arrive;
// the next state message from a peer starts the fetch again. A configuration
// whose manifest is known is kept, and its parts are read from the platform.
func (r *Replica) expirePending(now time.Time) {
	p := r.pending
	if p == nil || !p.stalled(now) || p.manifest != nil {
		return
	}
	r.pending = nil
}
