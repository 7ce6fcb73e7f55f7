package placement

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func sampleCandidates(weights ...float64) []Candidate {
	candidates := make([]Candidate, len(weights))
	for i, weight := range weights {
		candidates[i] = Candidate{Seed: Mix(uint64(i) + 77), Weight: weight}
	}
	return candidates
}

func drawCandidates(t *rapid.T) []Candidate {
	allowed := []float64{0, 0.25, 1}
	if rapid.Bool().Draw(t, "equal") {
		allowed = []float64{0.5}
	}
	weights := rapid.SliceOfN(rapid.SampledFrom(allowed), 0, 12).Draw(t, "weights")
	return sampleCandidates(weights...)
}

func TestChoicesDifferAndHaveWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		first, second := Choose(rapid.Uint64().Draw(t, "key"), candidates)
		eligible := 0
		for _, c := range candidates {
			if c.Weight > 0 {
				eligible++
			}
		}
		must.Eq(t, eligible > 0, first != None)
		must.Eq(t, eligible > 1, second != None)
		if second != None {
			must.NotEq(t, first, second)
			must.Positive(t, candidates[second].Weight)
		}
		if first != None {
			must.Positive(t, candidates[first].Weight)
		}
	})
}

func TestRemovingFirstChoicePromotesSecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		key := rapid.Uint64().Draw(t, "key")
		first, second := Choose(key, candidates)
		if second == None {
			return
		}
		remaining := append([]Candidate(nil), candidates...)
		remaining[first].Weight = 0
		next, _ := Choose(key, remaining)
		must.Eq(t, second, next)
	})
}

func TestEqualWeightPathMatchesScore(t *testing.T) {
	for _, size := range []int{1, 2, 7, maxPacked, maxPacked + 1} {
		weights := make([]float64, size)
		for i := range weights {
			weights[i] = 0.5
		}
		candidates := sampleCandidates(weights...)
		for key := range uint64(20) {
			first, _ := Choose(key, candidates)
			best, want := math.Inf(-1), None
			for i := range candidates {
				if s := score(key, &candidates[i]); s > best {
					best, want = s, i
				}
			}
			must.Eq(t, want, first)
		}
	}
}

func TestMoreCandidatesThanPackedIndexHolds(t *testing.T) {
	weights := make([]float64, maxPacked+1)
	for i := range weights {
		weights[i] = 1
	}
	candidates := sampleCandidates(weights...)
	last := &candidates[maxPacked]
	best := uint64(0)
	for seed := range uint64(100_000) {
		c := Candidate{Seed: seed, Weight: 1}
		if u := uniformHash(1, &c); u > best {
			best, last.Seed = u, seed
		}
	}
	first, second := Choose(1, candidates)
	must.Eq(t, maxPacked, first)
	must.NotEq(t, first, second)
}

func TestSharesFollowWeights(t *testing.T) {
	candidates := sampleCandidates(1, 1, 0.5, 0.25)
	const keys = 200_000
	counts := make([]float64, len(candidates))
	for key := range uint64(keys) {
		first, _ := Choose(Mix(key), candidates)
		counts[first]++
	}
	for i, c := range candidates {
		must.InDelta(t, c.Weight/2.75, counts[i]/keys, 0.005)
	}
}
