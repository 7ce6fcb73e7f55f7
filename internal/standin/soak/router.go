package soak

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/turmericrock/turmericrock/flow"
)

const (
	readyInterval   = 500 * time.Millisecond
	readyTimeout    = 400 * time.Millisecond
	maxFailedChecks = 2
)

// router forwards requesters' packets to the entries in rotation, chosen by a
// hash of the flow. It can drop and delay packets.
type router struct {
	conn       *net.UDPConn
	packetPort uint16
	readyPort  uint16
	checker    *checker

	mu           sync.Mutex
	entries      []netip.Addr
	failedChecks map[netip.Addr]int
	drop         func() bool
	delay        func() time.Duration
}

func newRouter(entries []netip.Addr, packetPort, readyPort uint16, c *checker) (*router, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return &router{conn: conn, packetPort: packetPort, readyPort: readyPort, checker: c, entries: entries, failedChecks: make(map[netip.Addr]int)}, nil
}

// checkReadiness polls the readiness of the entries until the context ends.
func (r *router) checkReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readyTimeout}
	for ctx.Err() == nil {
		for _, e := range r.entries {
			response, err := client.Get("http://" + netip.AddrPortFrom(e, r.readyPort).String() + "/api/ready")
			ok := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close() // The body is not used.
			}
			r.mu.Lock()
			if ok {
				r.failedChecks[e] = 0
			} else {
				r.failedChecks[e]++
			}
			r.mu.Unlock()
		}
		sleep(ctx, readyInterval)
	}
}

// inRotation returns the entries that receive packets. If fewer than half are
// ready, these are all entries. The caller holds mu.
func (r *router) inRotation() []netip.Addr {
	var ready []netip.Addr
	for _, e := range r.entries {
		if r.failedChecks[e] < maxFailedChecks {
			ready = append(ready, e)
		}
	}
	if 2*len(ready) < len(r.entries) {
		return r.entries
	}
	return ready
}

func (r *router) forward(packet []byte, key flow.Key) {
	r.checker.packetWritten(packet)
	r.mu.Lock()
	entries := r.inRotation()
	to := entries[key.Hash()%uint64(len(entries))]
	drop, delay := r.drop, r.delay
	r.mu.Unlock()
	if drop != nil && drop() {
		return
	}
	send := func() {
		// A failed send is equivalent to packet loss.
		_, _ = r.conn.WriteToUDPAddrPort(packet, netip.AddrPortFrom(to, r.packetPort))
	}
	if delay != nil {
		time.AfterFunc(delay(), send)
		return
	}
	send()
}

// setFaults sets the functions that decide which packets are dropped and by
// how much they are delayed; nil means none.
func (r *router) setFaults(drop func() bool, delay func() time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop, r.delay = drop, delay
}
