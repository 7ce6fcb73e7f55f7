package datagram_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
)

// Guards against open flows being reset at living hosts of a service that the configuration no
// longer declares: after the agents had restarted, none of them counted these hosts among those
// that may hold the flows.
func TestFlowOfARetiredServiceIsFoundAfterAgentsRestart(t *testing.T) {
	c := newTwoServices(t, 2)
	c.publish(1, nil, "s")
	flows := c.openFlows(1000, 30)
	c.publish(2, func(values *[]catalog.Value) {
		config := &(*values)[0]
		before, service, _ := strings.Cut(string(config.Data), `{"name":"s",`)
		_, after, _ := strings.Cut(service, "},")
		config.Data = []byte(before + strings.TrimSpace(after))
	}, "u")
	c.advance(hostListSettleTime)
	c.restartAllAtOnce()
	c.advance(hostListSettleTime)
	for _, r := range flows {
		r.requireServed()
	}
	c.requireFewTrials("s", "u")
	r := c.requester(5000, 1)
	must.Eq(t, "u", c.hosts[r.open()].service)
}
