// Package fabric is a stand-in for the fabric that sprays callers' packets
// over the entries. It can lose, delay, reorder and duplicate packets, cut one
// direction, silence callers' paths and notice a dead entry late.
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

const (
	maxPacket  = 2048    // bytes
	readBuffer = 4 << 20 // bytes
)

// Fabric serves one service address.
type Fabric struct {
	front  *net.UDPConn
	backIP netip.Addr

	mu      sync.Mutex
	rng     *rand.Rand
	entries []netip.AddrPort
	pending *time.Timer
	faults  Faults
	paths   map[netip.AddrPort]*path
	closed  bool

	packets atomic.Uint64
}

// Faults are what the fabric does to packets.
type Faults struct {
	// Loss is the share of packets lost in either direction, 0 to 1.
	Loss float64
	// Duplicate is the share of packets carried twice, 0 to 1.
	Duplicate float64
	// Delay is added to each packet, and up to Jitter on top of it, which
	// reorders packets.
	Delay  time.Duration
	Jitter time.Duration
	// DropFromCallers drops every packet from callers.
	DropFromCallers bool
	// DropToCallers drops every packet to callers.
	DropToCallers bool
}

// path is one caller's way through the fabric.
type path struct {
	caller netip.AddrPort
	back   *net.UDPConn
	silent atomic.Bool
	// usedAt is when the caller last sent, as Unix time in nanoseconds.
	usedAt atomic.Int64
}

// pathMemory is how long the fabric keeps track of a caller that sends
// nothing.
const pathMemory = 5 * time.Second

func (p *path) forgotten(now time.Time) bool {
	return now.UnixNano()-p.usedAt.Load() > int64(pathMemory)
}

// Listen starts a fabric for the service address. Return addresses are taken
// on backIP.
func Listen(addr netip.AddrPort, backIP netip.Addr, seed uint64) (*Fabric, error) {
	front, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	_ = front.SetReadBuffer(readBuffer)
	f := &Fabric{
		front:  front,
		backIP: backIP,
		rng:    rand.New(rand.NewPCG(seed, 0)),
		paths:  make(map[netip.AddrPort]*path),
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
	f.stopPending()
	f.entries = append([]netip.AddrPort(nil), entries...)
}

// SetEntriesAfter replaces the addresses once the lag has passed, unless
// another change comes first.
func (f *Fabric) SetEntriesAfter(lag time.Duration, entries []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopPending()
	if f.closed {
		return
	}
	f.pending = time.AfterFunc(lag, func() { f.SetEntries(entries) })
}

// stopPending forgets a change to come. The caller holds mu.
func (f *Fabric) stopPending() {
	if f.pending != nil {
		f.pending.Stop()
		f.pending = nil
	}
}

// SetFaults replaces the faults.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// SilenceKnownCallers drops all packets of the callers known so far, for good. New
// callers, or the same ones from new addresses, are served.
func (f *Fabric) SilenceKnownCallers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	silenced := 0
	for caller, p := range f.paths {
		if p.forgotten(now) {
			_ = p.back.Close()
			delete(f.paths, caller)
			continue
		}
		p.silent.Store(true)
		silenced++
	}
	return silenced
}

// SilenceCaller drops all packets of one caller, for good, and reports
// whether the caller was known.
func (f *Fabric) SilenceCaller(caller netip.AddrPort) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.paths[caller]
	if p == nil {
		return false
	}
	p.silent.Store(true)
	return true
}

// PacketCount returns the number of packets carried from callers.
func (f *Fabric) PacketCount() uint64 {
	return f.packets.Load()
}

// Close ends the fabric.
func (f *Fabric) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.stopPending()
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
		p := f.path(caller)
		if p != nil {
			p.usedAt.Store(time.Now().UnixNano())
		}
		if p == nil || p.silent.Load() || f.cutForward() {
			continue
		}
		f.carry(buf[:n], func(packet []byte) {
			if entry, found := f.pick(); found {
				_, _ = p.back.WriteToUDPAddrPort(packet, entry)
			}
		})
	}
}

func (f *Fabric) cutForward() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.DropFromCallers
}

func (f *Fabric) cutBackward() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.DropToCallers
}

// pick returns a random entry.
func (f *Fabric) pick() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.entries) == 0 {
		return netip.AddrPort{}, false
	}
	return f.entries[f.rng.IntN(len(f.entries))], true
}

// path returns the caller's path, or nil once the fabric is closed.
func (f *Fabric) path(caller netip.AddrPort) *path {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	p := f.paths[caller]
	if p != nil {
		return p
	}
	back, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.backIP, 0)))
	if err != nil {
		return nil
	}
	p = &path{caller: caller, back: back}
	f.paths[caller] = p
	go f.answer(p)
	return p
}

// answer carries packets back to the caller.
func (f *Fabric) answer(p *path) {
	buf := make([]byte, maxPacket)
	for {
		n, _, err := p.back.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || p.silent.Load() || f.cutBackward() {
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
	copies := 1
	if faults.Duplicate > 0 && f.rng.Float64() < faults.Duplicate {
		copies = 2
	}
	f.mu.Unlock()
	if lost {
		return
	}
	for range copies {
		f.carryOne(packet, faults, send)
	}
}

func (f *Fabric) carryOne(packet []byte, faults Faults, send func([]byte)) {
	delay := faults.Delay + f.jitter(faults)
	if delay == 0 {
		send(packet)
		return
	}
	held := append([]byte(nil), packet...)
	time.AfterFunc(delay, func() { send(held) })
}

func (f *Fabric) jitter(faults Faults) time.Duration {
	if faults.Jitter <= 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rng.Int64N(int64(faults.Jitter)))
}
