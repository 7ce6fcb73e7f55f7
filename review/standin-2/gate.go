package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// gate is the path of one machine to the store: a proxy that can hold up all bytes, as a
// partition does. What it holds up passes when the path is open again, unless an end has
// closed its connection meanwhile.
type gate struct {
	listener net.Listener
	to       string

	mu   sync.Mutex
	open chan struct{} // Closed while the path is open.
	cut  bool
	// watchedAt is when the machine last watched the store.
	watchedAt time.Time
}

func newGate(at, to string) (*gate, error) {
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, err
	}
	g := &gate{listener: l, to: to, open: make(chan struct{})}
	close(g.open)
	go g.accept()
	return g, nil
}

func (g *gate) accept() {
	for {
		client, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.serve(client)
	}
}

func (g *gate) serve(client net.Conn) {
	<-g.opened()
	server, err := net.Dial("tcp4", g.to)
	if err != nil {
		_ = client.Close()
		return
	}
	go g.copy(client, server, nil)
	g.copy(server, client, g.observe)
}

// copy passes bytes on while the path is open, and closes both connections at the end.
func (g *gate) copy(to, from net.Conn, observe func([]byte)) {
	defer func() { _, _ = to.Close(), from.Close() }()
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if observe != nil {
			observe(b[:n])
		}
		<-g.opened()
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func (g *gate) observe(b []byte) {
	if bytes.Contains(b, []byte("/api/kv-watch")) {
		g.mu.Lock()
		g.watchedAt = time.Now()
		g.mu.Unlock()
	}
}

// watches reports whether the machine has watched the store within the last 2 s.
func (g *gate) watches() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.watchedAt) < 2*time.Second
}

func (g *gate) opened() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// setCut cuts the path or opens it again.
func (g *gate) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cut == g.cut {
		return
	}
	g.cut = cut
	if cut {
		g.open = make(chan struct{})
	} else {
		close(g.open)
	}
}
