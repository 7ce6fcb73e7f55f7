package dissemination

import (
	"time"

	"github.com/turmericrock/turmericrock/platform"
)

// ownReads times the reads of a node that does not watch.
type ownReads struct {
	needed bool
	next   time.Time
	last   time.Time
	// sent counts the reads.
	sent int
}

// ownReadPeriod is the mean time between two own reads of a node. With it, the
// sum over a fleet of FleetLimit nodes stays at OwnReads, whatever the lists
// say.
func (r *Replica) ownReadPeriod() time.Duration {
	return time.Duration(r.config.FleetLimit) * time.Second / time.Duration(max(1, r.config.OwnReads))
}

// scheduleOwnRead reads one value in each period while something is needed. The
// first read comes at a random time in the period, so that nodes that need
// something at the same time do not read at the same time.
func (r *Replica) scheduleOwnRead(now time.Time) {
	key := r.neededKey(now)
	if key == "" {
		r.own.needed = false
		return
	}
	period := r.ownReadPeriod()
	if !r.own.needed {
		r.own.needed = true
		r.own.next = maxTime(now.Add(r.randomUpTo(period)), r.own.last.Add(period*3/4))
	}
	state := r.readState(key)
	if now.Before(r.own.next) || state.inFlight {
		return
	}
	r.own.sent++
	r.own.last = now
	r.own.next = now.Add(r.jitter(period))
	r.sendRead(key, state, 0)
}

// neededKey returns the key of the value that the node needs most and that
// the mesh does not bring, or nothing.
func (r *Replica) neededKey(now time.Time) string {
	own := r.config.Self.Zone
	list := r.lists[own]
	noList := list == nil || list.order == nil
	if noList && !r.skipList(now) {
		return platform.KeyVMs(own)
	}
	if p := r.pending; p != nil && p.manifest != nil && (p.link == 0 || p.stalled(now)) {
		for _, digest := range r.missingParts(p.manifest) {
			p.requested[digest] = true
			return platform.KeyPart(digest)
		}
	}
	if r.configNeeded(now) {
		if !noList && r.unlistedWithoutPeers() && now.Sub(list.confirmedAt) > maxUnlistedListAge {
			return platform.KeyVMs(own)
		}
		return platform.KeyManifest
	}
	if now.Sub(list.confirmedAt) > r.ownListAgeLimit() {
		return platform.KeyVMs(own)
	}
	for _, zone := range r.neededZones() {
		if other := r.lists[zone]; other == nil || other.order == nil {
			return platform.KeyVMs(zone)
		}
	}
	return ""
}

// skipList reports whether the node turns to the configuration although it
// holds no list of its zone: the platform has none, or does not give it, so
// the two take turns.
func (r *Replica) skipList(now time.Time) bool {
	failed := r.readState(platform.KeyVMs(r.config.Self.Zone)).failures > 0
	return failed && r.configNeeded(now) && r.own.sent%2 == 1
}

// configNeeded reports whether the configuration is missing or was not
// confirmed for long.
func (r *Replica) configNeeded(now time.Time) bool {
	return r.holder.Config() == nil || r.holder.Age(now) > r.config.OwnReadAfter
}

// unlistedWithoutPeers reports whether no list names the node and it polls nobody.
func (r *Replica) unlistedWithoutPeers() bool {
	_, listed := r.rank()
	return !listed && !r.hasOpenPollLink()
}

func (r *Replica) ownListAgeLimit() time.Duration {
	if r.unlistedWithoutPeers() {
		return maxUnlistedListAge
	}
	return maxOwnListAge
}
