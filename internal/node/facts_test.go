package node_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/audit"
	"github.com/turmericrock/turmericrock/internal/node"
	"github.com/turmericrock/turmericrock/platform"
)

var (
	self    = fleet.VM{ID: "entry-1", Zone: "maes-1", Role: fleet.RoleEntry}
	stepper = node.Stepper[*node.Facts]{Facts: func(f *node.Facts) *node.Facts { return f }}
)

// run steps the facts and answers reads from the values for d.
func run(facts *node.Facts, now time.Time, d time.Duration, values map[string]platform.Value) (time.Time, []audit.Record) {
	var records []audit.Record
	for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
		for _, effect := range stepper.Step(now, facts) {
			records = append(records, carryOut(facts, now, effect, values)...)
		}
	}
	return now, records
}

func carryOut(facts *node.Facts, now time.Time, effect blackboard.Effect, values map[string]platform.Value) []audit.Record {
	switch effect := effect.(type) {
	case audit.Record:
		return []audit.Record{effect}
	case dissemination.Read:
		done := dissemination.ReadDone{Key: effect.Key, StartedAt: now, Value: values[effect.Key]}
		node.Happened{Event: done}.ApplyTo(now, facts)
	}
	return nil
}

func manifest(t *testing.T, revision uint64, out bool) []byte {
	t.Helper()
	zones := []fleet.Zone{{Name: "maes-1", Region: "wales", Number: 1, Out: out}}
	data, err := fleet.Encode(fleet.Manifest{Revision: revision, Zones: zones})
	must.NoError(t, err)
	return data
}

func published(t *testing.T, version, revision uint64, out bool) map[string]platform.Value {
	t.Helper()
	list, err := fleet.Encode(fleet.VMList{Zone: "maes-1", VMs: []fleet.VM{self}})
	must.NoError(t, err)
	return map[string]platform.Value{
		platform.KeyManifest:      {Version: version, Data: manifest(t, revision, out)},
		platform.KeyVMs("maes-1"): {Version: 1, Data: list},
	}
}

func changes(records []audit.Record, what string) []string {
	var changes []string
	for _, r := range records {
		if r.What == what {
			changes = append(changes, r.From+" to "+r.To)
		}
	}
	return changes
}

func TestFactsFollowThePlatformAndAuditEachChange(t *testing.T) {
	facts := node.NewFacts(self)
	now, records := run(facts, time.Unix(1000, 0), 20*time.Second, published(t, 1, 4, false))
	must.Eq(t, []string{"none to 4"}, changes(records, "configuration"))
	must.Eq(t, []string{"undeclared to in"}, changes(records, "zone/maes-1"))
	must.True(t, facts.Current(now))
	must.True(t, facts.ZoneOpen(now, "maes-1"))
	must.MapContainsKey(t, facts.Lists, "maes-1")

	now, records = run(facts, now, 5*time.Second, published(t, 2, 5, true))
	must.Eq(t, []string{"4 to 5"}, changes(records, "configuration"))
	must.Eq(t, []string{"in to out"}, changes(records, "zone/maes-1"))
	must.False(t, facts.ZoneOpen(now, "maes-1"))

	_, records = run(facts, now, 5*time.Second, published(t, 3, 5, false))
	must.Eq(t, []string{"5 to 5"}, changes(records, "configuration"))
	must.False(t, facts.ZoneOpen(now, "maes-1"))
}

func TestPauseIsAuditedAndEndsWithAConfirmation(t *testing.T) {
	facts := node.NewFacts(self)
	values := published(t, 1, 1, false)
	now, _ := run(facts, time.Unix(1000, 0), 20*time.Second, values)
	now = now.Add(5 * time.Second)
	must.False(t, facts.Current(now))
	effects := stepper.Step(now, facts)
	must.False(t, facts.Current(now))
	var records []audit.Record
	for _, effect := range effects {
		records = append(records, carryOut(facts, now, effect, values)...)
	}
	must.Eq(t, []string{"paused to running"}, changes(records, "process"))
	now, _ = run(facts, now.Add(100*time.Millisecond), 3*time.Second, values)
	must.True(t, facts.Current(now))
}
