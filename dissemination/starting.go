package dissemination

import "time"

// mayAdopt reports whether the pending configuration may come into force. The
// platform's answer alone may be stale, so a node that has just started waits
// until the peers that it polls have answered, or StartupTimeout has passed.
func (r *Replica) mayAdopt(now time.Time, p *pending) bool {
	return r.holder.Config() != nil || p.source != platformSource || r.synced(now) || r.peersAnswered(now)
}

// peersAnswered reports whether all peers that the node wants to poll have
// answered. If one of them announces a newer configuration, that one is
// requested instead.
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

// initialOffer returns the configuration from the platform that a node without
// a configuration has pending, or nil.
func (r *Replica) initialOffer() *pending {
	if p := r.pending; p != nil && r.holder.Config() == nil && p.source == platformSource {
		return p
	}
	return nil
}

// adoptInitial tries to adopt a complete configuration from the platform that
// was waiting for the peers' answers.
func (r *Replica) adoptInitial(now time.Time) {
	if p := r.initialOffer(); p != nil && p.manifest != nil && len(r.missingParts(p.manifest)) == 0 {
		r.adopt(now)
	}
}

// newestRevision returns the revision in force, or that of the configuration
// waiting for the peers' answers.
func (r *Replica) newestRevision() uint64 {
	if p := r.initialOffer(); p != nil {
		return p.revision
	}
	return r.holder.Revision()
}
