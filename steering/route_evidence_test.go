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
	must.True(t, e.RecordMissing(route, 2*time.Second))
	must.False(t, e.RecordMissing(route, 3*time.Second), must.Sprint("no news"))
	for range 10 {
		e.RecordFound(route, 4*time.Second)
	}
	must.False(t, e.AllServicesKnown(route))
	e.Forget(route)
	must.True(t, e.RecordMissing(route, 5*time.Second), must.Sprint("nothing is known any more"))
	e.Expire(time.Minute, 66*time.Second)
	must.False(t, e.AllServicesKnown(route))
	must.True(t, e.RecordMissing(route, 67*time.Second), must.Sprint("all has expired"))
}
