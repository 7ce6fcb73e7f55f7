package datagram_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/datagram"
	"github.com/turmericrock/turmericrock/flow"
)

// Guards against one message that leads to an unexpected error ending the process.
func TestUnexpectedErrorEndsOneDatagramOnly(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	events := newDiscardEvents()
	handled := make(chan string, 10)
	n := &datagram.Node{
		Sockets: datagram.Sockets{Peers: netip.MustParseAddrPort("127.0.0.1:0")},
		OnPeer: func(_ time.Duration, _ [4]byte, data []byte, _ datagram.Output) {
			if string(data) == "bad" {
				panic("index out of range")
			}
			handled <- string(data)
		},
		Expire: func(time.Duration) {}, Now: func() time.Duration { return time.Second },
		Log: logrus.NewEntry(log), Events: events,
	}
	must.NoError(t, n.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { must.NoError(t, n.Run(ctx)) })
	conn, err := net.Dial("udp4", n.PeersAddr().String())
	must.NoError(t, err)
	for _, message := range []string{"bad", "good"} {
		_, err = conn.Write([]byte(message))
		must.NoError(t, err)
	}
	must.Eq(t, "good", <-handled)
	must.Eq(t, 1, events.Totals()["unexpected_error"])
	cancel()
	must.NoError(t, conn.Close())
	group.Wait()
}

// Sends mutated frames and packets to entries, agents and from hosts, between valid
// ones. None may cause a panic, and flows are served afterwards.
func TestMutatedMessagesAreHarmless(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := newServiceCluster(t)
		flows := c.openFlows(1000, 20)
		var valid [][]byte
		for kind := flow.Deliver; kind <= flow.MayHold; kind++ {
			f := flow.Frame{Kind: kind, Key: flows[0].key(), Sender: addr(11), Origin: flow.Endpoint{Addr: addr(1), Port: peerPort}, ServiceTag: catalog.Tag("s")}
			valid = append(valid, append(f.Append(nil), packet(ack, flows[0].endpoint, destination(), 1, 777, 50)...))
		}
		valid = append(valid, packet(syn, flows[1].endpoint, destination(), 1, 0, 0), packet(returned|ack, flows[2].endpoint, destination(), 1, 9, 30))
		for range 500 {
			data := bytes.Clone(valid[random.IntN(len(valid))])
			for range 1 + random.IntN(4) {
				data[random.IntN(len(data))] = byte(random.Uint32())
			}
			data = data[:random.IntN(len(data)+1)]
			at := addr(byte(11 + random.IntN(4)))
			switch random.IntN(4) {
			case 0:
				c.entries[addr(1)].HandlePacket(c.now, data, &clusterOutput{c, addr(1)})
			case 1:
				c.entries[addr(1)].HandleFrame(c.now, addr(byte(random.IntN(256))), data)
			case 2:
				c.agents[at].HandleFrame(c.now, addr(byte(11+random.IntN(4))), data, &clusterOutput{c, at})
			case 3:
				c.agents[at].HandleHost(c.now, data, &clusterOutput{c, at})
			}
			c.queue = nil
			c.now += time.Millisecond
		}
		c.confirmCatalog()
		c.now += time.Second
		c.confirmCatalog()
		c.requester(2000, 1).open()
	}
}
