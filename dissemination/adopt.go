package dissemination

import (
	"time"

	"github.com/turmericrock/turmericrock/revision"
)

// adopt assembles the pending configuration, whose parts are complete, and
// offers it to the revision.Holder, which decides whether it comes into force.
func (r *Replica) adopt(now time.Time) {
	p := r.pending
	if r.firstConfigAt.IsZero() {
		r.firstConfigAt = now
	}
	if !r.mayAdopt(now, p) {
		return
	}
	r.pending = nil
	config, err := r.builder.Assemble(*p.manifest, r.values.parts, !r.holdsFullCopy())
	if err != nil {
		r.reject(now, p.revision, p.digest, p.source, err)
		return
	}
	before := r.holder.Config()
	verdict := r.holder.Offer(config, p.currentAt)
	r.emit(ConfigEvaluated{Before: before, Config: config, Verdict: verdict, Source: p.source})
	if verdict != revision.Accepted {
		return
	}
	r.counts.Adopted++
	r.values.addManifest(storedManifest{digest: p.digest, manifest: *p.manifest, raw: p.raw})
	r.changed[changedConfig] = true
}

// rejectConflict counts a configuration that has the revision in force but
// different content. It reports each digest at most once per rejectionTTL.
func (r *Replica) rejectConflict(now time.Time, revisionNumber uint64, digest, source string) {
	r.counts.Conflicting++
	if r.recentlyRejected(now, digest) {
		return
	}
	r.recordRejected(now, digest)
	r.emit(ConfigRejected{Revision: revisionNumber, Source: source, Err: &ConflictError{Revision: revisionNumber}})
}

// reject reports an invalid configuration and remembers its digest, so that it
// is not fetched again at once.
func (r *Replica) reject(now time.Time, revisionNumber uint64, digest, source string, err error) {
	r.counts.Invalid++
	r.recordRejected(now, digest)
	r.emit(ConfigRejected{Revision: revisionNumber, Source: source, Err: err})
}

func (r *Replica) recentlyRejected(now time.Time, digest string) bool {
	at, found := r.rejected[digest]
	return found && now.Sub(at) < rejectionTTL
}

func (r *Replica) recordRejected(now time.Time, digest string) {
	if len(r.rejected) >= maxRejected {
		clear(r.rejected)
	}
	r.rejected[digest] = now
}
