package dissemination

import "time"

// mayAdopt reports whether a pending configuration may come into force. What
// the platform alone tells a node that has just started may be stale: it waits
// until the peers that the node polls have spoken, or JoinWait is over.
func (r *Replica) mayAdopt(now time.Time, p *pending) bool {
	return r.holder.Config() != nil || p.source != platformSource || r.synced(now) || r.peersAnswered(now)
}

// peersAnswered reports whether all peers that the node wants to poll have
// answered. Those that know of a newer configuration are asked for it.
func (r *Replica) peersAnswered(now time.Time) bool {
	if r.order(r.config.Self.Zone) == nil {
		return false
	}
	answered := make(map[string]bool)
	for _, l := range r.links {
		if l.pollAnswered {
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

// initialOffer returns what the platform told a node that has no configuration yet, or
// nil.
func (r *Replica) initialOffer() *pending {
	if p := r.pending; p != nil && r.holder.Config() == nil && p.source == platformSource {
		return p
	}
	return nil
}

// adoptInitial takes up what waited for the peers' word.
func (r *Replica) adoptInitial(now time.Time) {
	if p := r.initialOffer(); p != nil && p.manifest != nil && len(r.missingParts(p.manifest)) == 0 {
		r.adopt(now)
	}
}

// newestRevision returns the revision in force, or the one that waits for the peers'
// word.
func (r *Replica) newestRevision() uint64 {
	if p := r.initialOffer(); p != nil {
		return p.revision
	}
	return r.holder.Revision()
}
