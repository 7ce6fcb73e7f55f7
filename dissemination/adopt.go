package dissemination

import (
	"time"

	"github.com/turmericrock/turmericrock/revision"
)

// adopt assembles and offers what was fetched.
func (r *Replica) adopt(now time.Time) {
	p := r.pending
	if r.toldAt.IsZero() {
		r.toldAt = now
	}
	if !r.mayAdopt(now, p) {
		return
	}
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
	r.values.keep(heldManifest{digest: p.digest, manifest: *p.manifest, raw: p.raw})
	r.changed[changedConfig] = true
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
