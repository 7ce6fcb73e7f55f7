package controlnet

import (
	"bytes"
	"compress/flate"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/mesh"
)

// linkEnd is one end of a link between two nodes.
type linkEnd struct {
	id   dissemination.LinkID
	node *Node
	peer *linkEnd
	// inFlight holds the messages sent but not yet delivered to the peer, in
	// order.
	inFlight []dissemination.Message
	// blockedSince is the time at which a partition first blocked delivery, or
	// zero.
	blockedSince      time.Time
	deliveryScheduled bool
	closed            bool
}

const (
	// openTimeout is the time after which an attempt to open a link fails when
	// the target is unreachable.
	openTimeout = 4 * time.Second
	// retransmitInterval is the time between two delivery attempts during a
	// partition.
	retransmitInterval = 200 * time.Millisecond
	// linkTimeout is how long a link survives a partition before it closes.
	linkTimeout = 15 * time.Second
	// openDelays is the number of one-way delays that opening a link takes.
	openDelays = 6
)

func (n *Node) dial(dial dissemination.Dial) {
	target := n.net.byAddr[dial.Peer.Mesh]
	incarnation := n.incarnation
	reportClosed := func(refused bool) {
		if n.incarnation == incarnation {
			n.handle(dissemination.LinkClosed{Link: dial.Link, Refused: refused})
		}
	}
	if target == nil || n.net.isPartitioned(n, target) || n.net.isPartitioned(target, n) || target.paused {
		n.net.afterFunc(openTimeout, func() { reportClosed(false) })
		return
	}
	n.net.afterFunc(openDelays*n.net.latency(), func() {
		if n.incarnation != incarnation {
			return
		}
		if !target.alive {
			reportClosed(true)
			return
		}
		n.connect(target, dial)
	})
}

func (n *Node) connect(target *Node, dial dissemination.Dial) {
	outbound := &linkEnd{id: dial.Link, node: n}
	inbound := &linkEnd{id: target.nextInboundLink, node: target, peer: outbound}
	outbound.peer = inbound
	target.nextInboundLink += 2
	n.links[outbound.id] = outbound
	target.links[inbound.id] = inbound
	hello := target.Replica.Hello()
	target.handle(dissemination.LinkOpened{Link: inbound.id, Hello: dial.Hello, Inbound: true})
	n.handle(dissemination.LinkOpened{Link: outbound.id, Hello: hello})
}

// close closes the link at both ends. graceful tells the peer whether the
// close was intended.
func (e *linkEnd) close(graceful bool) {
	if e.closed {
		return
	}
	e.closed = true
	delete(e.node.links, e.id)
	peer := e.peer
	e.node.net.afterFunc(e.node.net.latency(), func() {
		if peer.closed {
			return
		}
		peer.closed = true
		delete(peer.node.links, peer.id)
		peer.node.handle(dissemination.LinkClosed{Link: peer.id, Graceful: graceful})
	})
	if e.node.alive {
		e.node.handle(dissemination.LinkClosed{Link: e.id})
	}
}

func (n *Node) send(send dissemination.Send) {
	e := n.links[send.Link]
	if e == nil || e.closed {
		return
	}
	n.countTraffic(e, send.Message)
	e.inFlight = append(e.inFlight, send.Message)
	if !e.deliveryScheduled {
		e.deliveryScheduled = true
		n.net.afterFunc(n.net.latency(), e.deliverPending)
	}
}

func (n *Node) countTraffic(e *linkEnd, message dissemination.Message) {
	data, err := dissemination.Encode(message)
	if err != nil {
		return
	}
	size := n.net.wireSize(data)
	n.Traffic.MessagesOut++
	n.Traffic.BytesOut += size
	e.peer.node.Traffic.MessagesIn++
	e.peer.node.Traffic.BytesIn += size
}

// wireSize returns the number of bytes that the mesh sends for a message; the
// mesh compresses messages from mesh.CompressionThreshold up.
func (n *Network) wireSize(data []byte) int {
	if len(data) < mesh.CompressionThreshold {
		return len(data)
	}
	key := xxhash.Sum64(data)
	if size, found := n.compressedSizes[key]; found {
		return size
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return len(data)
	}
	_, _ = w.Write(data)
	_ = w.Close()
	n.compressedSizes[key] = out.Len()
	return out.Len()
}

// deliverPending delivers the messages in flight, or schedules another attempt
// during a partition. As on a TCP connection, no message is lost or reordered.
func (e *linkEnd) deliverPending() {
	net := e.node.net
	e.deliveryScheduled = false
	if e.closed || e.peer.closed {
		return
	}
	if net.isPartitioned(e.node, e.peer.node) || net.isPartitioned(e.peer.node, e.node) {
		if e.blockedSince.IsZero() {
			e.blockedSince = net.Now()
		}
		if net.Now().Sub(e.blockedSince) > linkTimeout {
			e.close(false)
			return
		}
		e.deliveryScheduled = true
		net.afterFunc(retransmitInterval, e.deliverPending)
		return
	}
	e.blockedSince = time.Time{}
	messages := e.inFlight
	e.inFlight = nil
	for _, message := range messages {
		e.deliver(message)
	}
}

func (e *linkEnd) deliver(message dissemination.Message) {
	if e.node.net.config.EncodeMessages {
		data, err := dissemination.Encode(message)
		if err != nil {
			return
		}
		if message, err = dissemination.Decode(data); err != nil {
			e.close(false)
			return
		}
	}
	e.peer.node.handle(dissemination.Received{Link: e.peer.id, Message: message})
}
