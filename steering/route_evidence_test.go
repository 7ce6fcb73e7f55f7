package steering_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// Guards against the limit on trials ending without evidence: too few flows were found, those
// of another route were, one is missing, or the evidence is older than flows live.
func TestServicesCountAsKnownOnceFlowsWereFoundAndNoneMissed(t *testing.T) {
	route, other := flow.Endpoint{Port: 1}, flow.Endpoint{Port: 2}
	e := steering.NewRouteEvidence()
	for n := range 10 {
		must.Eq(t, n >= 6, e.AllServicesKnown(route), must.Sprint(n, " flows found"))
		e.RecordFound(route, time.Second)
	}
	must.False(t, e.AllServicesKnown(other))
	e.Expire(time.Minute, 61*time.Second)
	must.True(t, e.AllServicesKnown(route))
	flows := [3]flow.Key{{Destination: route}, {Destination: route}, {Destination: route}}
	flows[1].Requester.Port, flows[2].Requester.Port = 1, 2
	must.False(t, e.RecordMissed(flows[0], 2*time.Second))
	must.False(t, e.RecordMissed(flows[0], 3*time.Second), must.Sprint("the same flow"))
	must.True(t, e.AllServicesKnown(route), must.Sprint("a single flow may have been lost"))
	must.True(t, e.RecordMissed(flows[1], 3*time.Second))
	must.False(t, e.RecordMissed(flows[2], 3*time.Second), must.Sprint("no news"))
	for range 10 {
		e.RecordFound(route, 4*time.Second)
	}
	must.False(t, e.AllServicesKnown(route))
	e.Forget(route)
	e.RecordMissing(route, 5*time.Second)
	for range 10 {
		e.RecordFound(route, 5*time.Second)
	}
	must.False(t, e.AllServicesKnown(route), must.Sprint("another agent has missed flows"))
	e.Expire(time.Minute, 66*time.Second)
	must.False(t, e.AllServicesKnown(route))
	e.RecordFound(route, 67*time.Second)
	must.False(t, e.AllServicesKnown(route), must.Sprint("all has expired"))
}
