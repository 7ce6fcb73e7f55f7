package datagram_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
)

// publishCold publishes a catalog in which the hosts, started at the given time in Unix
// milliseconds, are cold and tolerate 9.5 new flows per second.
func (c *cluster) publishCold(startUnixMilli int64) {
	c.publishColdAt(1, startUnixMilli)
}

// publishColdAt is publishCold with a version.
func (c *cluster) publishColdAt(version, startUnixMilli int64) {
	c.publish(version, func(values *[]catalog.Value) {
		for i := range *values {
			v := &(*values)[i]
			v.Data = bytes.ReplaceAll(v.Data, []byte(`"warmup_s":2.0,"warmup_per_s":0`), []byte(`"warmup_s":60,"warmup_per_s":3`))
			v.Data = bytes.ReplaceAll(v.Data, []byte(`"warmup_left_ms":0`), []byte(`"warmup_left_ms":60000`))
			v.Data = bytes.ReplaceAll(v.Data, []byte(`"born":1`), []byte(fmt.Sprintf(`"born":%d`, startUnixMilli)))
		}
	}, "s")
}

// openMany sends openings from consecutive ports.
func (c *cluster) openMany(first, count uint16) {
	for port := first; port < first+count; port++ {
		c.requester(port, 1).send(syn, 0, 0)
	}
}

// Guards against a cold host getting the new flows of two seconds within one, because its
// agent restarts and does not know those that its predecessor let through.
func TestColdHostIsNotOverloadedByARestartOfItsAgent(t *testing.T) {
	c := newCluster(t)
	c.addEntry(1)
	h := c.addHost(11, "s")
	c.publishCold(1)
	const limit = 8
	c.openMany(1000, 30)
	must.Eq(t, limit, h.accepted)
	c.now += 300 * time.Millisecond
	c.startAgent(11, true)
	for first := uint16(2000); first < 3000; first += 100 {
		c.openMany(first, 30)
		must.Eq(t, limit, h.accepted, must.Sprint("within a second of the restart"))
		c.now += 100 * time.Millisecond
	}
	c.now += 100 * time.Millisecond
	c.openMany(4000, 30)
	must.Eq(t, 2*limit, h.accepted)
}

// Guards against a second without new flows after a loss of power, where hosts and agents
// start together: such an agent has seen all flows of its host. The same holds for the
// first start of the whole system.
func TestColdHostThatStartsWithItsAgentGetsFlowsAtOnce(t *testing.T) {
	for name, start := range map[string]struct {
		restarted bool
		born      int64
	}{"machine lost power": {true, 1_000_000 - 200}, "first start": {false, 1}} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.addEntry(1)
			h := c.addHost(11, "s")
			c.publishCold(start.born)
			c.startAgent(11, start.restarted)
			c.openMany(1000, 30)
			must.Eq(t, 8, h.accepted)
		})
	}
}
