// Package placement chooses hosts for new flows by weighted rendezvous
// hashing. It does not depend on sockets, clocks or QUIC: a flow is an opaque
// key, and a host is a seed and a weight.
package placement

import "math"

// Candidate is a host that may take new flows.
type Candidate struct {
	// Seed identifies the host in the hash. It is the same on every entry.
	Seed uint64
	// Weight determines the share of new flows in proportion to the weights of
	// the other candidates. A candidate with a weight of 0 or less is not chosen.
	Weight float64
}

// None is the index returned when there is no candidate to choose.
const None = -1

// Choose returns the indices of the first and the second choice for the key.
// Each is None if there are not enough candidates with a positive weight.
func Choose(key uint64, candidates []Candidate) (first, second int) {
	if len(candidates) <= maxPacked && equalWeights(candidates) {
		return chooseEqualWeights(key, candidates)
	}
	first, second = None, None
	best, next := math.Inf(-1), math.Inf(-1)
	for i := range candidates {
		c := &candidates[i]
		if c.Weight <= 0 {
			continue
		}
		s := score(key, c)
		switch {
		case s > best:
			second, next = first, best
			first, best = i, s
		case s > next:
			second, next = i, s
		}
	}
	return first, second
}

// equalWeights reports whether all candidates have the same positive weight.
func equalWeights(candidates []Candidate) bool {
	for i := range candidates {
		if candidates[i].Weight <= 0 || candidates[i].Weight != candidates[0].Weight {
			return false
		}
	}
	return true
}

const (
	// indexBits is the number of low bits of a word that are left for an index
	// next to a uniformly distributed number of uniformBits bits.
	indexBits = 64 - uniformBits
	maxPacked = 1 << indexBits
)

// chooseEqualWeights is Choose for equal weights. The candidate with the greater
// hash then has the greater score, so that no logarithm is needed. The index is
// packed into the low bits of the hash, so that the loop has no branch that can
// be mispredicted.
func chooseEqualWeights(key uint64, candidates []Candidate) (first, second int) {
	var best, next uint64
	for i := range candidates {
		packed := uniformHash(key, &candidates[i])<<indexBits | uint64(i)
		next = max(next, min(best, packed))
		best = max(best, packed)
	}
	first, second = None, None
	if len(candidates) > 0 {
		first = int(best % maxPacked)
	}
	if len(candidates) > 1 {
		second = int(next % maxPacked)
	}
	return first, second
}

// PreferSecond reports whether the first choice forwards a new flow to the
// second choice, given the loads of both relative to their capacity. The first
// choice decides once per flow, based on its own exact load, so that all packets
// of a handshake reach the same host even if entries have different reports.
func PreferSecond(first, second uint64) bool {
	return first > second
}

// score implements the logarithmic method of weighted rendezvous hashing: the
// candidate with the greatest weight / -ln(u) is chosen, where u is uniformly
// distributed in (0, 1).
func score(key uint64, c *Candidate) float64 {
	u := (float64(uniformHash(key, c)) + 0.5) / (1 << uniformBits)
	return c.Weight / -math.Log(u)
}

const uniformBits = 52

// uniformHash returns a hash of the key for a candidate, uniformly distributed
// over uniformBits bits.
func uniformHash(key uint64, c *Candidate) uint64 {
	return Mix(key^c.Seed) >> (64 - uniformBits)
}

// Mix is the finalizer of SplitMix64: a bijection in which each input bit
// affects all output bits.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
