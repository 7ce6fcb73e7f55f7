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
	self       = fleet.VM{ID: "entry-1", Zone: "maes-1", Role: fleet.RoleEntry}
	controller = node.ReplicaController[*node.FleetState]{State: func(state *node.FleetState) *node.FleetState { return state }}
)

// stepFor steps the state every 100 ms for d and answers platform reads from values.
// It returns the time after the last step and the audit records.
func stepFor(state *node.FleetState, now time.Time, d time.Duration, values map[string]platform.Value) (time.Time, []audit.Record) {
	var records []audit.Record
	for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
		for _, effect := range controller.Step(now, state) {
			records = append(records, handleEffect(state, now, effect, values)...)
		}
	}
	return now, records
}

func handleEffect(state *node.FleetState, now time.Time, effect blackboard.Effect, values map[string]platform.Value) []audit.Record {
	switch effect := effect.(type) {
	case audit.Record:
		return []audit.Record{effect}
	case dissemination.Read:
		done := dissemination.ReadDone{Key: effect.Key, StartedAt: now, Value: values[effect.Key]}
		node.ReplicaEvent{Event: done}.ApplyTo(now, state)
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

func platformValues(t *testing.T, version, revision uint64, out bool) map[string]platform.Value {
	t.Helper()
	list, err := fleet.Encode(fleet.VMList{Zone: "maes-1", VMs: []fleet.VM{self}})
	must.NoError(t, err)
	return map[string]platform.Value{
		platform.KeyManifest:      {Version: version, Data: manifest(t, revision, out)},
		platform.KeyVMs("maes-1"): {Version: 1, Data: list},
	}
}

func transitions(records []audit.Record, what string) []string {
	var changes []string
	for _, r := range records {
		if r.What == what {
			changes = append(changes, r.From+" to "+r.To)
		}
	}
	return changes
}

func TestStateFollowsPlatformAndAuditsChanges(t *testing.T) {
	state := node.NewFleetState(self)
	now, records := stepFor(state, time.Unix(1000, 0), 20*time.Second, platformValues(t, 1, 4, false))
	must.Eq(t, []string{"none to 4"}, transitions(records, "configuration"))
	must.Eq(t, []string{"undeclared to in"}, transitions(records, "zone/maes-1"))
	must.True(t, state.Current(now))
	must.True(t, state.ZoneOpen(now, "maes-1"))
	must.MapContainsKey(t, state.VMLists, "maes-1")

	now, records = stepFor(state, now, 5*time.Second, platformValues(t, 2, 5, true))
	must.Eq(t, []string{"4 to 5"}, transitions(records, "configuration"))
	must.Eq(t, []string{"in to out"}, transitions(records, "zone/maes-1"))
	must.False(t, state.ZoneOpen(now, "maes-1"))

	_, records = stepFor(state, now, 5*time.Second, platformValues(t, 3, 5, false))
	must.Eq(t, []string{"5 to 5"}, transitions(records, "configuration"))
	must.False(t, state.ZoneOpen(now, "maes-1"))
}

func TestPauseIsAuditedAndEndsWithConfirmation(t *testing.T) {
	state := node.NewFleetState(self)
	values := platformValues(t, 1, 1, false)
	now, _ := stepFor(state, time.Unix(1000, 0), 20*time.Second, values)
	now = now.Add(5 * time.Second)
	must.False(t, state.Current(now))
	effects := controller.Step(now, state)
	must.False(t, state.Current(now))
	var records []audit.Record
	for _, effect := range effects {
		records = append(records, handleEffect(state, now, effect, values)...)
	}
	must.Eq(t, []string{"paused to running"}, transitions(records, "process"))
	now, _ = stepFor(state, now.Add(100*time.Millisecond), 3*time.Second, values)
	must.True(t, state.Current(now))
}
