package dissemination

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
)

// Status is a node's observation of a peer that it tried to poll. It is
// derived from the links alone; the state in the platform's VM list is
// separate.
type Status uint8

// Statuses of peers.
const (
	// StatusUnknown means that the peer was not polled yet.
	StatusUnknown Status = iota
	// StatusLive means that the peer answers polls.
	StatusLive
	// StatusSilent means that the link is open but polls are not answered: the
	// process is paused, or the network path is cut.
	StatusSilent
	// StatusDead means that the link broke or could not be opened.
	StatusDead
	// StatusGone means that the address refuses links: the VM is listed but its
	// process is not running.
	StatusGone
	// StatusReplaced means that another VM answers at the address.
	StatusReplaced
)

// String returns the name of the status for logs and metrics.
func (s Status) String() string {
	switch s {
	case StatusLive:
		return "live"
	case StatusSilent:
		return "silent"
	case StatusDead:
		return "dead"
	case StatusGone:
		return "gone"
	case StatusReplaced:
		return "replaced"
	default:
		return "unknown"
	}
}

// peer is a VM that the replica tried to poll.
type peer struct {
	vm     fleet.VM
	status Status
	// failures is the number of failures since the last answer.
	failures int
	// retryAt is the earliest time of the next attempt to open a link.
	retryAt time.Time
}

const (
	// initialRetryDelay is the time from the first failure to the next attempt.
	// It doubles with each failure up to maxRetryDelay, or up to
	// maxIsolatedRetryDelay while the node polls no peer.
	initialRetryDelay     = 2 * time.Second
	maxRetryDelay         = 30 * time.Second
	maxIsolatedRetryDelay = 4 * time.Second
)

// Peer is the status of a peer, for operators.
type Peer struct {
	ID     string
	Zone   string
	Status Status
	// Leaving is set if the platform lists the VM as leaving.
	Leaving bool
}

// Peers returns the peers that the node tried to poll, in order of their IDs.
func (r *Replica) Peers() []Peer {
	peers := make([]Peer, 0, len(r.peers))
	for id, p := range r.peers {
		leaving := p.vm.State == fleet.VMLeaving
		peers = append(peers, Peer{ID: id, Zone: p.vm.Zone, Status: p.status, Leaving: leaving})
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

// peer returns the state of the peer, creating it if needed, and updates its
// VM.
func (r *Replica) peer(vm fleet.VM) *peer {
	p := r.peers[vm.ID]
	if p == nil {
		p = &peer{}
		r.peers[vm.ID] = p
	}
	p.vm = vm
	return p
}

// backingOff reports whether the node has to wait before its next attempt to
// poll the peer.
func (r *Replica) backingOff(now time.Time, id string) bool {
	p := r.peers[id]
	return p != nil && now.Before(p.retryAt)
}

// setStatus sets the status of a peer and reports a change to the caller.
func (r *Replica) setStatus(p *peer, status Status) {
	if p.status == status {
		return
	}
	r.emit(PeerChanged{Peer: p.vm.ID, Before: p.status, Status: status})
	p.status = status
}

// recordFailure records that the peer could not be polled and delays the next
// attempt.
func (r *Replica) recordFailure(now time.Time, p *peer, status Status) {
	r.setStatus(p, status)
	maxDelay := maxRetryDelay
	if !r.hasOpenPollLink() {
		maxDelay = maxIsolatedRetryDelay
	}
	delay := min(initialRetryDelay<<min(p.failures, 6), maxDelay)
	p.retryAt = now.Add(r.jitter(delay))
	p.failures++
}

// recordAnswer records that the peer answered a poll.
func (r *Replica) recordAnswer(p *peer) {
	r.setStatus(p, StatusLive)
	p.failures = 0
	p.retryAt = time.Time{}
}

// removeUnlistedPeers removes the peers of the zone that are no longer in its
// list.
func (r *Replica) removeUnlistedPeers(list fleet.VMList) {
	if len(r.peers) == 0 {
		return
	}
	ids := make(map[string]bool, len(list.VMs))
	for _, vm := range list.VMs {
		ids[vm.ID] = true
	}
	for id, p := range r.peers {
		if p.vm.Zone == list.Zone && !ids[id] {
			delete(r.peers, id)
		}
	}
}
