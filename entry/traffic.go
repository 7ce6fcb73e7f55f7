package entry

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"

	"github.com/turmericrock/turmericrock/tunnel"
)

// Counters counts packets by verdict. Traffic goroutines add to it.
type Counters struct {
	verdicts [verdictCount]atomic.Uint64
	sendErrs atomic.Uint64
}

// Count returns the number of packets with the verdict.
func (c *Counters) Count(v Verdict) uint64 {
	return c.verdicts[v].Load()
}

// worker receives callers' packets from one socket and forwards them.
type worker struct {
	conn        *ipv4.PacketConn
	tunnel      *ipv4.PacketConn
	entryAddr   netip.AddrPort
	servicePort uint16
	views       *atomic.Pointer[View]
	counters    *Counters
	codec       *tunnel.Codec
	view        *View
	in          []ipv4.Message
	out         []ipv4.Message
	buffers     [][]byte
	dests       []net.UDPAddr
	control     ipv4.ControlMessage
}

func newWorker(config Config, listener Listener, conn, tunnelConn net.PacketConn, views *atomic.Pointer[View], counters *Counters) (*worker, error) {
	w := &worker{
		conn:        ipv4.NewPacketConn(conn),
		tunnel:      ipv4.NewPacketConn(tunnelConn),
		entryAddr:   config.Self.Addr,
		servicePort: listener.ServicePort,
		views:       views,
		counters:    counters,
		in:          make([]ipv4.Message, config.BatchSize),
		out:         make([]ipv4.Message, config.BatchSize),
		buffers:     make([][]byte, config.BatchSize),
		dests:       make([]net.UDPAddr, config.BatchSize),
	}
	if err := w.conn.SetControlMessage(ipv4.FlagDst, true); err != nil {
		return nil, errors.WithStack(err)
	}
	for i := range w.in {
		// One byte more than a payload may have tells an oversized packet.
		w.buffers[i] = make([]byte, tunnel.MaxDatagram+1)
		payload := w.buffers[i][tunnel.HeaderSize : tunnel.HeaderSize+tunnel.MaxPayload+1]
		w.in[i].Buffers = [][]byte{payload}
		w.in[i].OOB = ipv4.NewControlMessage(ipv4.FlagDst)
		w.dests[i].IP = make(net.IP, net.IPv4len)
		w.out[i].Buffers = make([][]byte, 1)
		w.out[i].Addr = &w.dests[i]
	}
	return w, nil
}

// run forwards packets until the socket is closed.
func (w *worker) run() {
	for {
		n, err := w.conn.ReadBatch(w.in, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || !w.refreshView() {
			continue
		}
		count := 0
		for i := range n {
			if w.prepare(i, count) {
				count++
			}
		}
		w.send(count)
	}
}

// refreshView loads the current view and reports whether there is one.
func (w *worker) refreshView() bool {
	view := w.views.Load()
	if view == nil {
		return false
	}
	if w.view == nil || w.view.Keys != view.Keys {
		codec, err := tunnel.NewCodec(view.Keys)
		if err != nil {
			return false
		}
		w.codec = codec
	}
	w.view = view
	return true
}

// prepare places received packet i and, when it is forwarded, fills slot out
// of the next batch.
func (w *worker) prepare(i, out int) bool {
	message := &w.in[i]
	src, dst, ok := w.addresses(message)
	if !ok {
		return false
	}
	payload := message.Buffers[0][:message.N]
	decision := Place(w.view, src, dst, payload)
	w.counters.verdicts[decision.Verdict].Add(1)
	if decision.Verdict != VerdictForward {
		return false
	}
	header := tunnel.Header{
		Kind:        decision.Kind,
		Service:     decision.Service,
		Incarnation: decision.Incarnation,
		Revision:    w.view.Revision,
		Caller:      src,
		Entry:       w.entryAddr,
		Second:      decision.Second,
	}
	w.out[out].Buffers[0] = w.codec.Seal(w.buffers[i], message.N, &header)
	dest := &w.dests[out]
	ip := decision.Agent.Addr().As4()
	copy(dest.IP, ip[:])
	dest.Port = int(decision.Agent.Port())
	return true
}

func (w *worker) addresses(message *ipv4.Message) (src, dst netip.AddrPort, ok bool) {
	udp, ok := message.Addr.(*net.UDPAddr)
	if !ok {
		return src, dst, false
	}
	if err := w.control.Parse(message.OOB[:message.NN]); err != nil {
		return src, dst, false
	}
	ip, ok := netip.AddrFromSlice(w.control.Dst)
	if !ok {
		return src, dst, false
	}
	src = udp.AddrPort()
	src = netip.AddrPortFrom(src.Addr().Unmap(), src.Port())
	return src, netip.AddrPortFrom(ip.Unmap(), w.servicePort), true
}

func (w *worker) send(count int) {
	for sent := 0; sent < count; {
		n, err := w.tunnel.WriteBatch(w.out[sent:count], 0)
		if err != nil {
			// The packet at the front failed; the others still go out.
			w.counters.sendErrs.Add(1)
			n = max(n, 1)
		}
		sent += n
	}
}
