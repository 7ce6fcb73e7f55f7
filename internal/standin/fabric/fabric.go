// Package fabric simulates the network fabric that sprays callers' packets
// over the entries. It can drop, delay, reorder and duplicate packets, drop
// one direction only, drop all packets of known callers, and keep sending to a
// dead entry for some time.
//
// A Fabric listens on the address of a service. For each caller it opens a
// socket with its own return address. The caller's packets are sent to entries
// from that socket, and agents send their responses to it.
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

// Fabric forwards the packets of one service address.
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

// Faults configures how the fabric disturbs packets.
type Faults struct {
	// Loss is the probability that a packet is dropped, in either direction, 0
	// to 1.
	Loss float64
	// Duplicate is the probability that a packet is sent twice, in either
	// direction, 0 to 1.
	Duplicate float64
	// Delay is added to each packet, plus a random time of less than Jitter,
	// which reorders packets.
	Delay  time.Duration
	Jitter time.Duration
	// DropFromCallers drops every packet from callers to entries.
	DropFromCallers bool
	// DropToCallers drops every packet from agents to callers.
	DropToCallers bool
}

// callerPath is the state that the fabric keeps for one caller.
type callerPath struct {
	caller     netip.AddrPort
	returnConn *net.UDPConn
	isSilenced atomic.Bool
	// lastSentAt is when the caller last sent a packet, in Unix nanoseconds.
	lastSentAt atomic.Int64
}

// pathIdleTimeout is the idle time after which SilenceKnownCallers discards
// the state of a caller.
const pathIdleTimeout = 5 * time.Second

func (p *callerPath) isIdle(now time.Time) bool {
	return now.UnixNano()-p.lastSentAt.Load() > int64(pathIdleTimeout)
}

// Listen starts a fabric on the service address. The sockets for callers are
// opened on returnIP.
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

// SetEntries replaces the addresses over which packets are sprayed, at once.
// It cancels a delayed change.
func (f *Fabric) SetEntries(entries []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelPendingUpdate()
	f.entries = append([]netip.AddrPort(nil), entries...)
}

// SetEntriesAfter replaces the addresses after the delay, unless another
// change is made before.
func (f *Fabric) SetEntriesAfter(delay time.Duration, entries []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelPendingUpdate()
	if f.closed {
		return
	}
	f.pendingUpdate = time.AfterFunc(delay, func() { f.SetEntries(entries) })
}

// cancelPendingUpdate cancels a delayed change of the entries. The caller
// holds mu.
func (f *Fabric) cancelPendingUpdate() {
	if f.pendingUpdate != nil {
		f.pendingUpdate.Stop()
		f.pendingUpdate = nil
	}
}

// SetFaults replaces the current faults.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// SilenceKnownCallers permanently drops all packets of the callers known so
// far and returns their number. New callers are not affected, nor are known
// callers that send from new addresses.
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
		p.isSilenced.Store(true)
		silenced++
	}
	return silenced
}

// SilenceCaller permanently drops all packets of one caller. It reports
// whether the caller was known.
func (f *Fabric) SilenceCaller(caller netip.AddrPort) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.paths[caller]
	if p == nil {
		return false
	}
	p.isSilenced.Store(true)
	return true
}

// PacketCount returns the number of packets received from callers.
func (f *Fabric) PacketCount() uint64 {
	return f.packetCount.Load()
}

// Close closes all sockets of the fabric.
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
		if p == nil || p.isSilenced.Load() || f.dropsFromCallers() {
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

// randomEntry returns a random entry, or false if there are none.
func (f *Fabric) randomEntry() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.entries) == 0 {
		return netip.AddrPort{}, false
	}
	return f.entries[f.rng.IntN(len(f.entries))], true
}

// pathOf returns the path of the caller, which it creates if needed. It
// returns nil if the fabric is closed or no socket can be opened.
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

// forwardToCaller forwards packets from agents to the caller until the fabric
// is closed.
func (f *Fabric) forwardToCaller(p *callerPath) {
	buf := make([]byte, maxPacket)
	for {
		n, _, err := p.returnConn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || p.isSilenced.Load() || f.dropsToCallers() {
			continue
		}
		f.transmit(buf[:n], func(packet []byte) {
			_, _ = f.serviceConn.WriteToUDPAddrPort(packet, p.caller)
		})
	}
}

// transmit sends the packet, subject to the current faults.
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
