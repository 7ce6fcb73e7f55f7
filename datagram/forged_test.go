package datagram_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/flow"
)

// Frames that report on an agent are accepted only from that agent's address.
// Another sender could otherwise have its flows reset or its packets
// redirected.
func TestAgentFramesFromOtherAddressesAreIgnored(t *testing.T) {
	forger, other := [4]byte{10, 9, 9, 9}, [4]byte{10, 9, 9, 8}
	for _, kind := range []flow.Kind{flow.Owned, flow.Closed, flow.Load, flow.NotHeld, flow.AgentStarted, flow.Ping, flow.HostEnded} {
		c := newServiceCluster(t)
		r := c.requester(1000, 1)
		owner := r.open()
		f := flow.Frame{Kind: kind, Key: r.key(), Sender: owner, Established: true, StartedAt: 9_000_000}
		if kind == flow.Owned {
			f.Sender = other
		}
		data := f.Append(nil)
		for a, agent := range c.agents {
			agent.HandleFrame(c.now, forger, data, &clusterOutput{c, a})
		}
		for _, e := range c.entries {
			e.HandleFrame(c.now, forger, data)
		}
		must.SliceEmpty(t, c.queue, must.Sprintf("kind %d is answered", kind))
		for _, via := range []byte{1, 2} {
			r.entry = via
			answers := r.send(ack, 777, 50)
			must.Len(t, 1, answers, must.Sprintf("kind %d", kind))
			must.False(t, answers[0].Rst)
		}
	}
}
