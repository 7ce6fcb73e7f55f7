package soak

import (
	"bytes"
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
	// firstRetransmit is the delay of the first retransmission; it doubles
	// with each further one.
	firstRetransmit = 200 * time.Millisecond
	thinkTime       = 40 * time.Millisecond
	// resetWindow is how far the sequence number of a reset on an open flow
	// may be from the requester's last acknowledgement; other resets are
	// ignored.
	resetWindow = 76_800
	// maxCopies is the greatest number of copies that an opening states.
	maxCopies = 2
)

// requester simulates a client. It keeps one flow at a time and sends requests
// on it one after the other. It opens a new flow when one fails, and after 50
// requests.
type requester struct {
	addr        netip.Addr
	port        uint16 // port of all requesters, to which packets are sent
	router      *router
	checker     *checker
	random      *rand.Rand
	service     flow.Endpoint
	wantService string
	conn        *net.UDPConn
	inbox       chan []byte
	flowCount   uint16
	// lastServed is when the last correct response arrived, in Unix
	// nanoseconds.
	lastServed atomic.Int64
}

func (r *requester) run(ctx context.Context) {
	go r.receive()
	defer func() { _ = r.conn.Close() }() // Ends receive.
	for ctx.Err() == nil {
		key := r.nextFlow()
		seq, ok := r.openFlow(ctx, key)
		if !ok {
			r.checker.requestFailed()
			sleep(ctx, thinkTime)
			continue
		}
		for n := 0; n < 50 && ctx.Err() == nil; n++ {
			payload := fmt.Sprintf("%v#%04d", key, n)
			if r.sendRequest(ctx, key, seq, 2+uint32(n*len(payload)), payload) != answered {
				r.checker.requestFailed()
				break
			}
			sleep(ctx, time.Duration(r.random.Int64N(int64(2*thinkTime))))
		}
	}
}

// nextFlow returns the key of a new flow.
func (r *requester) nextFlow() flow.Key {
	r.flowCount++
	return flow.Key{Requester: flow.Endpoint{Addr: r.addr.As4(), Port: 1024 + r.flowCount}, Destination: r.service}
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
		default: // A full inbox drops packets, as a full socket buffer does.
		}
	}
}

// exchange sends a packet, and retransmits it, until accept returns true for a
// received packet. It returns false after the timeout or a reset.
func (r *requester) exchange(ctx context.Context, key flow.Key, flowOpen bool, lastAck uint32, packet []byte, accept func(*flow.Packet, []byte) bool) bool {
	deadline, retransmitDelay := time.After(requestTimeout), firstRetransmit
	r.router.forward(packet, key)
	retransmit := time.NewTimer(retransmitDelay)
	defer retransmit.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-deadline:
			return false
		case <-retransmit.C:
			if !flowOpen {
				// The field ack of an opening counts its copies.
				packet = bytes.Clone(packet)
				packet[offsetAck] = min(packet[offsetAck]+1, maxCopies)
			}
			r.router.forward(packet, key)
			retransmitDelay *= 2
			retransmit.Reset(retransmitDelay)
		case data := <-r.inbox:
			var p flow.Packet
			decoded := (platform.Codec{}).Decode(data, &p)
			if !decoded || !p.Rst {
				r.checker.checkWritten(data)
			}
			if !decoded || p.FromHost() != key {
				continue
			}
			if p.Rst {
				if flowOpen && p.Seq-lastAck+resetWindow > 2*resetWindow {
					continue
				}
				if flowOpen {
					r.checker.resetReceived(key, lastAck-1)
				}
				return false
			}
			if accept(&p, data) {
				return true
			}
		}
	}
}

func (r *requester) openFlow(ctx context.Context, key flow.Key) (seq uint32, ok bool) {
	packet := buildPacket(flagSyn, key.Requester, key.Destination, 1, 0, "")
	ok = r.exchange(ctx, key, false, 0, packet, func(p *flow.Packet, _ []byte) bool {
		seq = p.Seq
		return p.Syn && p.Ack
	})
	return seq, ok
}

// result is what became of a request.
type result int

const (
	// failed: the request was not answered and may have run.
	failed result = iota
	answered
	// refused: the host says that it does not run the request.
	refused
)

// sendRequest sends a request on an open flow, whose host has the given initial sequence
// number, and awaits the answer.
func (r *requester) sendRequest(ctx context.Context, key flow.Key, hostSeq, seq uint32, payload string) result {
	end, got := seq+uint32(len(payload)), failed
	packet := buildPacket(flagAck, key.Requester, key.Destination, seq, hostSeq+1, payload)
	r.exchange(ctx, key, true, hostSeq+1, packet, func(p *flow.Packet, data []byte) bool {
		if p.Size == 0 || p.AckSeq != end {
			return false
		}
		response := string(data[platform.HeaderSize:])
		if response == busyPrefix+r.wantService+" "+payload {
			got = refused
			return true
		}
		if r.checker.responseReceived(key, responsePrefix+r.wantService+" "+payload, response) {
			r.lastServed.Store(time.Now().UnixNano())
			got = answered
		}
		return got == answered
	})
	return got
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
