package caller

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/quicvarint"
)

const (
	// pathCheckInterval is the interval between checks of a flow's path.
	pathCheckInterval = 100 * time.Millisecond
	// maxCandidatePaths limits the number of new paths tried at a time, since
	// each uses a connection ID issued by the agent.
	maxCandidatePaths = 2
	// maxProbeTimeout is the longest limit for one path validation on a flow
	// that stays silent.
	maxProbeTimeout = 4 * time.Second
	// rttMultiplier is the number of round-trip times added to KeepAlive, to
	// give a response time to arrive on slow paths.
	rttMultiplier = 4
)

// silenceDetector measures how long nothing has been received. It counts ticks
// instead of elapsed time, so that a process that was paused does not mistake
// its own pause for silence.
type silenceDetector struct {
	packets   uint64
	silentFor time.Duration
}

// observe takes the number of packets received so far and returns how long none
// has arrived as of this tick.
func (s *silenceDetector) observe(packets uint64, tick time.Duration) time.Duration {
	if packets != s.packets {
		s.packets = packets
		s.silentFor = 0
		return 0
	}
	s.silentFor += tick
	return s.silentFor
}

// silenceLimit returns how long a path with the given round-trip time may be
// silent.
func (c *Config) silenceLimit(rtt time.Duration) time.Duration {
	return max(c.SilenceTimeout, c.KeepAlive+rttMultiplier*rtt)
}

// monitorPath migrates the flow to a new local address whenever its path goes
// silent, until the flow ends. It calls replace if the first new path does not
// work.
func (f *flow) monitorPath(replace func(*flow)) {
	ticker := time.NewTicker(pathCheckInterval)
	defer ticker.Stop()
	var detector silenceDetector
	for {
		select {
		case <-f.quic.Context().Done():
			return
		case <-ticker.C:
		}
		stats := f.quic.ConnectionStats()
		limit := f.config.silenceLimit(stats.SmoothedRTT)
		silentFor := detector.observe(stats.PacketsReceived, pathCheckInterval)
		if silentFor == resetProbeDelay(f.config) {
			f.sendResetProbe()
		}
		if silentFor < limit {
			continue
		}
		f.silent.Store(true)
		f.migrate(replace)
		f.silent.Store(false)
		detector.silentFor = 0
	}
}

// resetProbeDelay returns the duration of silence after which a keep-alive
// would have been acknowledged on most paths, in whole ticks.
func resetProbeDelay(c *Config) time.Duration {
	return (c.KeepAlive + 2*pathCheckInterval).Truncate(pathCheckInterval)
}

// sendResetProbe sends a packet that a host without state for the flow answers
// with a stateless reset. Keep-alive packets are too short to trigger one (RFC
// 9000, section 10.3). The data goes on a stream of a reserved type, which
// receivers ignore (RFC 9114, section 6.2.3).
func (f *flow) sendResetProbe() {
	stream, err := f.quic.OpenUniStream()
	if err != nil {
		return
	}
	payload := quicvarint.Append(nil, reservedStreamType)
	_, _ = stream.Write(append(payload, make([]byte, resetProbeSize)...))
	_ = stream.Close()
}

const (
	reservedStreamType = 0x21
	resetProbeSize     = 48 // bytes
)

// candidatePath is a new path that is being validated.
type candidatePath struct {
	endpoint *endpoint
	path     *quic.Path
}

// migrate validates new paths until one of them works, a packet arrives on the
// old path, or the flow ends.
func (f *flow) migrate(replace func(*flow)) {
	packetsBefore := f.quic.ConnectionStats().PacketsReceived
	var candidates []candidatePath
	timeout := f.config.ProbeTimeout
	for round := 0; f.isOpen(); round++ {
		if len(candidates) < maxCandidatePaths {
			candidates = f.addCandidate(candidates)
		}
		if f.tryCandidate(candidates, round, timeout) {
			return
		}
		if f.quic.ConnectionStats().PacketsReceived != packetsBefore {
			f.closeCandidates(candidates)
			return
		}
		if round == 0 {
			go replace(f)
		}
		timeout = min(2*timeout, maxProbeTimeout)
	}
}

// tryCandidate validates one of the candidates, switches the flow to it and
// reports whether it did. Without candidates, it waits for timeout.
func (f *flow) tryCandidate(candidates []candidatePath, round int, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(f.quic.Context(), timeout)
	defer cancel()
	if len(candidates) == 0 {
		<-ctx.Done()
		return false
	}
	chosen := candidates[round%len(candidates)]
	if chosen.path.Probe(ctx) != nil || !f.switchPath(chosen) {
		return false
	}
	f.closeOtherPorts(chosen.endpoint)
	f.onMigrated()
	return true
}

// switchPath switches the connection to the path and waits until a packet is
// sent there, which shows that the QUIC library has completed the switch. It
// sends reset probes so that there is a packet to send.
func (f *flow) switchPath(chosen candidatePath) bool {
	f.pathMu.Lock()
	defer f.pathMu.Unlock()
	sent := chosen.endpoint.socket.notifyOnSend()
	if chosen.path.Switch() != nil {
		return false
	}
	for range maxSwitchSends {
		f.sendResetProbe()
		select {
		case <-sent:
			return true
		case <-f.quic.Context().Done():
			return false
		case <-time.After(switchSendInterval):
		}
	}
	return true
}

const (
	// maxSwitchSends and switchSendInterval limit the wait for a path switch.
	maxSwitchSends     = 10
	switchSendInterval = 25 * time.Millisecond
)

// addCandidate adds a path from a new local address. It returns candidates
// unchanged if that fails.
func (f *flow) addCandidate(candidates []candidatePath) []candidatePath {
	e, err := f.config.newEndpoint()
	if err != nil {
		return candidates
	}
	path, err := f.quic.AddPath(e.transport)
	if err != nil {
		e.close()
		return candidates
	}
	f.addEndpoint(e)
	return append(candidates, candidatePath{endpoint: e, path: path})
}

func (f *flow) closeCandidates(candidates []candidatePath) {
	for _, c := range candidates {
		_ = c.path.Close()
		c.endpoint.socket.closePort()
	}
}
