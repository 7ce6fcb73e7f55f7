package catalog

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericrock/turmericrock/steering/pacing"
)

// failedReaderBackoff is how long a reader is not asked after a failure.
const failedReaderBackoff = 2 * time.Second

// readerStates holds what a process knows of the readers that it asks, by address.
type readerStates struct {
	// retryAt is the time until which a reader is not asked.
	retryAt map[string]time.Duration
	// lost holds the readers that failed last time, so that a series of failures is
	// logged once.
	lost map[string]bool
	// stale holds the readers whose data was too old in this round.
	stale []string
}

func newReaderStates() readerStates {
	return readerStates{retryAt: make(map[string]time.Duration), lost: make(map[string]bool)}
}

// delayStale makes the readers whose data was too old wait, since others are better.
func (r *readerStates) delayStale(now time.Duration) {
	for _, address := range r.stale {
		r.retryAt[address] = now + failedReaderBackoff
	}
	r.stale = nil
}

// DelayedReaderError reports that a reader is not asked for a while, since it failed.
type DelayedReaderError struct {
	Address string
}

// Error implements error.
func (e *DelayedReaderError) Error() string {
	return "the reader " + e.Address + " is not asked for a while"
}

// NoReaderError reports that no agent is listed that could read the store for others.
type NoReaderError struct{}

// Error implements error.
func (e *NoReaderError) Error() string {
	return "no agent is listed that reads the store"
}

// syncFromReaders asks the readers in turn, and then the agents that take their place,
// until one of them has recent data. It asks none and reports true if this process is
// among them and has to read the store itself. The error is that of the last one asked.
func (s *Syncer) syncFromReaders(ctx context.Context, c *Catalog) (isReader bool, err error) {
	s.readers.stale = nil
	err = errors.WithStack(&NoReaderError{})
	wait := pacing.PeerWatchWait(s.Now() - s.Tracker.ConfirmedAt())
	if s.historyPending {
		wait = pacing.HistoryWait
	}
	for _, readers := range s.readerGroups(c) {
		if slices.Contains(readers, s.peerAddress(s.Self)) {
			return true, err
		}
		for _, reader := range readers {
			before := s.Now()
			if err = s.askReader(ctx, reader, wait); err == nil {
				s.readers.delayStale(s.Now())
				return false, nil
			}
			var noticed *NewerStateError
			if errors.As(err, &noticed) {
				return false, err
			}
			// The time spent waiting for a failed reader is not spent again on the next.
			wait = max(0, wait-(s.Now()-before))
		}
		// Substitutes find out at the same time that they are needed.
		wait = pacing.SubstituteWait
	}
	return false, err
}

// readerGroups returns the addresses of the readers and of their substitutes. While no agent
// is listed, the seeds read the store for the others.
func (s *Syncer) readerGroups(c *Catalog) [][]string {
	readers := ReadersFor(c, s.Self, s.Zone)
	if len(readers) > 0 {
		return [][]string{s.peerAddresses(readers), s.peerAddresses(SubstituteReaders(c))}
	}
	if s.isSeed() {
		return [][]string{{s.peerAddress(s.Self)}}
	}
	return [][]string{s.Seeds}
}

// isSeed reports whether this process is one of the seeds.
func (s *Syncer) isSeed() bool {
	return slices.ContainsFunc(s.Seeds, func(seed string) bool {
		address, err := netip.ParseAddrPort(seed)
		return err == nil && address.Addr() == netip.AddrFrom4(s.Self)
	})
}

// askReader reads the changes from the reader at an address (host:port), unless it failed
// recently.
func (s *Syncer) askReader(ctx context.Context, address string, wait time.Duration) error {
	if s.Now() < s.readers.retryAt[address] {
		return errors.WithStack(&DelayedReaderError{Address: address})
	}
	err := s.syncFromPeer(ctx, address, wait)
	if err == nil {
		delete(s.readers.lost, address)
		return nil
	}
	var noticed *NewerStateError
	if errors.As(err, &noticed) {
		return err // The request was ended here, which says nothing of the reader.
	}
	if s.awaitsHistory() {
		// After a loss of power, the readers start at about the same time.
		return err
	}
	var stale *StalePeerError
	if errors.As(err, &stale) {
		s.readers.stale = append(s.readers.stale, address)
		return err
	}
	if !s.readers.lost[address] {
		s.Log.WithError(err).WithField("reader", address).Warn("reader_lost")
	}
	s.readers.lost[address] = true
	s.readers.retryAt[address] = s.Now() + failedReaderBackoff
	return err
}

// StalePeerError reports that a peer's data is too old to rely on.
type StalePeerError struct {
	Age time.Duration
}

// Error implements error.
func (e *StalePeerError) Error() string {
	return "the peer last read the store " + strconv.FormatInt(e.Age.Milliseconds(), 10) + " ms ago"
}

// syncFromPeer applies the changes from a peer. It returns a *StalePeerError if
// the peer's data is older than pacing.MaxPeerAge; the changes are applied even so.
func (s *Syncer) syncFromPeer(ctx context.Context, address string, wait time.Duration) error {
	after, settles := s.Tracker.Position(), s.Tracker.NeedsFullRead(s.Now())
	if settles {
		after, wait = Position{}, 0
	}
	needsState, before := s.needsPeerState(), s.appliedState()
	asksHistory := s.asksHistory(needsState)
	options := peerOptions{gone: needsState, history: asksHistory, config: before.version}
	result, err := s.requestUntilNotice(ctx, address, after, wait, options)
	if err == nil && s.needsFullRead(&result, needsState) {
		result, err = s.Peers.request(ctx, address, Position{}, 0, peerOptions{gone: true, history: asksHistory, config: before.version})
	}
	if err != nil {
		return err
	}
	s.Tracker.gone.addAll(result.gone, s.Now())
	if settles && result.SettlingFor > 0 && !needsState {
		// This process has settled for longer and may know more than the peer.
		s.Tracker.SettleLater(s.Now() + max(result.SettlingFor, settleRetryInterval))
		return checkAge(&result)
	}
	if result.Full || result.Era != s.Tracker.Position().Era {
		// A peer of an earlier version does not name the era and may have missed it.
		if err := s.checkOrder(fromPeer, &result); err != nil {
			return err
		}
	}
	s.apply(fromPeer, &result)
	s.adoptConfigHistory(before, &result)
	if err := checkAge(&result); err != nil {
		return err
	}
	if !result.Before(before.position) {
		s.peerStateEra = result.Era
	}
	s.adoptHistory(before.position, &result)
	return nil
}

// checkAge returns a *StalePeerError if a read from a peer is too old.
func checkAge(r *ReadResult) error {
	if r.Age > pacing.MaxPeerAge {
		return &StalePeerError{Age: r.Age}
	}
	return nil
}

// needsFullRead reports whether a process has to ask a peer that sent changes for
// everything: since the peer may know more than the store, or knows what the process
// kept to be up to date.
func (s *Syncer) needsFullRead(r *ReadResult, needsState bool) bool {
	if r.Full || r.Age > pacing.MaxPeerAge {
		return false
	}
	return r.Deviates && needsState || r.SettlingFor == 0 && s.Tracker.Deviates()
}

// needsPeerState reports whether this process has yet to learn, at its start or in a new
// era of the store, what a peer knows that the store has lost.
func (s *Syncer) needsPeerState() bool {
	return s.Tracker.Settling() && s.peerStateEra != s.Tracker.Position().Era
}

// askOtherReader makes a reader ask another one if it needs to know what peers know.
func (s *Syncer) askOtherReader(ctx context.Context) {
	c := s.Tracker.Current()
	if c == nil || !s.needsPeerState() {
		return
	}
	for _, agent := range OtherReaders(c, s.Self) {
		if err := s.askReader(ctx, s.peerAddress(agent), 0); err == nil {
			return
		}
	}
}

func (s *Syncer) peerAddresses(agents [][4]byte) []string {
	addresses := make([]string, 0, len(agents))
	for _, agent := range agents {
		addresses = append(addresses, s.peerAddress(agent))
	}
	return addresses
}

func (s *Syncer) peerAddress(agent [4]byte) string {
	return netip.AddrPortFrom(netip.AddrFrom4(agent), s.PeerPort).String()
}
