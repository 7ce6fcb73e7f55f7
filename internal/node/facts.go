// Package node holds what entries and agents share: the facts about the
// fleet, and the adapters that bring them from the platform and from peers.
package node

import (
	"strconv"
	"time"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/audit"
	"github.com/turmericrock/turmericrock/revision"
)

// Facts are what a process knows of the fleet. They belong to its control
// goroutine.
type Facts struct {
	Self   fleet.VM
	Holder revision.Holder
	// Lists holds the platform's VM lists by zone.
	Lists map[string]fleet.VMList

	effects []blackboard.Effect
}

// NewFacts returns the facts of a process that knows only itself.
func NewFacts(self fleet.VM) *Facts {
	return &Facts{Self: self, Lists: make(map[string]fleet.VMList)}
}

// Audit notes a change for the audit trail.
func (f *Facts) Audit(now time.Time, what, from, to, cause, confirmed string) {
	f.effects = append(f.effects, audit.Record{
		At:        now,
		What:      what,
		From:      from,
		To:        to,
		Revision:  f.Holder.Revision(),
		Cause:     cause,
		Confirmed: confirmed,
	})
}

// TakeEffects returns the effects noted since the last call.
func (f *Facts) TakeEffects() []blackboard.Effect {
	effects := f.effects
	f.effects = nil
	return effects
}

// Update is a change of the facts, brought by an adapter.
type Update interface {
	ApplyTo(now time.Time, facts *Facts)
}

// ConfigOffered brings a validated configuration.
type ConfigOffered struct {
	Config *fleet.Config
	// AsOf is the local time at which the configuration was current.
	AsOf   time.Time
	Source string
}

// ApplyTo implements Update.
func (u ConfigOffered) ApplyTo(now time.Time, facts *Facts) {
	before := facts.Holder.Config()
	verdict := facts.Holder.Offer(u.Config, u.AsOf)
	if verdict == revision.Accepted {
		facts.Audit(now, "configuration", revisionOf(before), revisionOf(u.Config), "published", u.Source)
		auditZones(now, facts, before, u)
	}
	if verdict == revision.Conflicting {
		facts.Audit(now, "configuration", revisionOf(before), revisionOf(before), "conflict", u.Source)
	}
}

// Confirmed brings word that a revision was current.
type Confirmed struct {
	Revision uint64
	AsOf     time.Time
}

// ApplyTo implements Update.
func (u Confirmed) ApplyTo(_ time.Time, facts *Facts) {
	facts.Holder.Confirm(u.Revision, u.AsOf)
}

// ListOffered brings a VM list.
type ListOffered struct {
	List   fleet.VMList
	Source string
}

// ApplyTo implements Update. An older version than the one held is ignored.
func (u ListOffered) ApplyTo(now time.Time, facts *Facts) {
	held, found := facts.Lists[u.List.Zone]
	if found && held.Version >= u.List.Version {
		return
	}
	facts.Lists[u.List.Zone] = u.List
	from := strconv.FormatUint(held.Version, 10)
	to := strconv.FormatUint(u.List.Version, 10)
	facts.Audit(now, "vm_list/"+u.List.Zone, from, to, "platform", u.Source)
}

func auditZones(now time.Time, facts *Facts, before *fleet.Config, u ConfigOffered) {
	for _, zone := range u.Config.Manifest.Zones {
		was := "undeclared"
		if before != nil {
			if old, found := before.Zone(zone.Name); found {
				was = zoneState(old)
			}
		}
		if is := zoneState(zone); is != was {
			facts.Audit(now, "zone/"+zone.Name, was, is, "published", u.Source)
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

// ZoneOpen reports whether packets may go into the availability zone.
func (f *Facts) ZoneOpen(_ time.Time, zone string) bool {
	config := f.Holder.Config()
	return config != nil && !config.ZoneOut(zone)
}

// Current reports whether the facts may be acted on. They may not after the
// process was paused, until the configuration in force is confirmed again.
func (f *Facts) Current(_ time.Time) bool {
	return f.Holder.Config() != nil
}
