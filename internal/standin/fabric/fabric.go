// Package fabric is a stand-in for the fabric that sprays callers' packets
// over the entries. It can lose, delay and reorder packets and silence one
// caller's path.
//
// It listens on the service's address. Each caller gets a return address, a
// socket of its own from which its packets go to entries and to which agents
// send their answers.
package fabric

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const maxPacket = 2048 // bytes

// Fabric serves one service address.
type Fabric struct {
	front *net.UDPConn

	mu      sync.Mutex
	rng     *rand.Rand
	entries []netip.AddrPort
	faults  Faults
	paths   map[netip.AddrPort]*path
	closed  bool

	packets atomic.Uint64
}

// Faults are what the fabric does to packets, in either direction.
type Faults struct {
	// Loss is the share of packets lost, 0 to 1.
	Loss float64
	// Delay is added to each packet, and up to Jitter on top of it, which
	// reorders packets.
	Delay  time.Duration
	Jitter time.Duration
}

// path is one caller's way through the fabric.
type path struct {
	caller netip.AddrPort
	back   *net.UDPConn
	silent atomic.Bool
}

// Listen starts a fabric for the service address.
func Listen(addr netip.AddrPort, seed uint64) (*Fabric, error) {
	front, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	_ = front.SetReadBuffer(4 << 20)
	f := &Fabric{
		front: front,
		rng:   rand.New(rand.NewPCG(seed, 0)),
		paths: make(map[netip.AddrPort]*path),
	}
	go f.run()
	return f, nil
}

// Addr returns the service address.
func (f *Fabric) Addr() netip.AddrPort {
	return f.front.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetEntries replaces the addresses over which packets are sprayed.
func (f *Fabric) SetEntries(entries []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append([]netip.AddrPort(nil), entries...)
}

// SetFaults replaces the faults.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Silence drops all packets of the callers known so far, for good. New
// callers, or the same ones from new addresses, are served.
func (f *Fabric) Silence() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.paths {
		p.silent.Store(true)
	}
	return len(f.paths)
}

// Packets returns the number of packets carried from callers.
func (f *Fabric) Packets() uint64 {
	return f.packets.Load()
}

// Close ends the fabric.
func (f *Fabric) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	_ = f.front.Close()
	for _, p := range f.paths {
		_ = p.back.Close()
	}
}

func (f *Fabric) run() {
	buf := make([]byte, maxPacket)
	for {
		n, caller, err := f.front.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		f.packets.Add(1)
		p, entry := f.route(caller)
		if p == nil || p.silent.Load() {
			continue
		}
		f.carry(buf[:n], func(packet []byte) {
			_, _ = p.back.WriteToUDPAddrPort(packet, entry)
		})
	}
}

// route returns the caller's path and a random entry.
func (f *Fabric) route(caller netip.AddrPort) (*path, netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || len(f.entries) == 0 {
		return nil, netip.AddrPort{}
	}
	entry := f.entries[f.rng.IntN(len(f.entries))]
	p := f.paths[caller]
	if p != nil {
		return p, entry
	}
	back, err := net.ListenUDP("udp4", &net.UDPAddr{IP: f.front.LocalAddr().(*net.UDPAddr).IP})
	if err != nil {
		return nil, netip.AddrPort{}
	}
	p = &path{caller: caller, back: back}
	f.paths[caller] = p
	go f.answer(p)
	return p, entry
}

// answer carries packets back to the caller.
func (f *Fabric) answer(p *path) {
	buf := make([]byte, maxPacket)
	for {
		n, _, err := p.back.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || p.silent.Load() {
			continue
		}
		f.carry(buf[:n], func(packet []byte) {
			_, _ = f.front.WriteToUDPAddrPort(packet, p.caller)
		})
	}
}

// carry sends the packet, subject to the faults.
func (f *Fabric) carry(packet []byte, send func([]byte)) {
	f.mu.Lock()
	faults := f.faults
	lost := faults.Loss > 0 && f.rng.Float64() < faults.Loss
	delay := faults.Delay
	if faults.Jitter > 0 {
		delay += time.Duration(f.rng.Int64N(int64(faults.Jitter)))
	}
	f.mu.Unlock()
	switch {
	case lost:
	case delay == 0:
		send(packet)
	default:
		held := append([]byte(nil), packet...)
		time.AfterFunc(delay, func() { send(held) })
	}
}
