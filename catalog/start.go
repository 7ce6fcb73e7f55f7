package catalog

import (
	"context"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/steering/pacing"
)

// startFromPeers reads the first state from a process that has it, so that the store need
// not send everything to everybody. It reports false if no peer has it; it is then to be
// read from the store.
func (s *Syncer) startFromPeers(ctx context.Context) bool {
	if s.asked {
		return false
	}
	s.asked = true
	if s.FirstStart {
		return s.awaitSeeds(ctx)
	}
	return s.startFromSeeds(ctx, s.Seeds) || s.startFromReaders(ctx)
}

// awaitSeeds waits until a seed has read the store. It reports false if this process is a
// seed, or none has within pacing.FirstStartPatience.
//
// Load pattern: the whole system starts for the first time. There are no flows yet, and
// nothing depends on a moment more. Each process asks one seed at a time, so that a seed of
// a large fleet need not hold a connection of every process.
func (s *Syncer) awaitSeeds(ctx context.Context) bool {
	if s.isSeed() || len(s.Seeds) == 0 {
		return false
	}
	next := readerScore(s.Self, 1) % uint64(len(s.Seeds))
	for deadline := s.Now() + pacing.FirstStartPatience; s.Now() < deadline && ctx.Err() == nil; pause(ctx, pacing.FirstStartRetryInterval) {
		if s.startFromSeeds(ctx, s.Seeds[next:next+1]) {
			return true
		}
		next = (next + 1) % uint64(len(s.Seeds))
	}
	return false
}

// startFromSeeds takes over the state of a seed that has recent data and, if this process
// needs it, knows which hosts left before. It asks the given seeds at the same time. It
// reports false if none of them answers so within pacing.SeedTimeout.
//
// Load pattern: machines are replaced or restarted one after the other, while the others
// run. Reading everything from the store, with its history, takes each of them many calls.
func (s *Syncer) startFromSeeds(ctx context.Context, seeds []string) bool {
	var asking sync.WaitGroup
	defer asking.Wait() // They log, so they end before Run.
	ctx, cancel := context.WithTimeout(ctx, pacing.SeedTimeout)
	defer cancel()
	answers := make(chan *ReadResult, len(seeds))
	for _, seed := range seeds {
		asking.Go(func() { answers <- s.askForState(ctx, seed) })
	}
	for range seeds {
		result := <-answers
		if result == nil || s.ReadHistory && !result.knowsHistory() {
			continue
		}
		if s.takeOver(fromSeed, result) {
			return true
		}
	}
	return false
}

// startFromReaders reads the list of hosts from the store, and the rest from a reader that
// it names. It reports false if this process is a reader, the fleet is small, or no reader
// has read the store within pacing.StartPatience.
//
// Load pattern: all processes are killed and start at the same time, and the configuration
// has thousands of routes. If each process read it, the link of the store would be busy
// for longer than any of them waits.
func (s *Syncer) startFromReaders(ctx context.Context) bool {
	listed, err := s.Store.Hosts(ctx)
	if err != nil {
		s.Log.WithError(err).Info("hosts_unknown")
		return false
	}
	c := catalogOfHosts(listed.Changes)
	readers := ReadersFor(c, s.Self, s.Zone)
	if len(c.Agents) < pacing.MinAgentsToShareStart || slices.Contains(readers, s.Self) {
		return false
	}
	for deadline := s.Now() + pacing.StartPatience; s.Now() < deadline && ctx.Err() == nil; pause(ctx, pacing.StartRetryInterval) {
		for _, reader := range readers {
			if result := s.askForState(ctx, s.peerAddress(reader)); result != nil && s.takeOver(fromPeer, result) {
				return true
			}
		}
	}
	return false
}

// catalogOfHosts returns a catalog of listed hosts, as if all their services were declared.
func catalogOfHosts(changes []Change) *Catalog {
	config := &Config{Services: make(map[string]ServiceConfig)}
	hosts := make(map[string]*Host, len(changes))
	for i := range changes {
		if h := changes[i].Host; h != nil {
			hosts[h.ID] = h
			config.Services[h.Service] = ServiceConfig{}
		}
	}
	return buildCatalog(config, hosts, nil, nil)
}

// askForState asks a peer for everything that it knows. It returns nil if there is no
// answer or the answer is too old.
func (s *Syncer) askForState(ctx context.Context, address string) *ReadResult {
	result, err := s.Peers.request(ctx, address, Position{}, 0, peerOptions{gone: true, history: true})
	if err == nil {
		err = checkAge(&result)
	}
	if err != nil {
		s.Log.WithError(err).WithField("peer", address).Debug("peer_failed")
		return nil
	}
	return &result
}

// takeOver applies the state of a peer to a process that has none, and reports false if the
// peer has no configuration.
func (s *Syncer) takeOver(from string, result *ReadResult) bool {
	if !slices.ContainsFunc(result.Changes, func(c Change) bool { return c.Config != nil }) {
		return false
	}
	s.Tracker.gone.addAll(result.gone, s.Now())
	s.apply(from, result)
	s.peerStateEra = result.Era
	s.adoptConfigHistory(appliedState{}, result)
	s.adoptHistory(Position{}, result)
	s.historyDeadline = s.Now() + pacing.HistoryPatience
	return true
}

// awaitsHistory reports whether the process has yet to learn which hosts left before its
// start, and leaves it to a reader to tell.
//
// Load pattern: all machines lose power and return. Each agent needs the history at the
// same time, and each would search for its start by up to maxHistoryCalls calls.
func (s *Syncer) awaitsHistory() bool {
	return s.historyPending && s.Now() < s.historyDeadline
}

// knowsHistory reports whether the peer knows which hosts left before.
func (r *ReadResult) knowsHistory() bool {
	return r.history != nil && r.history.healthyFor >= pacing.StoreSettleTime
}

// adoptHistory takes over what a peer knows of the time before, if its state is not behind
// that of this process, so that no removal lies between the two.
func (s *Syncer) adoptHistory(before Position, r *ReadResult) {
	if !s.historyPending || !r.knowsHistory() || r.Position.Before(before) {
		return
	}
	s.historyPending = false
	s.Tracker.AdoptHistory(s.Now()-r.Age-r.history.healthyFor, r.history.removed)
	s.Log.WithFields(logrus.Fields{
		"revision": r.Revision, "healthy_ms": r.history.healthyFor.Milliseconds(), "removed": len(r.history.removed),
	}).Info("history_adopted")
}

// asksHistory reports whether a peer is to be asked for what it knows of the time before.
// A reader takes the hosts that left from the store's history, and an entry does not need
// them, but the store does not tell former services of routes, and processes that start
// later ask both.
func (s *Syncer) asksHistory(needsPeerState bool) bool {
	return s.historyPending || needsPeerState
}

// syncFromSeeds applies the responses of all seeds that answer, whatever their age:
// old data is better than none while the store is unreachable. A seed that is cut off
// from the store may still list hosts that have left, so the newest response counts.
func (s *Syncer) syncFromSeeds(ctx context.Context) {
	for _, seed := range s.Seeds {
		before := s.appliedState()
		result, err := s.Peers.request(ctx, seed, before.position, 0, peerOptions{gone: true, config: before.version})
		if err != nil {
			s.Log.WithError(err).WithField("seed", seed).Debug("seed_failed")
			continue
		}
		s.Tracker.gone.addAll(result.gone, s.Now())
		s.apply(fromSeed, &result)
		s.adoptConfigHistory(before, &result)
	}
}
