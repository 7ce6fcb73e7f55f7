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
	serviceConn *net.UDPConn
	returnIP    netip.Addr

	mu            sync.Mutex
	rng           *rand.Rand
	entries       []netip.AddrPort
	pendingUpdate *time.Timer
	faults        Faults
	paths         map[netip.AddrPort]*callerPath
	closed        bool

	packetCount atomic.Uint64
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

// callerPath is one caller's way through the fabric.
type callerPath struct {
	caller     netip.AddrPort
	returnConn *net.UDPConn
	silenced   atomic.Bool
	// lastSentAt is when the caller last sent, as Unix time in nanoseconds.
	lastSentAt atomic.Int64
}

// pathIdleTimeout is how long the fabric keeps track of a caller that sends
// nothing.
const pathIdleTimeout = 5 * time.Second

func (p *callerPath) isIdle(now time.Time) bool {
	return now.UnixNano()-p.lastSentAt.Load() > int64(pathIdleTimeout)
}

// Listen starts a fabric for the service address. Return addresses are taken
// on backIP.
func Listen(addr netip.AddrPort, returnIP netip.Addr, seed uint64) (*Fabric, error) {
	serviceConn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	_ = serviceConn.SetReadBuffer(readBuffer)
	f := &Fabric{
		serviceConn: serviceConn,
		returnIP:    returnIP,
		rng:         rand.New(rand.NewPCG(seed, 0)),
		paths:       make(map[netip.AddrPort]*callerPath),
	}
	go f.forwardToEntries()
	return f, nil
}

// Addr returns the service address.
func (f *Fabric) Addr() netip.AddrPort {
	return f.serviceConn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetEntries replaces the addresses over which packets are sprayed.
func (f *Fabric) SetEntries(entries []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelPendingUpdate()
	f.entries = append([]netip.AddrPort(nil), entries...)
}

// SetEntriesAfter replaces the addresses once the lag has passed, unless
// another change comes first.
func (f *Fabric) SetEntriesAfter(delay time.Duration, entries []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelPendingUpdate()
	if f.closed {
		return
	}
	f.pendingUpdate = time.AfterFunc(delay, func() { f.SetEntries(entries) })
}

// cancelPendingUpdate forgets a change to come. The caller holds mu.
func (f *Fabric) cancelPendingUpdate() {
	if f.pendingUpdate != nil {
		f.pendingUpdate.Stop()
		f.pendingUpdate = nil
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
		if p.isIdle(now) {
			_ = p.returnConn.Close()
			delete(f.paths, caller)
			continue
		}
		p.silenced.Store(true)
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
	p.silenced.Store(true)
	return true
}

// PacketCount returns the number of packets carried from callers.
func (f *Fabric) PacketCount() uint64 {
	return f.packetCount.Load()
}

// Close ends the fabric.
func (f *Fabric) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.cancelPendingUpdate()
	_ = f.serviceConn.Close()
	for _, p := range f.paths {
		_ = p.returnConn.Close()
	}
}

func (f *Fabric) forwardToEntries() {
	buf := make([]byte, maxPacket)
	for {
		n, caller, err := f.serviceConn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		f.packetCount.Add(1)
		p := f.pathOf(caller)
		if p != nil {
			p.lastSentAt.Store(time.Now().UnixNano())
		}
		if p == nil || p.silenced.Load() || f.dropsFromCallers() {
			continue
		}
		f.transmit(buf[:n], func(packet []byte) {
			if entry, found := f.randomEntry(); found {
				_, _ = p.returnConn.WriteToUDPAddrPort(packet, entry)
			}
		})
	}
}

func (f *Fabric) dropsFromCallers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.DropFromCallers
}

func (f *Fabric) dropsToCallers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.DropToCallers
}

// randomEntry returns a random entry.
func (f *Fabric) randomEntry() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.entries) == 0 {
		return netip.AddrPort{}, false
	}
	return f.entries[f.rng.IntN(len(f.entries))], true
}

// pathOf returns the caller's pathOf, or nil once the fabric is closed.
func (f *Fabric) pathOf(caller netip.AddrPort) *callerPath {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil
	}
	p := f.paths[caller]
	if p != nil {
		return p
	}
	returnConn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.returnIP, 0)))
	if err != nil {
		return nil
	}
	p = &callerPath{caller: caller, returnConn: returnConn}
	f.paths[caller] = p
	go f.forwardToCaller(p)
	return p
}

// forwardToCaller carries packets back to the caller.
func (f *Fabric) forwardToCaller(p *callerPath) {
	buf := make([]byte, maxPacket)
	for {
		n, _, err := p.returnConn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || p.silenced.Load() || f.dropsToCallers() {
			continue
		}
		f.transmit(buf[:n], func(packet []byte) {
			_, _ = f.serviceConn.WriteToUDPAddrPort(packet, p.caller)
		})
	}
}

// transmit sends the packet, subject to the faults.
func (f *Fabric) transmit(packet []byte, send func([]byte)) {
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
		f.transmitCopy(packet, faults, send)
	}
}

func (f *Fabric) transmitCopy(packet []byte, faults Faults, send func([]byte)) {
	delay := faults.Delay + f.jitter(faults)
	if delay == 0 {
		send(packet)
		return
	}
	delayed := append([]byte(nil), packet...)
	time.AfterFunc(delay, func() { send(delayed) })
}

func (f *Fabric) jitter(faults Faults) time.Duration {
	if faults.Jitter <= 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rng.Int64N(int64(faults.Jitter)))
}
