package bench

import (
	"testing"

	"github.com/shoenig/test/must"
)

// The bounds on the greatest flows of a host over the mean.
const (
	steadyBound = 1.05
	returnBound = 1.15
)

func TestFairnessOfThePolicyInUse(t *testing.T) {
	for name, config := range FairnessRuns() {
		for _, seed := range []uint64{1, 2, 3, 4, 5} {
			config.Policy, config.Seed = PolicyAgentTwo, seed
			result := RunFairness(config)
			info := must.Sprint(name, seed, result)
			must.LessEq(t, steadyBound, result.P99, info)
			must.LessEq(t, returnBound, result.AfterReturn, info)
			must.LessEq(t, returnBound, result.WorstReturn, info)
			must.LessEq(t, 0.05, result.Split, info)
		}
	}
}

func TestFairnessRunsRepeat(t *testing.T) {
	config := FairnessRuns()["hosts_4"]
	must.Eq(t, RunFairness(config), RunFairness(config))
}
