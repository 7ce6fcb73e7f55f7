package caller

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/quicvarint"
)

const (
	// watchInterval is the time between two looks at a flow.
	watchInterval = 100 * time.Millisecond
	// maxCandidates bounds the new paths that are tried at a time, since each
	// takes a connection ID that the agent has issued.
	maxCandidates = 2
	// maxProbeTimeout bounds a check of a path on a flow that stays silent.
	maxProbeTimeout = 4 * time.Second
	// roundTrips is added to KeepAlive as room for the answer on slow paths.
	roundTrips = 4
)

// silence measures how long nothing has arrived. It counts ticks and not
// time, so that a process that was paused does not mistake its own pause for
// silence.
type silence struct {
	packets uint64
	quiet   time.Duration
}

// observe returns how long nothing has arrived by this tick.
func (s *silence) observe(packets uint64, tick time.Duration) time.Duration {
	if packets != s.packets {
		s.packets = packets
		s.quiet = 0
		return 0
	}
	s.quiet += tick
	return s.quiet
}

// limit returns how long a path with the round-trip time may be silent.
func (c *Config) limit(rtt time.Duration) time.Duration {
	return max(c.SilentAfter, c.KeepAlive+roundTrips*rtt)
}

// watch moves the flow to a new local address whenever its path goes silent,
// until the flow ends. It calls replace when that does not help at once.
func (f *flow) watch(replace func(*flow)) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var s silence
	for {
		select {
		case <-f.quic.Context().Done():
			return
		case <-ticker.C:
		}
		stats := f.quic.ConnectionStats()
		limit := f.config.limit(stats.SmoothedRTT)
		quiet := s.observe(stats.PacketsReceived, watchInterval)
		if quiet == nudgeAfter(f.config) {
			f.nudge()
		}
		if quiet < limit {
			continue
		}
		f.silent.Store(true)
		f.revive(replace)
		f.silent.Store(false)
		s.quiet = 0
	}
}

// nudgeAfter returns the silence after which a keep-alive must have been
// answered on most paths, in whole ticks.
func nudgeAfter(c *Config) time.Duration {
	return (c.KeepAlive + 2*watchInterval).Truncate(watchInterval)
}

// nudge sends a packet that a host which does not know the flow answers with
// a stateless reset. Keep-alives are too short for that (RFC 9000, section
// 10.3). The stream has a reserved type, which receivers ignore (RFC 9114,
// section 6.2.3).
func (f *flow) nudge() {
	stream, err := f.quic.OpenUniStream()
	if err != nil {
		return
	}
	payload := quicvarint.Append(nil, reservedStreamType)
	_, _ = stream.Write(append(payload, make([]byte, nudgeSize)...))
	_ = stream.Close()
}

const (
	reservedStreamType = 0x21
	nudgeSize          = 48 // bytes
)

// candidate is a new path that is being checked.
type candidate struct {
	link *link
	path *quic.Path
}

// revive checks new paths until one answers, the old one does, or the flow
// ends.
func (f *flow) revive(replace func(*flow)) {
	before := f.quic.ConnectionStats().PacketsReceived
	var candidates []candidate
	timeout := f.config.ProbeTimeout
	for round := 0; f.usable(); round++ {
		if len(candidates) < maxCandidates {
			candidates = f.propose(candidates)
		}
		if f.move(candidates, round, timeout) {
			return
		}
		if f.quic.ConnectionStats().PacketsReceived != before {
			f.abandon(candidates)
			return
		}
		if round == 0 {
			go replace(f)
		}
		timeout = min(2*timeout, maxProbeTimeout)
	}
}

// move checks one of the candidates and moves the flow there. Where there is
// none, it waits for the time of a check.
func (f *flow) move(candidates []candidate, round int, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(f.quic.Context(), timeout)
	defer cancel()
	if len(candidates) == 0 {
		<-ctx.Done()
		return false
	}
	chosen := candidates[round%len(candidates)]
	if chosen.path.Probe(ctx) != nil || !f.switchTo(chosen) {
		return false
	}
	f.park(chosen.link)
	f.migrated()
	return true
}

// switchTo moves the connection to the path and waits until it sends there,
// which tells that the library has changed its state.
func (f *flow) switchTo(chosen candidate) bool {
	f.heads.Lock()
	defer f.heads.Unlock()
	sent := chosen.link.socket.awaitSent()
	if chosen.path.Switch() != nil {
		return false
	}
	for range switchNudges {
		f.nudge()
		select {
		case <-sent:
			return true
		case <-f.quic.Context().Done():
			return false
		case <-time.After(switchWait):
		}
	}
	return true
}

const (
	// switchNudges and switchWait bound the wait for a change of path.
	switchNudges = 10
	switchWait   = 25 * time.Millisecond
)

// propose adds a path from a new local address.
func (f *flow) propose(candidates []candidate) []candidate {
	l, err := f.config.newLink()
	if err != nil {
		return candidates
	}
	path, err := f.quic.AddPath(l.transport)
	if err != nil {
		l.close()
		return candidates
	}
	f.add(l)
	return append(candidates, candidate{link: l, path: path})
}

func (f *flow) abandon(candidates []candidate) {
	for _, c := range candidates {
		_ = c.path.Close()
		c.link.socket.park()
	}
}
