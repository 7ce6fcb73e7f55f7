package dissemination

import "time"

// mayAdopt reports whether a pending configuration may come into force. What
// the platform alone tells a node that has just started may be stale: it waits
// until the peers that the node polls have spoken, or JoinWait is over.
func (r *Replica) mayAdopt(now time.Time, p *pending) bool {
	if r.holder.Config() != nil || p.source != platformSource {
		return true
	}
	if r.offeredAt.IsZero() {
		r.offeredAt = now
	}
	return r.peersAsked || now.Sub(r.offeredAt) > r.config.JoinWait || r.peersSpoke(now)
}

// peersSpoke reports whether all peers that the node wants to poll have
// answered. Those that know of a newer configuration are asked for it.
func (r *Replica) peersSpoke(now time.Time) bool {
	if r.order(r.config.Self.Zone) == nil {
		return false
	}
	answered := make(map[string]bool)
	for _, l := range r.links {
		if l.answered {
			answered[peerKey(l.vm)] = true
		}
	}
	for _, vm := range r.wantedPeers(now) {
		if !answered[peerKey(vm)] {
			return false
		}
	}
	return true
}

// checkStart takes up what waited for the peers' word.
func (r *Replica) checkStart(now time.Time) {
	p := r.pending
	if r.holder.Config() != nil || p == nil || p.manifest == nil || p.source != platformSource {
		return
	}
	if len(r.missing(p.manifest)) == 0 {
		r.adopt(now)
	}
}

// offered returns the revision that waits for the peers' word, or 0.
func (r *Replica) offered() uint64 {
	if p := r.pending; p != nil && r.holder.Config() == nil && p.source == platformSource {
		return p.revision
	}
	return 0
}
