package controlnet

import (
	"bytes"
	"compress/flate"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericrock/turmericrock/dissemination"
	"github.com/turmericrock/turmericrock/mesh"
)

// end is one end of a link.
type end struct {
	id   dissemination.LinkID
	node *Node
	peer *end
	// sending holds what is on its way to the peer, in order.
	sending []dissemination.Message
	// stuckSince is when the front of sending was first held up.
	stuckSince time.Time
	pumping    bool
	closed     bool
}

const (
	// openTimeout is how long an open attempt into a cut takes to fail.
	openTimeout = 4 * time.Second
	// retransmit is the time between two attempts to pass a cut.
	retransmit = 200 * time.Millisecond
	// breakAfter is how long a link stands against a cut.
	breakAfter = 15 * time.Second
	// openRounds is the number of one-way delays that an open takes.
	openRounds = 6
)

func (n *Node) dial(dial dissemination.Dial) {
	target := n.net.byAddr[dial.Peer.Mesh]
	born := n.born
	closed := func(refused bool) {
		if n.born == born {
			n.handle(dissemination.LinkClosed{Link: dial.Link, Refused: refused})
		}
	}
	if target == nil || n.net.cut(n, target) || n.net.cut(target, n) || target.paused {
		n.net.after(openTimeout, func() { closed(false) })
		return
	}
	n.net.after(openRounds*n.net.latency(), func() {
		if n.born != born {
			return
		}
		if !target.alive {
			closed(true)
			return
		}
		n.connect(target, dial)
	})
}

func (n *Node) connect(target *Node, dial dissemination.Dial) {
	out := &end{id: dial.Link, node: n}
	in := &end{id: target.nextInbound, node: target, peer: out}
	out.peer = in
	target.nextInbound += 2
	n.links[out.id] = out
	target.links[in.id] = in
	hello := target.Replica.Hello()
	target.handle(dissemination.LinkOpened{Link: in.id, Hello: dial.Hello, Inbound: true})
	n.handle(dissemination.LinkOpened{Link: out.id, Hello: hello})
}

// close ends the link at both ends. The peer is told whether it was on
// purpose.
func (e *end) close(graceful bool) {
	if e.closed {
		return
	}
	e.closed = true
	delete(e.node.links, e.id)
	peer := e.peer
	e.node.net.after(e.node.net.latency(), func() {
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
	n.count(e, send.Message)
	e.sending = append(e.sending, send.Message)
	if !e.pumping {
		e.pumping = true
		n.net.after(n.net.latency(), e.pump)
	}
}

func (n *Node) count(e *end, message dissemination.Message) {
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

// wireSize returns the size of a message as the mesh sends it: large ones are
// compressed.
func (n *Network) wireSize(data []byte) int {
	if len(data) < mesh.CompressionThreshold {
		return len(data)
	}
	key := xxhash.Sum64(data)
	if size, found := n.sizes[key]; found {
		return size
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return len(data)
	}
	_, _ = w.Write(data)
	_ = w.Close()
	n.sizes[key] = out.Len()
	return out.Len()
}

// pump delivers what is on its way, or tries again while there is a cut. As
// in a TCP connection, nothing is lost or passes what was sent before it.
func (e *end) pump() {
	net := e.node.net
	e.pumping = false
	if e.closed || e.peer.closed {
		return
	}
	if net.cut(e.node, e.peer.node) || net.cut(e.peer.node, e.node) {
		if e.stuckSince.IsZero() {
			e.stuckSince = net.Now()
		}
		if net.Now().Sub(e.stuckSince) > breakAfter {
			e.close(false)
			return
		}
		e.pumping = true
		net.after(retransmit, e.pump)
		return
	}
	e.stuckSince = time.Time{}
	messages := e.sending
	e.sending = nil
	for _, message := range messages {
		e.deliver(message)
	}
}

func (e *end) deliver(message dissemination.Message) {
	if e.node.net.config.Codec {
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
