package caller

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/quicvarint"
)

const (
	// pathCheckInterval is the time between two looks at a flow.
	pathCheckInterval = 100 * time.Millisecond
	// maxCandidatePaths bounds the new paths that are tried at a time, since each
	// takes a connection ID that the agent has issued.
	maxCandidatePaths = 2
	// maxProbeTimeout bounds a check of a path on a flow that stays silent.
	maxProbeTimeout = 4 * time.Second
	// rttMultiplier is added to KeepAlive as room for the answer on slow paths.
	rttMultiplier = 4
)

// silenceDetector measures how long nothing has arrived. It counts ticks and not
// time, so that a process that was paused does not mistake its own pause for
// silenceDetector.
type silenceDetector struct {
	packets   uint64
	silentFor time.Duration
}

// observe returns how long nothing has arrived by this tick.
func (s *silenceDetector) observe(packets uint64, tick time.Duration) time.Duration {
	if packets != s.packets {
		s.packets = packets
		s.silentFor = 0
		return 0
	}
	s.silentFor += tick
	return s.silentFor
}

// silenceLimit returns how long a path with the round-trip time may be silent.
func (c *Config) silenceLimit(rtt time.Duration) time.Duration {
	return max(c.SilenceTimeout, c.KeepAlive+rttMultiplier*rtt)
}

// monitorPath moves the flow to a new local address whenever its path goes silent,
// until the flow ends. It calls replace when that does not help at once.
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

// resetProbeDelay returns the silence after which a keep-alive must have been
// answered on most paths, in whole ticks.
func resetProbeDelay(c *Config) time.Duration {
	return (c.KeepAlive + 2*pathCheckInterval).Truncate(pathCheckInterval)
}

// sendResetProbe sends a packet that a host which does not know the flow answers with
// a stateless reset. Keep-alives are too short for that (RFC 9000, section
// 10.3). The stream has a reserved type, which receivers ignore (RFC 9114,
// section 6.2.3).
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

// candidatePath is a new path that is being checked.
type candidatePath struct {
	endpoint *endpoint
	path     *quic.Path
}

// migrate checks new paths until one answers, the old one does, or the flow
// ends.
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

// tryCandidate checks one of the candidates and moves the flow there. Where there is
// none, it waits for the time of a check.
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

// switchPath moves the connection to the path and waits until it sends there,
// which tells that the library has changed its state.
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
	// maxSwitchSends and switchWait bound the wait for a change of path.
	maxSwitchSends     = 10
	switchSendInterval = 25 * time.Millisecond
)

// addCandidate adds a path from a new local address.
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
