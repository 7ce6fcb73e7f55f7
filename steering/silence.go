package steering

import "time"

const (
	// SilenceCheckInterval is the time between two pings of a suspected agent.
	SilenceCheckInterval = 100 * time.Millisecond
	// silentPings is the number of consecutive unanswered pings after which a
	// suspected agent counts as silent.
	silentPings = 3
	// silentPingInterval is the time between two pings of an agent that counts as
	// silent.
	silentPingInterval = time.Second
	// silentRetention is how long an agent counts as silent without being
	// suspected anew.
	silentRetention = 10 * time.Second
	// restartGrace is how long an agent that has announced its stop is not
	// suspected. Its host runs on, and so do the host's flows.
	restartGrace = 5 * time.Second
)

// agentSilence is what is known of an agent that may be gone.
type agentSilence struct {
	// unanswered is the number of pings since the last frame.
	unanswered int
	lastPingAt time.Duration
	silent     bool
	silentAt   time.Duration
}

// SilenceDetector finds agents that no longer answer, from the retransmissions of
// the flows that they own. It answers the loss of machines under load: until the
// description of a lost host lapses, seconds later, each request on one of its flows
// would run into its time limit. An agent is suspected when a request is sent again,
// and counts as silent once it leaves several pings unanswered. It is not safe for
// concurrent use.
type SilenceDetector struct {
	agents map[[4]byte]*agentSilence
	// restartingUntil is when agents that have announced a restart may be suspected
	// again.
	restartingUntil map[[4]byte]time.Duration
	checkedAt       time.Duration
}

// NewSilenceDetector returns a detector that suspects no agent.
func NewSilenceDetector() *SilenceDetector {
	return &SilenceDetector{agents: make(map[[4]byte]*agentSilence), restartingUntil: make(map[[4]byte]time.Duration)}
}

// Suspect records that a request to an agent was sent again.
func (d *SilenceDetector) Suspect(agent [4]byte, now time.Duration) {
	if d.agents[agent] == nil && now >= d.restartingUntil[agent] {
		d.agents[agent] = &agentSilence{lastPingAt: now - silentPingInterval}
	}
}

// Heard records a frame from an agent.
func (d *SilenceDetector) Heard(agent [4]byte) {
	if len(d.agents) > 0 {
		delete(d.agents, agent)
	}
}

// Restarting records that an agent has announced its stop, while its host runs on.
func (d *SilenceDetector) Restarting(agent [4]byte, now time.Duration) {
	delete(d.agents, agent)
	d.restartingUntil[agent] = now + restartGrace
}

// IsSilent reports whether the agent counts as silent.
func (d *SilenceDetector) IsSilent(agent [4]byte) bool {
	if len(d.agents) == 0 {
		return false
	}
	s := d.agents[agent]
	return s != nil && s.silent
}

// Check returns the agents to ping, and those that have become silent since the last
// check. It is called every SilenceCheckInterval. A process that was paused finds its
// pings unanswered because it has not read the answers yet, so that it counts anew.
func (d *SilenceDetector) Check(now time.Duration) (ping, silent [][4]byte) {
	paused := now-d.checkedAt > 2*SilenceCheckInterval
	d.checkedAt = now
	for agent, s := range d.agents {
		if paused && !s.silent {
			s.unanswered = 0
		}
		switch {
		case s.silent && now-s.silentAt > silentRetention:
			delete(d.agents, agent)
			continue
		case s.silent && now-s.lastPingAt < silentPingInterval:
			continue
		case !s.silent && s.unanswered >= silentPings:
			s.silent, s.silentAt = true, now
			silent = append(silent, agent)
		}
		s.unanswered++
		s.lastPingAt = now
		ping = append(ping, agent)
	}
	for agent, until := range d.restartingUntil {
		if now >= until {
			delete(d.restartingUntil, agent)
		}
	}
	return ping, silent
}
