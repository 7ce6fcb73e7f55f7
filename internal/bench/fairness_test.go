package bench

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Upper bounds of the number of flows of the most loaded host divided by the
// mean, in the steady state and after a host returns.
const (
	maxSteadyImbalance = 1.05
	maxReturnImbalance = 1.15
)

func TestDeployedPolicyStaysWithinImbalanceBounds(t *testing.T) {
	for name, config := range FairnessRuns() {
		for _, seed := range []uint64{1, 2, 3, 4, 5} {
			config.Policy, config.Seed = PolicyAgentTwoChoices, seed
			result := RunFairness(config)
			info := must.Sprint(name, seed, result)
			must.LessEq(t, maxSteadyImbalance, result.P99Imbalance, info)
			must.LessEq(t, maxReturnImbalance, result.ImbalanceAfterReturn, info)
			must.LessEq(t, maxReturnImbalance, result.MaxImbalanceAfterReturn, info)
			must.LessEq(t, 0.05, result.SplitShare, info)
		}
	}
}

func TestRunFairnessIsDeterministic(t *testing.T) {
	config := FairnessRuns()["hosts_4"]
	must.Eq(t, RunFairness(config), RunFairness(config))
}
