package datagram_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/flow"
)

// servingHost serves requests in the order of arrival in its slots. It does not run, but
// is stepped by the test.
type servingHost struct {
	*scheduled
	rng *rand.Rand
	// flows and packets hold, by requester, its flow and how many packets of its request
	// have not arrived.
	flows   map[flow.Endpoint]*requester
	packets map[flow.Endpoint]int
	// queue holds the requesters whose requests wait at the host, inService those whose
	// requests occupy a slot until endAt.
	queue, inService []flow.Endpoint
	endAt            []time.Duration
	// seen is how many of the received packets have been taken.
	seen int
}

// step takes what has arrived and answers what has ended.
func (h *servingHost) step() {
	for _, p := range h.host.received[h.seen:] {
		if p.Size > 0 {
			h.packets[p.Src]--
			if h.packets[p.Src] == 0 {
				h.queue = append(h.queue, p.Src)
			}
		}
	}
	h.seen = len(h.host.received)
	for i := 0; i < len(h.endAt); i++ {
		if h.endAt[i] > h.now {
			continue
		}
		h.answer(h.flows[h.inService[i]])
		h.endAt, h.inService = append(h.endAt[:i], h.endAt[i+1:]...), append(h.inService[:i], h.inService[i+1:]...)
		i--
	}
	for len(h.endAt) < 2 && len(h.queue) > 0 {
		h.endAt = append(h.endAt, h.now+time.Duration(20+h.rng.IntN(40))*time.Millisecond)
		h.inService, h.queue = append(h.inService, h.queue[0]), h.queue[1:]
	}
}

// A load of 1.3 times what the host serves, in requests of one to four packets that are
// sent once. Guards against packets that are lost, repeated or reordered, and requests that
// wait for ever: each request arrives as a whole, or its time limit passes.
func TestEachRequestArrivesOnceOrExpires(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := &servingHost{scheduled: newScheduled(t), rng: rand.New(rand.NewPCG(seed, 2)), flows: make(map[flow.Endpoint]*requester), packets: make(map[flow.Endpoint]int)}
			h.host.keepsRequests = true
			asked := 0
			for ms := range 6000 {
				h.now += time.Millisecond
				if ms%100 == 0 {
					h.confirmCatalog()
				}
				if h.rng.Float64() < 0.065 && ms < 4000 {
					asked += h.ask(uint16(2000 + ms))
				}
				h.step()
				must.NoError(t, h.agents[h.at].CheckRequests(h.now, ms%100 == 0))
			}
			arrived, next := 0, make(map[flow.Endpoint]uint32)
			for _, p := range h.host.received {
				if p.Size == 0 {
					continue
				}
				if next[p.Src] == 0 {
					arrived++
					next[p.Src] = 1
				}
				must.Eq(t, next[p.Src], p.Seq)
				next[p.Src] += uint32(p.Size)
			}
			for requester, missing := range h.packets {
				must.True(t, missing == 0 || next[requester] == 0, must.Sprint(requester, " has arrived in part"))
			}
			expired := int(h.counter("requests_expired", "priority_1") + h.counter("requests_expired", "priority_2"))
			t.Logf("asked %d, arrived %d, expired %d", asked, arrived, expired)
			must.Eq(t, asked, arrived+expired)
			must.Greater(t, 180, arrived)
			must.Eq(t, 0, h.counter("requests_in_service", ""))
		})
	}
}

// ask opens a flow and sends a request on it. It returns the number of requests, which is 0
// if the opening was refused.
func (h *servingHost) ask(port uint16) int {
	r := h.requester(port, 1)
	if h.rng.IntN(4) == 0 {
		r.to.Port = urgentPort
	}
	answers := r.send(syn, 0, 0)
	if len(answers) != 1 || !answers[0].Syn {
		return 0
	}
	r.send(ack, answers[0].Seq+1, 0)
	count := 1 + h.rng.IntN(4)
	h.flows[r.endpoint], h.packets[r.endpoint] = r, count
	for n := range count {
		r.sendFrom(uint32(1+100*n), ack, 777, 100)
	}
	return 1
}
