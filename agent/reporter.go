package agent

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/turmericrock/turmericrock/keyring"
	"github.com/turmericrock/turmericrock/tunnel"
)

const (
	// maxEntries bounds the number of known entries.
	maxEntries = 4096
	// entryContactTTL is how long after its last packet of a new flow, or its last
	// probe, an entry receives reports of state changes.
	entryContactTTL = time.Minute
)

// reporter sends load reports to entries: in response to probes and to packets of
// new flows, at most one to each entry in an interval, and to all entries with
// recent contact when the host's state changes. It is safe for concurrent use.
type reporter struct {
	conn        *net.UDPConn
	self        netip.AddrPort
	currentView *atomic.Pointer[View]
	admitter    *admitter
	incarnation uint16
	interval    time.Duration

	mu      sync.Mutex
	codec   *tunnel.Codec
	keys    *keyring.Keys
	entries map[netip.AddrPort]entryTimes
	// sequence is the sequence number of the last report.
	sequence uint64
}

type entryTimes struct {
	lastContact time.Time
	lastReport  time.Time
}

// recordContact records a probe or a packet of a new flow from the entry, and
// sends it a report if the last one is at least an interval old.
func (r *reporter) recordContact(now time.Time, entry netip.AddrPort) {
	if !entry.IsValid() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	times, found := r.entries[entry]
	if !found && len(r.entries) >= maxEntries {
		clear(r.entries)
	}
	times.lastContact = now
	if now.Sub(times.lastReport) >= r.interval {
		times.lastReport = now
		r.send(entry)
	}
	r.entries[entry] = times
}

// announce sends a report to all entries with contact within entryContactTTL and
// removes the others.
func (r *reporter) announce(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for entry, times := range r.entries {
		if now.Sub(times.lastContact) > entryContactTTL {
			delete(r.entries, entry)
			continue
		}
		r.entries[entry] = entryTimes{lastContact: times.lastContact, lastReport: now}
		r.send(entry)
	}
}

func (r *reporter) send(entry netip.AddrPort) {
	view := r.currentView.Load()
	if view == nil || !r.refreshKeys(view.Keys) {
		return
	}
	r.sequence++
	report := r.admitter.report(r.incarnation)
	report.Sequence = r.sequence
	payload, err := tunnel.EncodeReport(report)
	if err != nil {
		return
	}
	buf := make([]byte, tunnel.HeaderSize+len(payload)+tunnel.TagSize)
	copy(buf[tunnel.HeaderSize:], payload)
	header := &tunnel.Header{
		Kind:     tunnel.KindReport,
		Service:  view.ServiceTag,
		Revision: report.Revision,
		Caller:   entry,
		Second:   r.self,
	}
	_, _ = r.conn.WriteToUDPAddrPort(r.codec.Seal(buf, len(payload), header), entry)
}

func (r *reporter) refreshKeys(keys *keyring.Keys) bool {
	if keys == r.keys {
		return true
	}
	codec, err := tunnel.NewCodec(keys)
	if err != nil {
		return false
	}
	r.codec, r.keys = codec, keys
	return true
}
