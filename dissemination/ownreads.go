package dissemination

import (
	"time"

	"github.com/turmericrock/turmericrock/platform"
)

// ownReads schedules the own reads: those of a node that is not a watcher.
type ownReads struct {
	// needed is set while the node needs a value that its peers do not provide.
	needed bool
	// nextAt is when the nextAt read is due.
	nextAt time.Time
	// lastAt is when the latest read was sent.
	lastAt time.Time
	// sent is the number of reads sent.
	sent int
}

// ownReadPeriod returns the mean time between two own reads of a node. It is
// derived from FleetLimit rather than from the VM lists, so that FleetLimit
// nodes together send at most OwnReads per second even if the lists are wrong.
func (r *Replica) ownReadPeriod() time.Duration {
	return time.Duration(r.config.FleetLimit) * time.Second / time.Duration(max(1, r.config.OwnReads))
}

// scheduleOwnRead reads one value per period while the node needs one. The
// first read is at a random time within the period, so that nodes that need a
// value at the same time do not read it at the same time.
func (r *Replica) scheduleOwnRead(now time.Time) {
	key := r.neededKey(now)
	if key == "" {
		r.ownReads.needed = false
		return
	}
	period := r.ownReadPeriod()
	if !r.ownReads.needed {
		r.ownReads.needed = true
		r.ownReads.nextAt = maxTime(now.Add(r.randomUpTo(period)), r.ownReads.lastAt.Add(period*3/4))
	}
	state := r.readState(key)
	if now.Before(r.ownReads.nextAt) || state.inFlight {
		return
	}
	r.ownReads.sent++
	r.ownReads.lastAt = now
	r.ownReads.nextAt = now.Add(r.jitter(period))
	r.sendRead(key, state, 0)
}

// neededKey returns the key of the value that the node needs most and does not
// get from its peers, or "" if there is none.
func (r *Replica) neededKey(now time.Time) string {
	ownZone := r.config.Self.Zone
	list := r.lists[ownZone]
	noList := list == nil || list.order == nil
	if noList && !r.skipList(now) {
		return platform.KeyVMs(ownZone)
	}
	if p := r.pending; p != nil && p.manifest != nil && (p.link == 0 || p.stalled(now)) {
		for _, digest := range r.missingParts(p.manifest) {
			p.requested[digest] = true
			return platform.KeyPart(digest)
		}
	}
	if r.configNeeded(now) {
		if !noList && r.unlistedWithoutPeers() && now.Sub(list.confirmedAt) > maxUnlistedListAge {
			return platform.KeyVMs(ownZone)
		}
		return platform.KeyManifest
	}
	if now.Sub(list.confirmedAt) > r.ownListAgeLimit() {
		return platform.KeyVMs(ownZone)
	}
	for _, zone := range r.neededZones() {
		if other := r.lists[zone]; other == nil || other.order == nil {
			return platform.KeyVMs(zone)
		}
	}
	return ""
}

// skipList reports whether the node reads the configuration next although it
// has no list of its zone. If the platform does not have or return the list,
// the reads alternate between the two.
func (r *Replica) skipList(now time.Time) bool {
	failed := r.readState(platform.KeyVMs(r.config.Self.Zone)).failures > 0
	return failed && r.configNeeded(now) && r.ownReads.sent%2 == 1
}

// configNeeded reports whether the node has no configuration, or one that was
// not confirmed for longer than OwnReadAfter.
func (r *Replica) configNeeded(now time.Time) bool {
	return r.holder.Config() == nil || r.holder.Age(now) > r.config.OwnReadAfter
}

// unlistedWithoutPeers reports whether the node is in no list and has no open
// link to poll over.
func (r *Replica) unlistedWithoutPeers() bool {
	_, listed := r.rank()
	return !listed && !r.hasOpenPollLink()
}

// ownListAgeLimit returns the age after which the node reads the list of its
// zone again.
func (r *Replica) ownListAgeLimit() time.Duration {
	if r.unlistedWithoutPeers() {
		return maxUnlistedListAge
	}
	return maxOwnListAge
}
