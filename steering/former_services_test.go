package steering_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// A route has moved to another service, and all processes restart. The flows that
// are found one after the other show which services still hold flows of the route.
func TestServicesThatHoldFlowsOfARouteAreRemembered(t *testing.T) {
	h := steering.NewServiceHistory()
	moved := flow.Endpoint{Addr: [4]byte{198, 18, 0, 1}, Port: 443}
	other := flow.Endpoint{Addr: [4]byte{198, 18, 0, 1}, Port: 80}
	must.False(t, h.MayHoldFlows(moved, 1))
	h.Observe(moved, 1, time.Second)
	must.True(t, h.MayHoldFlows(moved, 1))
	must.False(t, h.MayHoldFlows(other, 1))
	must.False(t, h.MayHoldFlows(moved, 2))
	h.Observe(moved, 1, 20*time.Second)
	h.Expire(time.Minute, 70*time.Second)
	must.True(t, h.MayHoldFlows(moved, 1))
	h.Expire(time.Minute, 81*time.Second)
	must.False(t, h.MayHoldFlows(moved, 1))
}
