package datagram_test

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/datagram"
	"github.com/turmericrock/turmericrock/flow"
)

// Guards against log lines of decisions without a flow carrying a flow field
// with zero addresses.
func TestLogOmitsFlowFieldForZeroKey(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	events := datagram.NewEvents(logrus.NewEntry(log))
	events.Log(datagram.EventHostRecovered, flow.Key{}, "busy", 1)
	must.StrContains(t, out.String(), "host_well")
	must.StrNotContains(t, out.String(), "flow=")
	events.Log(datagram.EventLost, flow.Key{Requester: flow.Endpoint{Port: 1}})
	must.StrContains(t, out.String(), "flow=")
}
