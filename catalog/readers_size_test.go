package catalog

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/flow"
)

// The waits of all other nodes at one reader are part of its control traffic.
func TestReaderControlTrafficStaysWithinLimit(t *testing.T) {
	const (
		entries, agents = 930, 5000
		// watchesPerSecond is how often a node waits at a reader, and watchBytes
		// what one wait that ends unchanged costs, both ways.
		watchesPerSecond, watchBytes = 1.0 / 0.6, 400
		// limit is the users' limit of a node's control traffic in bytes a second.
		limit = 24_000
	)
	hosts := make(map[string]*Host)
	for i := range agents {
		addr := [4]byte{10, byte(i % 7), byte(i / 250), byte(i % 250)}
		hosts[string(addr[:])] = &Host{ID: string(addr[:]), Service: "s", Zone: string('a' + rune(i%7)), Addr: flow.Endpoint{Addr: addr, Port: 1}}
	}
	c := buildCatalog(&Config{Services: map[string]ServiceConfig{"s": {}}}, hosts, nil)
	must.Len(t, agents, c.Agents)
	nodesPerReader := float64(entries+agents) / float64(len(Readers(c)))
	must.LessEq(t, float64(limit), nodesPerReader*watchesPerSecond*watchBytes)
}
