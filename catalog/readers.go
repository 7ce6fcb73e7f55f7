package catalog

import (
	"slices"
	"sort"

	"github.com/turmericrock/turmericrock/placement"
)

// minReaders is the minimum number of agents that read the store on behalf of
// all other processes. With two, the loss of one leaves another.
const minReaders = 2

// agentsPerReader is the number of agents for which one reader is chosen.
const agentsPerReader = 25

// Readers returns the addresses of the agents that read the store on behalf of
// all other processes, in different zones if there are several. All processes
// with the same list of hosts choose the same readers.
func Readers(c *Catalog) [][4]byte {
	ranked := rankedAgents(c)
	return ranked[:min(readerCount(c), len(ranked))]
}

// OtherReaders returns the readers other than self, and as many agents that would take
// the place of readers that fail. If too few agents are usable, those that drain or are in
// a zone that is out of service follow: they run and know what others know.
func OtherReaders(c *Catalog, self [4]byte) [][4]byte {
	ranked := rankedAgents(c)
	for _, agent := range c.Agents {
		if !c.Usable(c.Hosts[agent]) {
			ranked = append(ranked, agent)
		}
	}
	others := slices.DeleteFunc(ranked[:min(2*readerCount(c), len(ranked))], func(agent [4]byte) bool { return agent == self })
	return others
}

// SubstituteReaders returns the agents that read the store while no reader can.
func SubstituteReaders(c *Catalog) [][4]byte {
	ranked := rankedAgents(c)
	return ranked[min(readerCount(c), len(ranked)):min(2*readerCount(c), len(ranked))]
}

func readerCount(c *Catalog) int {
	return max(minReaders, len(c.Agents)/agentsPerReader)
}

// rankedAgents returns the usable agents in the order in which they are chosen as
// readers.
func rankedAgents(c *Catalog) [][4]byte {
	ranked := make([][4]byte, 0, len(c.Agents))
	for _, agent := range c.Agents {
		if c.Usable(c.Hosts[agent]) {
			ranked = append(ranked, agent)
		}
	}
	sort.Slice(ranked, func(i, j int) bool { return readerScore(ranked[i], 0) > readerScore(ranked[j], 0) })
	var chosen, others [][4]byte
	zones := make(map[string]bool)
	for _, agent := range ranked {
		zone := c.Hosts[agent].Zone
		if zones[zone] {
			others = append(others, agent)
			continue
		}
		zones[zone] = true
		chosen = append(chosen, agent)
	}
	return append(chosen, others...)
}

// ReadersFor returns the readers in the order in which the process with the
// address self asks them: those in its own zone first.
func ReadersFor(c *Catalog, self [4]byte, zone string) [][4]byte {
	readers := Readers(c)
	seed := readerScore(self, 1)
	sort.SliceStable(readers, func(i, j int) bool {
		iLocal, jLocal := c.Hosts[readers[i]].Zone == zone, c.Hosts[readers[j]].Zone == zone
		if iLocal != jLocal {
			return iLocal
		}
		return readerScore(readers[i], seed) > readerScore(readers[j], seed)
	})
	return readers
}

// readerScore returns the rank of an agent in the pseudo-random order that the
// seed determines; the highest comes first.
func readerScore(a [4]byte, seed uint64) uint64 {
	return placement.Mix(seed ^ placement.Mix(uint64(a[0])<<24|uint64(a[1])<<16|uint64(a[2])<<8|uint64(a[3])))
}
