// Package node holds what entries and agents share: the replicated fleet state,
// which is the configuration and the platform's VM lists, and the adapters that
// update it from the platform and from peers.
package node

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/audit"
	"github.com/turmericrock/turmericrock/revision"
)

// FleetState is a process's copy of the replicated fleet state. Only the process's
// control goroutine accesses it.
type FleetState struct {
	Self   fleet.VM
	Holder revision.Holder
	// VMLists holds the platform's VM lists by availability zone.
	VMLists map[string]fleet.VMList

	replica           *dissemination.Replica
	auditedViolations int64
	lastSnapshotAt    time.Time
	effects           []blackboard.Effect
}

// NewFleetState returns the state of a process that only knows about itself.
func NewFleetState(self fleet.VM) *FleetState {
	s := &FleetState{Self: self, VMLists: make(map[string]fleet.VMList)}
	s.Configure(dissemination.DefaultConfig(), rand.New(rand.NewPCG(xxhash.Sum64String(self.ID), 0)))
	return s
}

// Configure sets the parameters and the random source for replicating the
// configuration. It replaces the replica, so it must be called before the first
// update.
func (s *FleetState) Configure(config dissemination.Config, random *rand.Rand) {
	config.Self = s.Self
	s.replica = dissemination.New(config, &s.Holder, dissemination.DefaultBuilder{}, random)
}

// Audit adds an audit record to the pending effects, with the revision of the
// configuration in force.
func (s *FleetState) Audit(now time.Time, what, from, to, cause, confirmed string) {
	s.effects = append(s.effects, audit.Record{
		At:        now,
		What:      what,
		From:      from,
		To:        to,
		Revision:  s.Holder.Revision(),
		Cause:     cause,
		Confirmed: confirmed,
	})
}

// TakeEffects returns the effects added since the last call.
func (s *FleetState) TakeEffects() []blackboard.Effect {
	effects := s.effects
	s.effects = nil
	return effects
}

// Update is a change that an adapter applies to the fleet state.
type Update interface {
	ApplyTo(now time.Time, state *FleetState)
}

// ConfigOffered is the update that delivers a validated configuration.
type ConfigOffered struct {
	Config *fleet.Config
	// AsOf is the local time at which the configuration was current.
	AsOf   time.Time
	Source string
}

// ApplyTo implements Update.
func (u ConfigOffered) ApplyTo(now time.Time, state *FleetState) {
	before := state.Holder.Config()
	verdict := state.Holder.Offer(u.Config, u.AsOf)
	state.auditConfig(now, before, u.Config, verdict, u.Source)
}

func (s *FleetState) auditConfig(now time.Time, before, after *fleet.Config, verdict revision.Verdict, source string) {
	switch verdict {
	case revision.Accepted:
		s.Audit(now, "configuration", revisionOf(before), revisionOf(after), "published", source)
		s.auditZones(now, before, after, source)
	case revision.Conflicting:
		s.Audit(now, "configuration", revisionOf(before), revisionOf(before), "conflict", source)
	}
}

// RevisionConfirmed is the update that reports that a revision was current at AsOf.
type RevisionConfirmed struct {
	Revision uint64
	AsOf     time.Time
}

// ApplyTo implements Update.
func (u RevisionConfirmed) ApplyTo(_ time.Time, state *FleetState) {
	state.Holder.Confirm(u.Revision, u.AsOf)
}

// ListOffered is the update that delivers a VM list of the platform.
type ListOffered struct {
	List   fleet.VMList
	Source string
}

// ApplyTo implements Update. A list whose version is not newer than the stored one
// is ignored.
func (u ListOffered) ApplyTo(now time.Time, state *FleetState) {
	stored, found := state.VMLists[u.List.Zone]
	if found && stored.Version >= u.List.Version {
		return
	}
	state.setList(now, stored, u.List, u.Source)
}

func (s *FleetState) setList(now time.Time, before, after fleet.VMList, source string) {
	s.VMLists[after.Zone] = after
	from := strconv.FormatUint(before.Version, 10)
	to := strconv.FormatUint(after.Version, 10)
	s.Audit(now, "vm_list/"+after.Zone, from, to, "platform", source)
}

func (s *FleetState) auditZones(now time.Time, before, after *fleet.Config, source string) {
	for _, zone := range after.Manifest.Zones {
		oldState := "undeclared"
		if before != nil {
			if old, found := before.Zone(zone.Name); found {
				oldState = zoneState(old)
			}
		}
		if newState := zoneState(zone); newState != oldState {
			s.Audit(now, "zone/"+zone.Name, oldState, newState, "published", source)
		}
	}
}

func zoneState(z fleet.Zone) string {
	if z.Out {
		return "out"
	}
	return "in"
}

func revisionOf(c *fleet.Config) string {
	if c == nil {
		return "none"
	}
	return strconv.FormatUint(c.Revision(), 10)
}

// Lost reports whether peers have reported the VM as lost, and the time of that
// report.
func (s *FleetState) Lost(now time.Time, id string) (time.Time, bool) {
	return s.replica.LostAt(now, id)
}

// ZoneSilent reports whether messages from the availability zone have stopped
// while other zones are still heard from.
func (s *FleetState) ZoneSilent(now time.Time, zone string) bool {
	return s.replica.ZoneSilent(now, zone)
}
