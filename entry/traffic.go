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

// worker receives callers' packets on one socket and forwards them to agents
// from another.
type worker struct {
	receiveConn *ipv4.PacketConn
	sendConn    *ipv4.PacketConn
	entryAddr   netip.AddrPort
	servicePort uint16
	// serviceAddr is the service address of all received packets if the socket
	// is bound to a single IP, and otherwise the zero value.
	serviceAddr netip.AddrPort
	views       *atomic.Pointer[View]
	deadline    *viewDeadline
	counters    *Counters

	placer        Placer
	codec         *tunnel.Codec
	view          *View
	verdictCounts [verdictCount]uint64
	newFlowCount  uint64

	received []ipv4.Message
	sending  []ipv4.Message
	buffers  [][]byte
	dests    []net.UDPAddr
}

func newWorker(e *Entry, listener Listener, receiveConn, sendConn net.PacketConn) (*worker, error) {
	batchSize := e.config.BatchSize
	w := &worker{
		receiveConn: ipv4.NewPacketConn(receiveConn),
		sendConn:    ipv4.NewPacketConn(sendConn),
		entryAddr:   e.config.Self.Addr,
		servicePort: listener.ServicePort,
		views:       &e.views,
		deadline:    e.viewDeadline,
		counters:    e.counters,
		received:    make([]ipv4.Message, batchSize),
		sending:     make([]ipv4.Message, batchSize),
		buffers:     make([][]byte, batchSize),
		dests:       make([]net.UDPAddr, batchSize),
	}
	if err := w.setupDestination(listener); err != nil {
		return nil, err
	}
	for i := range w.received {
		// One byte more than the largest payload reveals a packet that is too
		// large.
		w.buffers[i] = make([]byte, tunnel.MaxDatagram+1)
		payload := w.buffers[i][tunnel.HeaderSize : tunnel.HeaderSize+tunnel.MaxPayload+1]
		w.received[i].Buffers = [][]byte{payload}
		if !w.serviceAddr.IsValid() {
			w.received[i].OOB = ipv4.NewControlMessage(ipv4.FlagDst)
		}
		w.dests[i].IP = make(net.IP, net.IPv4len)
		w.sending[i].Buffers = make([][]byte, 1)
		w.sending[i].Addr = &w.dests[i]
	}
	return w, nil
}

// setupDestination makes the kernel pass the destination address of each
// packet, unless the socket is bound to a single IP.
func (w *worker) setupDestination(listener Listener) error {
	if !listener.Addr.Addr().IsUnspecified() {
		w.serviceAddr = netip.AddrPortFrom(listener.Addr.Addr(), listener.ServicePort)
		return nil
	}
	return errors.WithStack(w.receiveConn.SetControlMessage(ipv4.FlagDst, true))
}

// run forwards packets until the socket is closed.
func (w *worker) run() {
	for {
		n, err := w.receiveConn.ReadBatch(w.received, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		w.forwardBatch(n)
		w.flushCounts()
	}
}

// forwardBatch places the n received packets and sends those that are
// forwarded.
func (w *worker) forwardBatch(n int) {
	if w.deadline.passed(time.Now()) || !w.refreshView() {
		w.verdictCounts[VerdictStaleView] += uint64(n)
		return
	}
	count := 0
	for i := range n {
		if w.prepareDatagram(i, count) {
			count++
		}
	}
	w.sendBatch(count)
}

// refreshView loads the current view and reports whether there is a usable
// one.
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

// prepareDatagram places received packet i. If the packet is to be forwarded,
// it fills the given slot of the outgoing batch and returns true.
func (w *worker) prepareDatagram(i, slot int) bool {
	message := &w.received[i]
	src, dst, ok := w.addresses(message)
	if !ok {
		w.verdictCounts[VerdictMalformed]++
		return false
	}
	payload := message.Buffers[0][:message.N]
	decision := w.placer.Place(w.view, src, dst, payload)
	w.verdictCounts[decision.Verdict]++
	if decision.Verdict != VerdictForward {
		return false
	}
	if decision.Kind == tunnel.KindNew {
		w.newFlowCount++
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
	w.sending[slot].Buffers[0] = w.codec.Seal(w.buffers[i], message.N, &header)
	dest := &w.dests[slot]
	ip := decision.Agent.Addr().As4()
	copy(dest.IP, ip[:])
	dest.Port = int(decision.Agent.Port())
	return true
}

// addresses returns the source address of a packet and the service address to
// which it was sent. It reports false if either cannot be determined.
func (w *worker) addresses(message *ipv4.Message) (src, dst netip.AddrPort, ok bool) {
	udp, ok := message.Addr.(*net.UDPAddr)
	if !ok {
		return src, dst, false
	}
	src = udp.AddrPort()
	src = netip.AddrPortFrom(src.Addr().Unmap(), src.Port())
	if w.serviceAddr.IsValid() {
		return src, w.serviceAddr, true
	}
	ip, ok := destination(message.OOB[:message.NN])
	return src, netip.AddrPortFrom(ip, w.servicePort), ok
}

// pktinfoDestinationOffset is the offset of the destination address in a
// struct in_pktinfo.
const pktinfoDestinationOffset = 8

// destination returns the destination address from a packet's IP_PKTINFO
// control message, without allocating. It reports false if there is none.
func destination(oob []byte) (netip.Addr, bool) {
	for len(oob) >= unix.SizeofCmsghdr {
		header, data, rest, err := unix.ParseOneSocketControlMessage(oob)
		if err != nil {
			return netip.Addr{}, false
		}
		isPacketInfo := header.Level == unix.IPPROTO_IP && header.Type == unix.IP_PKTINFO
		if isPacketInfo && len(data) >= unix.SizeofInet4Pktinfo {
			ip := [net.IPv4len]byte(data[pktinfoDestinationOffset:])
			return netip.AddrFrom4(ip), true
		}
		oob = rest
	}
	return netip.Addr{}, false
}

// sendBatch sends the first count datagrams. It checks the deadline again,
// because the process may have been paused since the packets were placed.
func (w *worker) sendBatch(count int) {
	if w.deadline.passed(time.Now()) {
		w.verdictCounts[VerdictForward] -= uint64(count)
		w.verdictCounts[VerdictStaleView] += uint64(count)
		return
	}
	for sent := 0; sent < count; {
		n, err := w.sendConn.WriteBatch(w.sending[sent:count], 0)
		if err != nil {
			// Skip the datagram that failed and send the rest of the batch.
			w.counters.sendErrors.Add(1)
			n = max(n, 1)
		}
		sent += n
	}
}

// flushCounts adds the batch's counts to the shared counters and resets them.
func (w *worker) flushCounts() {
	for v, count := range w.verdictCounts {
		if count > 0 {
			w.counters.verdicts[v].Add(count)
			w.verdictCounts[v] = 0
		}
	}
	if w.newFlowCount > 0 {
		w.counters.newFlowPackets.Add(w.newFlowCount)
		w.newFlowCount = 0
	}
}
