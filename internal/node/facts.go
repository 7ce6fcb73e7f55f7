// Package node holds what entries and agents share: the facts about the
// fleet, and the adapters that bring them from the platform and from peers.
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

// Facts are what a process knows of the fleet. They belong to its control
// goroutine.
type Facts struct {
	Self   fleet.VM
	Holder revision.Holder
	// Lists holds the platform's VM lists by zone.
	Lists map[string]fleet.VMList

	replica    *dissemination.Replica
	violations int64
	snapshotAt time.Time
	effects    []blackboard.Effect
}

// NewFacts returns the facts of a process that knows only itself.
func NewFacts(self fleet.VM) *Facts {
	f := &Facts{Self: self, Lists: make(map[string]fleet.VMList)}
	f.Configure(dissemination.DefaultConfig(), rand.New(rand.NewPCG(xxhash.Sum64String(self.ID), 0)))
	return f
}

// Configure sets how the process takes part in spreading the configuration,
// before anything is known.
func (f *Facts) Configure(config dissemination.Config, random *rand.Rand) {
	config.Self = f.Self
	f.replica = dissemination.New(config, &f.Holder, dissemination.DefaultBuilder{}, random)
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
	facts.auditConfig(now, before, u.Config, verdict, u.Source)
}

func (f *Facts) auditConfig(now time.Time, before, after *fleet.Config, verdict revision.Verdict, source string) {
	switch verdict {
	case revision.Accepted:
		f.Audit(now, "configuration", revisionOf(before), revisionOf(after), "published", source)
		f.auditZones(now, before, after, source)
	case revision.Conflicting:
		f.Audit(now, "configuration", revisionOf(before), revisionOf(before), "conflict", source)
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
	facts.setList(now, held, u.List, u.Source)
}

func (f *Facts) setList(now time.Time, before, after fleet.VMList, source string) {
	f.Lists[after.Zone] = after
	from := strconv.FormatUint(before.Version, 10)
	to := strconv.FormatUint(after.Version, 10)
	f.Audit(now, "vm_list/"+after.Zone, from, to, "platform", source)
}

func (f *Facts) auditZones(now time.Time, before, after *fleet.Config, source string) {
	for _, zone := range after.Manifest.Zones {
		was := "undeclared"
		if before != nil {
			if old, found := before.Zone(zone.Name); found {
				was = zoneState(old)
			}
		}
		if is := zoneState(zone); is != was {
			f.Audit(now, "zone/"+zone.Name, was, is, "published", source)
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

// Lost reports whether peers say that the VM was lost, and when.
func (f *Facts) Lost(now time.Time, id string) (time.Time, bool) {
	return f.replica.LostAt(now, id)
}

// ZoneSilent reports whether nothing is heard of the availability zone any
// more while others are.
func (f *Facts) ZoneSilent(now time.Time, zone string) bool {
	return f.replica.ZoneSilent(now, zone)
}
