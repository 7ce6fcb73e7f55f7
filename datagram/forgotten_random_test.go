package datagram_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/catalog"
)

var (
	forgottenDays = flag.Int("datagram.forgotten", 30, "histories played by TestForgottenServicesInRandomHistories")
	forgottenSeed = flag.Uint64("datagram.forgottenseed", 1, "seed of the first of these histories")
)

// forgottenHistory is a random history of a route that moves between services until all
// processes are killed, so that nobody knows its former services. A seed determines it.
type forgottenHistory struct {
	*cluster
	random  *rand.Rand
	version int64
	target  string
	// split is another service that the route names as well, or "".
	split  string
	events []string
	flows  []*historyFlow
	// killedAt is when the agent of a machine was killed. Stray packets at a machine, or of flows
	// whose host is there, do not count until it is in touch again.
	killedAt map[[4]byte][]time.Duration
}

// historyFlow is a flow with the requests that its caller has yet to send.
type historyFlow struct {
	*requester
	service string
	// sendAt is when the next packet is sent, copy its number within the request.
	sendAt time.Duration
	copy   int
	// pauses are the pauses before the further requests.
	pauses []time.Duration
	// openedAt is when the flow was opened, and aliveAt when its requester last sent a packet.
	openedAt, aliveAt time.Duration
	// idle reports that the flow was idle for longer than the platform counts it.
	idle bool
}

// retransmissions are the pauses between the copies of a packet until its request times out.
var retransmissions = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond}

const (
	forgottenServices = 3
	idleTimeout       = 15 * time.Second
	// contactTime is the time after a kill after which a machine is in touch.
	contactTime = strayWindow + recoveryTime
)

func serviceName(n int) string { return string(rune('s' + n)) }

func newForgottenHistory(t *testing.T, seed uint64) *forgottenHistory {
	h := &forgottenHistory{cluster: newCluster(t), random: rand.New(rand.NewPCG(seed, 0)), killedAt: make(map[[4]byte][]time.Duration)}
	for n := range byte(1 + h.random.IntN(3)) {
		h.addEntry(n + 1)
	}
	for s := range forgottenServices {
		for n := range 1 + h.random.IntN(7) {
			h.addHost(byte(11+10*s+n), serviceName(s))
		}
	}
	return h
}

func (h *forgottenHistory) between(least, most time.Duration) time.Duration {
	return least + time.Duration(h.random.Int64N(int64(most-least)+1))
}

// publishNext publishes the route to the target, with a declaration of each service.
func (h *forgottenHistory) publishNext() {
	h.version++
	h.publish(h.version, func(values *[]catalog.Value) {
		config := &(*values)[0]
		config.Data = bytes.Replace(config.Data, []byte(`"services":[`),
			[]byte(`"services":[{"name":"t","health_path":"/health","max_conns":2000,"warmup_s":2.0,"warmup_per_s":0},`), 1)
	}, slices.DeleteFunc([]string{h.target, h.split}, func(s string) bool { return s == "" })...)
}

func (h *forgottenHistory) log(format string, args ...any) {
	h.events = append(h.events, fmt.Sprintf("%.1f ", h.now.Seconds())+fmt.Sprintf(format, args...))
}

// moveRoute moves the route to a service, and opens flows there.
func (h *forgottenHistory) moveRoute(target int, flows uint16) {
	h.target, h.split = serviceName(target), ""
	if other := serviceName(h.random.IntN(forgottenServices)); other != h.target && h.random.IntN(3) == 0 {
		h.split = other
	}
	h.publishNext()
	h.log("route moves to %s%s, %d flows", h.target, h.split, flows)
	for _, r := range h.openFlows(uint16(1000+len(h.flows)), flows) {
		f := &historyFlow{requester: r, service: h.hosts[h.holder(r.key())].service, openedAt: h.now, aliveAt: h.now}
		h.flows = append(h.flows, f)
	}
}

// killAll kills all processes. Those that start know the last configuration only.
func (h *forgottenHistory) killAll() {
	h.log("all processes are killed")
	h.tracker = nil
	h.publishNext()
	h.restartAllAtOnce()
	for a := range h.agents {
		h.killedAt[a] = append(h.killedAt[a], h.now)
	}
}

// planRequests plans the requests of all flows. Callers of each service are busy or pause.
func (h *forgottenHistory) planRequests() {
	for s := range forgottenServices {
		longest := []time.Duration{500 * time.Millisecond, 2500 * time.Millisecond, 14 * time.Second}[h.random.IntN(3)]
		first := []time.Duration{0, 2 * time.Second, 4 * time.Second, 9 * time.Second}[h.random.IntN(4)]
		h.log("callers of %s wait for %v and pause for up to %v", serviceName(s), first, longest)
		for _, f := range h.flows {
			if f.service != serviceName(s) {
				continue
			}
			f.sendAt = h.now + first + h.between(0, longest)
			for range 1 + h.random.IntN(4) {
				f.pauses = append(f.pauses, h.between(longest/10, longest))
			}
		}
	}
}

// disturb restarts processes or moves the route on.
func (h *forgottenHistory) disturb() {
	agents := h.sortedAgents()
	agent := agents[h.random.IntN(len(agents))]
	switch h.random.IntN(7) {
	case 0, 1:
		h.log("agent %v restarts", agent)
		h.startAgent(agent[3], true)
	case 2:
		entry := byte(1 + h.random.IntN(len(h.entries)))
		h.log("entry %d restarts", entry)
		h.addEntry(entry)
	case 3:
		service := h.hosts[agent].service
		h.log("all agents of %s are killed", service)
		for _, a := range agents {
			if h.hosts[a].service == service {
				h.startAgent(a[3], true)
				h.killedAt[a] = append(h.killedAt[a], h.now)
			}
		}
	case 4:
		h.moveRoute(h.random.IntN(forgottenServices), 3)
	case 5:
		h.log("entries restart")
		for n := range h.entries {
			h.addEntry(n[3])
		}
	case 6:
		for n := byte(41); n < 45; n++ {
			if h.hosts[addr(n)] == nil {
				h.log("host %d starts", n)
				h.addHost(n, h.target)
				h.publishNext()
				break
			}
		}
	}
}

// send sends the next packet of a flow through any entry.
func (h *forgottenHistory) send(f *historyFlow) {
	f.idle = f.idle || h.now-f.aliveAt > idleTimeout
	f.entry = byte(1 + h.random.IntN(len(h.entries)))
	f.aliveAt = h.now
	answers := f.requester.send(ack, 777, 50)
	for _, p := range answers {
		must.False(h.t, p.Rst && !f.idle, must.Sprintf("%v was reset: %v", f.key(), h.events))
	}
	switch {
	case len(answers) == 0 && f.copy < len(retransmissions):
		f.sendAt = h.now + retransmissions[f.copy]
		f.copy++
		return
	case len(f.pauses) == 0:
		f.sendAt = -1
		return
	}
	f.sendAt, f.pauses, f.copy = h.now+f.pauses[0], f.pauses[1:], 0
}

// play plays a history and requires that no open flow is broken.
func (h *forgottenHistory) play() {
	h.moveRoute(0, uint16(1+h.random.IntN(30)))
	for range 1 + h.random.IntN(3) {
		h.advance(h.between(0, 3*time.Second))
		h.moveRoute(h.random.IntN(forgottenServices), uint16(h.random.IntN(80)))
	}
	h.advance(h.between(0, 2*time.Second))
	h.killAll()
	h.planRequests()
	var disturbances []time.Duration
	for range h.random.IntN(5) {
		disturbances = append(disturbances, h.now+h.between(0, 25*time.Second))
	}
	slices.Sort(disturbances)
	if h.random.IntN(4) == 0 {
		h.advance(h.between(0, 3*time.Second))
		h.killAll()
	}
	for end := h.now + lifetime; h.now < end; h.advance(50 * time.Millisecond) {
		for len(disturbances) > 0 && disturbances[0] <= h.now {
			disturbances = disturbances[1:]
			h.disturb()
		}
		for _, f := range h.flows {
			if f.sendAt >= 0 && f.sendAt <= h.now && h.now-f.openedAt < lifetime {
				h.send(f)
			}
		}
	}
	for _, f := range h.flows {
		if !f.idle {
			h.requireNotBroken(f)
		}
	}
}

// inTouch reports whether the agent of a machine has not been killed within the contact time.
func (h *forgottenHistory) inTouch(agent [4]byte, at time.Duration) bool {
	return !slices.ContainsFunc(h.killedAt[agent], func(killedAt time.Duration) bool {
		return killedAt <= at && at-killedAt < contactTime
	})
}

// requireNotBroken requires that in no stray window three packets of the flow that count have
// reached other hosts and none its own.
func (h *forgottenHistory) requireNotBroken(f *historyFlow) {
	own := h.holder(f.key())
	for _, first := range h.arrivals[f.key()] {
		strays, reachedOwn := 0, false
		for _, p := range h.arrivals[f.key()] {
			if p.at < first.at || p.at > first.at+strayWindow {
				continue
			}
			reachedOwn = reachedOwn || p.held
			if !p.held && h.inTouch(p.host, p.at+strayWindow) && h.inTouch(own, p.at+strayWindow) {
				strays++
			}
		}
		must.False(h.t, strays > 2 && !reachedOwn, must.Sprintf("%d packets of %v, open at %v, strayed from %v on: %v", strays, f.key(), own, first.at, h.events))
	}
}

// Guards against packets of open flows reaching hosts of services that the route has now and
// none their own, after all processes were killed: callers of the new service are busy, so that
// an agent finds many flows, while those of a former one pause, and processes restart later.
func TestForgottenServicesInRandomHistories(t *testing.T) {
	for seed := *forgottenSeed; seed < *forgottenSeed+uint64(*forgottenDays); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newForgottenHistory(t, seed).play() })
	}
}
