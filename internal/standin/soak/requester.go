package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/platform"
)

const (
	requestTimeout = 2 * time.Second
	// firstRetransmit doubles with each further copy.
	firstRetransmit = 200 * time.Millisecond
	thinkTime       = 40 * time.Millisecond
	// resetWindow is how far from the requester's last acknowledgement a reset of
	// an open flow may be; the requester does not take others.
	resetWindow = 76_800
)

// requester keeps one flow at a time and sends requests on it, one by one. It
// opens a new flow when one fails, or now and then for its own sake.
type requester struct {
	at      netip.Addr
	port    uint16 // of all packets to requesters
	router  *router
	checks  *checks
	random  *rand.Rand
	service flow.Endpoint
	want    string
	conn    *net.UDPConn
	inbox   chan []byte
	next    uint16
	// lastServed is when the last answer came, in Unix nanoseconds.
	lastServed atomic.Int64
}

func (r *requester) run(ctx context.Context) {
	go r.receive()
	defer func() { _ = r.conn.Close() }() // Ends receive.
	for ctx.Err() == nil {
		r.next++
		key := flow.Key{Requester: flow.Endpoint{Addr: r.at.As4(), Port: 1024 + r.next}, Destination: r.service}
		seq, ok := r.open(ctx, key)
		if !ok {
			r.checks.gaveUp()
			sleep(ctx, thinkTime)
			continue
		}
		for n := 0; n < 50 && ctx.Err() == nil; n++ {
			if !r.request(ctx, key, seq, n) {
				r.checks.gaveUp()
				break
			}
			sleep(ctx, time.Duration(r.random.Int64N(int64(2*thinkTime))))
		}
	}
}

func (r *requester) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		select {
		case r.inbox <- append([]byte(nil), buffer[:n]...):
		default: // A full inbox drops, as a socket does.
		}
	}
}

// exchange sends a packet, and copies of it, until take accepts an answer. It
// reports false after the timeout or a reset.
func (r *requester) exchange(ctx context.Context, key flow.Key, open bool, lastAck uint32, packet []byte, take func(*flow.Packet, []byte) bool) bool {
	deadline, gap := time.After(requestTimeout), firstRetransmit
	r.router.forward(packet, key)
	again := time.NewTimer(gap)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-deadline:
			return false
		case <-again.C:
			r.router.forward(packet, key)
			gap *= 2
			again.Reset(gap)
		case data := <-r.inbox:
			var p flow.Packet
			if !(platform.Codec{}).Decode(data, &p) || p.FromHost() != key {
				continue
			}
			if p.Rst {
				if open && p.Seq-lastAck+resetWindow > 2*resetWindow {
					continue
				}
				if open {
					r.checks.reset(key)
				}
				return false
			}
			if take(&p, data) {
				return true
			}
		}
	}
}

func (r *requester) open(ctx context.Context, key flow.Key) (seq uint32, ok bool) {
	packet := buildPacket(flagSyn, key.Requester, key.Destination, 1, 0, "")
	ok = r.exchange(ctx, key, false, 0, packet, func(p *flow.Packet, _ []byte) bool {
		seq = p.Seq
		return p.Syn && p.Ack
	})
	return seq, ok
}

func (r *requester) request(ctx context.Context, key flow.Key, seq uint32, n int) bool {
	number := fmt.Sprintf("%v#%d", key, n)
	packet := buildPacket(flagAck, key.Requester, key.Destination, 2+uint32(n), seq+1, number)
	return r.exchange(ctx, key, true, seq+1, packet, func(p *flow.Packet, data []byte) bool {
		if p.Size == 0 || p.AckSeq != 2+uint32(n)+uint32(len(number)) {
			return false
		}
		r.lastServed.Store(time.Now().UnixNano())
		return r.checks.answered(key, answerMark+r.want+" "+number, string(data[platform.HeaderSize:]))
	})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
