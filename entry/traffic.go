package entry

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"github.com/turmericrock/turmericrock/tunnel"
)

// worker receives callers' packets from one socket and forwards them from
// another.
type worker struct {
	conn        *ipv4.PacketConn
	out         *ipv4.PacketConn
	entryAddr   netip.AddrPort
	servicePort uint16
	// local is the service address of all packets, where the socket is bound
	// to one IP, and else invalid.
	local    netip.AddrPort
	views    *atomic.Pointer[View]
	deadline *deadline
	counters *Counters

	placer  Placer
	codec   *tunnel.Codec
	view    *View
	tally   [verdictCount]uint64
	newOnes uint64

	received []ipv4.Message
	sending  []ipv4.Message
	buffers  [][]byte
	dests    []net.UDPAddr
}

func newWorker(e *Entry, listener Listener, conn, out net.PacketConn) (*worker, error) {
	size := e.config.BatchSize
	w := &worker{
		conn:        ipv4.NewPacketConn(conn),
		out:         ipv4.NewPacketConn(out),
		entryAddr:   e.config.Self.Addr,
		servicePort: listener.ServicePort,
		views:       &e.views,
		deadline:    e.deadline,
		counters:    e.counters,
		received:    make([]ipv4.Message, size),
		sending:     make([]ipv4.Message, size),
		buffers:     make([][]byte, size),
		dests:       make([]net.UDPAddr, size),
	}
	if err := w.learnDestination(listener); err != nil {
		return nil, err
	}
	for i := range w.received {
		// One byte more than a payload may have tells an oversized packet.
		w.buffers[i] = make([]byte, tunnel.MaxDatagram+1)
		payload := w.buffers[i][tunnel.HeaderSize : tunnel.HeaderSize+tunnel.MaxPayload+1]
		w.received[i].Buffers = [][]byte{payload}
		if !w.local.IsValid() {
			w.received[i].OOB = ipv4.NewControlMessage(ipv4.FlagDst)
		}
		w.dests[i].IP = make(net.IP, net.IPv4len)
		w.sending[i].Buffers = make([][]byte, 1)
		w.sending[i].Addr = &w.dests[i]
	}
	return w, nil
}

// learnDestination makes the kernel tell each packet's destination, unless the
// socket is bound to one IP.
func (w *worker) learnDestination(listener Listener) error {
	if !listener.Addr.Addr().IsUnspecified() {
		w.local = netip.AddrPortFrom(listener.Addr.Addr(), listener.ServicePort)
		return nil
	}
	return errors.WithStack(w.conn.SetControlMessage(ipv4.FlagDst, true))
}

// run forwards packets until the socket is closed.
func (w *worker) run() {
	for {
		n, err := w.conn.ReadBatch(w.received, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		w.forward(n)
		w.flush()
	}
}

// forward places and sends the n packets received.
func (w *worker) forward(n int) {
	if w.deadline.passed(time.Now()) || !w.refreshView() {
		w.tally[VerdictStaleView] += uint64(n)
		return
	}
	count := 0
	for i := range n {
		if w.prepare(i, count) {
			count++
		}
	}
	w.send(count)
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
	message := &w.received[i]
	src, dst, ok := w.addresses(message)
	if !ok {
		w.tally[VerdictMalformed]++
		return false
	}
	payload := message.Buffers[0][:message.N]
	decision := w.placer.Place(w.view, src, dst, payload)
	w.tally[decision.Verdict]++
	if decision.Verdict != VerdictForward {
		return false
	}
	if decision.Kind == tunnel.KindNew {
		w.newOnes++
	}
	header := tunnel.Header{
		Kind:        decision.Kind,
		Service:     decision.Service,
		Incarnation: decision.Incarnation,
		Revision:    w.view.Revision,
		Caller:      src,
		Entry:       w.entryAddr,
		Second:      decision.Second,
		SecondLoad:  decision.SecondLoad,
	}
	w.sending[out].Buffers[0] = w.codec.Seal(w.buffers[i], message.N, &header)
	dest := &w.dests[out]
	ip := decision.Agent.Addr().As4()
	copy(dest.IP, ip[:])
	dest.Port = int(decision.Agent.Port())
	return true
}

// addresses returns the source of a packet and the service address to which
// it was sent.
func (w *worker) addresses(message *ipv4.Message) (src, dst netip.AddrPort, ok bool) {
	udp, ok := message.Addr.(*net.UDPAddr)
	if !ok {
		return src, dst, false
	}
	src = udp.AddrPort()
	src = netip.AddrPortFrom(src.Addr().Unmap(), src.Port())
	if w.local.IsValid() {
		return src, w.local, true
	}
	ip, ok := destination(message.OOB[:message.NN])
	return src, netip.AddrPortFrom(ip, w.servicePort), ok
}

// destinationAt is the offset of the destination in a struct in_pktinfo.
const destinationAt = 8

// destination reads the destination of a packet from its IP_PKTINFO control
// message, without allocating.
func destination(oob []byte) (netip.Addr, bool) {
	for len(oob) >= unix.SizeofCmsghdr {
		header, data, rest, err := unix.ParseOneSocketControlMessage(oob)
		if err != nil {
			return netip.Addr{}, false
		}
		isInfo := header.Level == unix.IPPROTO_IP && header.Type == unix.IP_PKTINFO
		if isInfo && len(data) >= unix.SizeofInet4Pktinfo {
			ip := [net.IPv4len]byte(data[destinationAt:])
			return netip.AddrFrom4(ip), true
		}
		oob = rest
	}
	return netip.Addr{}, false
}

// send sends the first count datagrams. The process may have been paused
// since they were placed, so it looks at the deadline again.
func (w *worker) send(count int) {
	if w.deadline.passed(time.Now()) {
		w.tally[VerdictForward] -= uint64(count)
		w.tally[VerdictStaleView] += uint64(count)
		return
	}
	for sent := 0; sent < count; {
		n, err := w.out.WriteBatch(w.sending[sent:count], 0)
		if err != nil {
			// The packet at the front failed; the others still go out.
			w.counters.sendErrs.Add(1)
			n = max(n, 1)
		}
		sent += n
	}
}

// flush adds the batch's counts to the shared counters.
func (w *worker) flush() {
	for v, count := range w.tally {
		if count > 0 {
			w.counters.verdicts[v].Add(count)
			w.tally[v] = 0
		}
	}
	if w.newOnes > 0 {
		w.counters.newFlows.Add(w.newOnes)
		w.newOnes = 0
	}
}
