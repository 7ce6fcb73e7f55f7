package steering_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/steering"
)

const strayWindow = 2 * time.Second

// Guards against flows being broken that a service holds which nobody knows any more: all
// processes have restarted after a route moved, and packets are tried at every host.
func TestTrialsAreLimitedWhileFormerServicesAreUnknown(t *testing.T) {
	for name, tc := range map[string]struct {
		knownFor, runningFor time.Duration
		limited              bool
	}{
		"all processes have just started":       {time.Second, time.Second, false},
		"the configuration came late":           {100 * time.Millisecond, 3 * time.Second, true},
		"all processes started a while ago":     {3 * time.Second, 3 * time.Second, true},
		"restarted beside processes like that":  {20 * time.Second, time.Second, true},
		"restarted beside one that knows all":   {time.Minute, time.Second, false},
		"running for longer than flows are old": {time.Hour, time.Hour, false},
	} {
		k := steering.RouteKnowledge{
			KnownFor: tc.knownFor, RunningFor: tc.runningFor, FlowLifetime: time.Minute, RecoveryTime: 2 * time.Second,
		}
		must.Eq(t, tc.limited, k.LimitsTrials(), must.Sprint(name))
	}
}

// Guards against a third packet of a flow at hosts that do not hold it within a stray window,
// while the requester sends copies and both keepers search.
func TestTwoHostsAreTriedInAStrayWindow(t *testing.T) {
	var b steering.TrialBudget
	agent := func(n byte) [4]byte { return [4]byte{10, 0, 0, n} }
	var trials []time.Duration
	next := byte(1)
	for now := time.Second; now < 20*time.Second; now += 100 * time.Millisecond {
		for b.Left(strayWindow, now) > 0 {
			b.Record(agent(next), strayWindow, now)
			trials = append(trials, now)
			next++
		}
	}
	must.GreaterEq(t, 14, len(trials))
	for i := 2; i < len(trials); i++ {
		must.Greater(t, strayWindow, trials[i]-trials[i-2])
	}
}

// Guards against a flow that a slow host holds being tried elsewhere in place of its host: a
// host that has not returned the packet for long holds the flow.
func TestHostThatDoesNotReturnAPacketIsTriedAgain(t *testing.T) {
	var b steering.TrialBudget
	agent := [4]byte{10, 0, 0, 1}
	must.False(t, b.IsUnreturned(agent, strayWindow, time.Second))
	b.Record(agent, strayWindow, time.Second)
	must.False(t, b.IsUnreturned(agent, strayWindow, time.Second+50*time.Millisecond))
	must.True(t, b.IsUnreturned(agent, strayWindow, time.Second+100*time.Millisecond))
	must.False(t, b.IsUnreturned(agent, strayWindow, 4*time.Second))
	b.Report(agent, 1, 500*time.Millisecond)
	must.True(t, b.IsUnreturned(agent, strayWindow, time.Second+100*time.Millisecond), must.Sprint("an older report changes nothing"))
	must.Eq(t, 1, b.Left(strayWindow, time.Second+100*time.Millisecond))
	b.Record(agent, strayWindow, time.Second+100*time.Millisecond)
	must.Eq(t, 0, b.Left(strayWindow, time.Second+200*time.Millisecond), must.Sprint("both packets count"))
	b.Record(agent, strayWindow, 5*time.Second)
	must.Eq(t, 1, b.Left(strayWindow, 5*time.Second), must.Sprint("earlier ones no longer count"))
}

// Guards against both keepers trying packets at a slow host: what its agent reports counts.
func TestReportedTrialsCount(t *testing.T) {
	var b steering.TrialBudget
	b.Report([4]byte{10, 0, 0, 1}, 2, time.Second)
	must.Eq(t, 0, b.Left(strayWindow, 2*time.Second))
	must.Eq(t, 2, b.Left(strayWindow, 4*time.Second))
}

// Guards against an agent that has restarted trying packets of a flow that were tried before: it
// has forgotten its own trials and those at its host.
func TestRestartedProcessDoesNotKnowTheTrialsOfOthers(t *testing.T) {
	for name, tc := range map[string]struct {
		knownFor, runningFor time.Duration
		knows                bool
	}{
		"all processes started at about the same time": {3 * time.Second, 2 * time.Second, true},
		"restarted in the recovery time":               {4 * time.Second, 2 * time.Second, true},
		"restarted later":                              {20 * time.Second, 2 * time.Second, false},
		"restarted a stray window ago":                 {20 * time.Second, 2500 * time.Millisecond, true},
		"the configuration came late":                  {100 * time.Millisecond, 3 * time.Second, true},
	} {
		k := steering.RouteKnowledge{
			KnownFor: tc.knownFor, RunningFor: tc.runningFor, FlowLifetime: time.Minute, RecoveryTime: 2 * time.Second,
		}
		must.Eq(t, tc.knows, k.KnowsTrials(strayWindow), must.Sprint(name))
	}
}

// Guards against a keeper being told of trials that no longer count, or of too few.
func TestRecentTrialsAreThoseOfTheStrayWindow(t *testing.T) {
	var b steering.TrialBudget
	first, second, old := [4]byte{10, 0, 0, 1}, [4]byte{10, 0, 0, 2}, [4]byte{10, 0, 0, 3}
	b.Record(old, strayWindow, time.Second)
	b.Record(second, strayWindow, 3*time.Second)
	b.Record(first, strayWindow, 3500*time.Millisecond)
	b.Record(second, strayWindow, 4*time.Second)
	must.Eq(t, []steering.HostTrials{
		{Agent: first, Packets: 1, Age: 500 * time.Millisecond}, {Agent: second, Packets: 2},
	}, b.Recent(strayWindow, 4*time.Second))
	must.SliceEmpty(t, b.Recent(strayWindow, time.Minute))
}
