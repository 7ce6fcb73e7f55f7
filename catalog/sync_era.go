package catalog

import (
	"context"
	"slices"
	"sync"

	"github.com/turmericrock/turmericrock/steering/pacing"
)

// maxEraPeers is the number of peers that a process asks before it enters a new era of the
// store. The copy may be wrong in what some of them have missed as well.
const maxEraPeers = 4

// applySnapshot applies a full read of the store, and before it what peers know of the time
// before if the read is the first of a new era. Peers of this process see the result only.
func (s *Syncer) applySnapshot(ctx context.Context, read *ReadResult) {
	s.Tracker.journal.hold()
	defer s.Tracker.journal.release()
	s.askBeforeNewEra(ctx, read)
	if !read.Before(s.Tracker.Position()) {
		s.apply(fromSnapshot, read)
	}
}

// askBeforeNewEra brings the process up to date with what its peers knew before the store
// was restored. It is called with a full read of a new era that is not applied yet.
//
// A process may have missed the last changes before the restore: it was cut off from the
// store, or has started since. The copy then brings back what it does not know to have
// changed, and peers that are still in the earlier era cannot contradict the copy later.
// Peers that are in the new era have kept what they knew, so the process begins the era with
// the state of one of them.
func (s *Syncer) askBeforeNewEra(ctx context.Context, read *ReadResult) {
	before := s.Tracker.Position()
	if before == (Position{}) || read.Era <= before.Era {
		return
	}
	startedAt := s.Now()
	answers := s.askAll(ctx, s.eraPeers(read), before)
	for _, answer := range answers {
		s.Tracker.gone.addAll(answer.gone, s.Now())
	}
	if answer := latestOf(answers, before.Era); answer != nil && before.Before(answer.Position) {
		s.apply(fromPeer, answer)
	}
	if answer := latestOf(answers, read.Era); answer != nil && answer.Full && checkAge(answer) == nil {
		s.apply(fromPeer, answer)
		s.peerStateEra = answer.Era
	}
	read.Age += s.Now() - startedAt
}

// latestOf returns the answer with the latest position in an era, or nil.
func latestOf(answers []*ReadResult, era int64) (latest *ReadResult) {
	for _, answer := range answers {
		if answer.Era == era && (latest == nil || latest.Before(answer.Position)) {
			latest = answer
		}
	}
	return latest
}

// askAll asks peers at the same time for the changes after a position and for the removals
// that they remember. It returns the answers that arrive in time.
func (s *Syncer) askAll(ctx context.Context, addresses []string, after Position) []*ReadResult {
	ctx, cancel := context.WithTimeout(ctx, pacing.EraPatience)
	defer cancel()
	answers := make([]*ReadResult, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			result, err := s.Peers.request(ctx, address, after, 0, peerOptions{gone: true})
			if err != nil {
				s.Log.WithError(err).WithField("peer", address).Debug("peer_failed")
				return
			}
			answers[i] = &result
		})
	}
	group.Wait()
	return slices.DeleteFunc(answers, func(answer *ReadResult) bool { return answer == nil })
}

// eraPeers returns the addresses of the peers to ask before a new era: one half of those
// that were listed last, and the rest of those that the restored store lists.
func (s *Syncer) eraPeers(read *ReadResult) []string {
	var addresses []string
	add := func(limit int, c *Catalog) {
		// Readers first, in an order that spreads the requests of a large fleet.
		for _, agent := range append(ReadersFor(c, s.Self, s.Zone), OtherReaders(c, s.Self)...) {
			address := s.peerAddress(agent)
			if agent != s.Self && len(addresses) < limit && !slices.Contains(addresses, address) {
				addresses = append(addresses, address)
			}
		}
	}
	if c := s.Tracker.Current(); c != nil {
		add(maxEraPeers/2, c)
	}
	add(maxEraPeers, catalogOfHosts(read.Changes))
	return addresses
}
