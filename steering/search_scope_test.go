package steering_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// All processes restart, and every open flow is searched for. A route has moved from
// service t to service s before.
func TestEveryFlowIsSearchedForAtOnce(t *testing.T) {
	c, _ := newCatalog("a", "a", "b", "b")
	for i, service := range []string{"s", "t", "s", "u"} {
		c.Hosts[c.Agents[i]].Service = service
	}
	removed := [4]byte{10, 0, 0, 9}
	c.Removed = []catalog.RemovedHost{{Agent: removed, Service: "s", RemovedAt: 5 * time.Second}}
	scope := steering.SearchScope{
		Destination: flow.Endpoint{Port: 443}, Route: &catalog.Route{Targets: []catalog.Target{{Service: "s", Weight: 1}}},
		ZoneTag: catalog.ZoneTag("a"), AnyService: true, History: steering.NewServiceHistory(),
	}
	likely := func() (agents [][4]byte) {
		for _, agent := range c.Agents {
			if scope.IsLikely(c.Hosts[agent]) {
				agents = append(agents, agent)
			}
		}
		return agents
	}
	now := 10 * time.Second
	must.Len(t, 5, scope.Candidates(c, now), must.Sprint("any service may have held flows of the route"))
	must.Eq(t, [][4]byte{c.Agents[0]}, likely(), must.Sprint("the agent of the other service could not tell"))
	scope.History.Observe(scope.Destination, catalog.Tag("t"), now)
	must.Eq(t, [][4]byte{c.Agents[0], c.Agents[1]}, likely())
	scope.AnyService = false
	must.Len(t, 4, scope.Candidates(c, now), must.Sprint("s, the former service t, and the removed host"))
	must.Len(t, 3, scope.Candidates(c, 15*time.Second), must.Sprint("the removed host is no longer asked"))
	scope.ZoneTag = 0
	must.SliceEmpty(t, likely(), must.Sprint("the zone is not known"))
}
