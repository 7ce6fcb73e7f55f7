package catalog

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/flow"
)

// The watches of all other nodes are part of a reader's control traffic, so the
// number of readers must grow with the number of agents.
func TestReaderControlTrafficStaysWithinLimit(t *testing.T) {
	const (
		entries, agents = 930, 5000
		// watchesPerSecond is how often a node sends a watch to a reader, and
		// watchBytes the traffic in both directions of a watch without a
		// change.
		watchesPerSecond, watchBytes = 1.0 / 0.6, 400
		// limit is the required limit of a node's control traffic in bytes per
		// second.
		limit = 24_000
	)
	hosts := make(map[string]*Host)
	for i := range agents {
		addr := [4]byte{10, byte(i % 7), byte(i / 250), byte(i % 250)}
		hosts[string(addr[:])] = &Host{ID: string(addr[:]), Service: "s", Zone: string('a' + rune(i%7)), Addr: flow.Endpoint{Addr: addr, Port: 1}}
	}
	c := buildCatalog(&Config{Services: map[string]ServiceConfig{"s": {}}}, hosts, nil, nil)
	must.Len(t, agents, c.Agents)
	nodesPerReader := float64(entries+agents) / float64(len(Readers(c)))
	must.LessEq(t, float64(limit), nodesPerReader*watchesPerSecond*watchBytes)
}
