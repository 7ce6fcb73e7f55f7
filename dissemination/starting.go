package dissemination

import "time"

// mayAdopt reports whether a pending configuration may come into force. What
// the platform alone tells a node that has just started may be stale: it waits
// until the peers that the node polls have spoken, or JoinWait is over.
func (r *Replica) mayAdopt(now time.Time, p *pending) bool {
	return r.holder.Config() != nil || p.source != platformSource || r.joined(now) || r.peersSpoke(now)
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

// offer returns what the platform told a node that has no configuration yet, or
// nil.
func (r *Replica) offer() *pending {
	if p := r.pending; p != nil && r.holder.Config() == nil && p.source == platformSource {
		return p
	}
	return nil
}

// checkStart takes up what waited for the peers' word.
func (r *Replica) checkStart(now time.Time) {
	if p := r.offer(); p != nil && p.manifest != nil && len(r.missing(p.manifest)) == 0 {
		r.adopt(now)
	}
}

// newest returns the revision in force, or the one that waits for the peers'
// word.
func (r *Replica) newest() uint64 {
	if p := r.offer(); p != nil {
		return p.revision
	}
	return r.holder.Revision()
}
