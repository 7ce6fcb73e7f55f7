package datagram

import (
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/catalog"
	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

// unlistedRetention is how long an agent whose host is not listed is asked for
// flows after its last announcement. Reports of others count as announcements.
const unlistedRetention = 2 * time.Second

// unlistedAgent is an agent that has announced that its host is not listed.
type unlistedAgent struct {
	serviceTag uint32
	heardAt    time.Duration
}

// announcements is the state of an agent's part in making unlisted hosts known.
// The entry of a running host may lapse while the store is unavailable, and a host
// that has just started is not listed yet.
type announcements struct {
	// received holds the unlisted agents that have announced themselves.
	received map[[4]byte]unlistedAgent
	// listedSince is when this agent's host was first found in the list, after
	// which other agents can send it announcements. It is valid if listed is set.
	listedSince time.Duration
	listed      bool
	// sentAt is when this agent last announced itself to all, valid if sent is set, and
	// reportersToldAt when it last announced itself to the reporters.
	sentAt, reportersToldAt time.Duration
	sent                    bool
	// reporters are the agents that are told and asked of unlisted hosts, as of a catalog.
	// reporterSince is when this agent became one of them, valid if isReporter is set.
	reporters     [][4]byte
	reportersOf   *catalog.Catalog
	reporterSince time.Duration
	isReporter    bool
	// reports holds the latest report of each reporter, and askedAt when they were last
	// asked.
	reports map[[4]byte]receivedReport
	askedAt time.Duration
}

// Tick announces the agent while its host is not listed, resets the flows of
// searches that have ended since their last packet, and ends the wait of requests
// whose time limit has passed. It is called at short intervals.
func (a *Agent) Tick(now time.Duration, out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.sendQuestions(now, out)
	a.pause.observe(now)
	a.expireRequests(now, out)
	c := a.config.Catalog()
	a.updateLevel(now, c)
	if c == nil {
		return
	}
	a.updateReporters(now, c)
	a.announceIfUnlisted(now, c, out)
	complete := a.hostListEvidence(now, c).Complete()
	if !complete && len(a.searches) > 0 {
		a.askReporters(now, c, out)
	}
	for key, s := range a.searches {
		if !s.widened && now-s.startedAt >= searchWidenAfter {
			a.widen(now, c, key, s, out)
		}
		if now-s.startedAt < searchInterval && a.limitsTrials(now, c, key) {
			a.probeLimited(now, c, key, s, out)
		}
		if complete {
			a.settleSearch(now, c, key, s, out)
		}
	}
}

// settleSearch resets the flow of a search that has ended, if it is lost.
func (a *Agent) settleSearch(now time.Duration, c *catalog.Catalog, key flow.Key, s *ownerSearch, out Output) {
	if _, waiting := a.pendingAgent(now, c, s); !waiting && !s.reset {
		a.resetIfNotHeld(now, key, s, out)
	}
}

// announceIfUnlisted tells all listed agents that this agent's host runs although
// it is not listed. A host that does not run yet holds no flows and could not be
// asked for any.
func (a *Agent) announceIfUnlisted(now time.Duration, c *catalog.Catalog, out Output) {
	n := &a.announcements
	if c.Hosts[a.config.Self.Addr] != nil {
		if !n.listed {
			n.listed, n.listedSince = true, now
		}
		return
	}
	n.listed = false
	if a.config.HostRunning != nil && !a.config.HostRunning() {
		return
	}
	if n.sent && now-n.sentAt < steering.AnnounceInterval(len(c.Agents)) {
		a.tellReporters(now, out)
		return
	}
	n.sent, n.sentAt, n.reportersToldAt = true, now, now
	a.broadcast(c, flow.Unlisted, out)
}

// recordAnnouncement stores that an agent's host runs although it is not listed.
func (a *Agent) recordAnnouncement(f *flow.Frame, now time.Duration) {
	a.announcements.received[f.Sender] = unlistedAgent{serviceTag: f.ServiceTag, heardAt: now}
}

// appendUnlisted adds the agents of unlisted hosts whose services may hold the flow to
// the agents that are to be asked for it.
func (a *Agent) appendUnlisted(agents [][4]byte, now time.Duration, c *catalog.Catalog, scope steering.SearchScope) [][4]byte {
	for agent, u := range a.announcements.received {
		service := c.ByTag[u.serviceTag]
		if now-u.heardAt > unlistedRetention || service == nil || !scope.MayHold(service.Name) || slices.Contains(agents, agent) {
			continue
		}
		agents = append(agents, agent)
	}
	return agents
}

// expireAnnouncements removes agents that no longer announce themselves.
func (a *Agent) expireAnnouncements(now time.Duration) {
	for agent, u := range a.announcements.received {
		if now-u.heardAt > unlistedRetention {
			delete(a.announcements.received, agent)
		}
	}
	for agent, r := range a.announcements.reports {
		if now-r.receivedAt > unlistedRetention {
			delete(a.announcements.reports, agent)
		}
	}
}

// hostListEvidence returns what the agent knows about the completeness of its list
// of hosts.
func (a *Agent) hostListEvidence(now time.Duration, c *catalog.Catalog) steering.HostListEvidence {
	e := steering.HostListEvidence{ListAge: now - c.ConfirmedAt, StoreReadable: now - c.HealthySince, Agents: len(c.Agents)}
	if a.announcements.listed {
		e.Listening = now - a.announcements.listedSince
	}
	e.Reporters = len(a.announcements.reporters)
	for _, r := range a.announcements.reports {
		e.Reports = append(e.Reports, steering.UnlistedReport{Age: now - r.receivedAt, Listening: r.listening})
	}
	return e
}
