package dissemination

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericrock/turmericrock/fleet"
)

// Status is what a node holds of a peer that it tried to poll. It comes from
// the links alone; the platform's list has a word of its own.
type Status uint8

// Statuses of peers.
const (
	// StatusUnknown means that the peer was not tried.
	StatusUnknown Status = iota
	// StatusLive means that the peer answers polls.
	StatusLive
	// StatusSilent means that the link stands and polls are not answered: the
	// process is paused, or the path is cut.
	StatusSilent
	// StatusDead means that the link broke or cannot be opened.
	StatusDead
	// StatusGone means that the address refuses links: the VM is listed and
	// its process is not there.
	StatusGone
	// StatusReplaced means that another VM answers at the address.
	StatusReplaced
)

// String returns the status's name for logs and metrics.
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
	vm       fleet.VM
	status   Status
	failures int
	// retryAt is when the peer may be tried again.
	retryAt time.Time
}

const (
	// initialRetryDelay is the time after the first failure until the next attempt.
	// It doubles up to longAvoid, and up to loneAvoid while the node polls
	// nobody.
	initialRetryDelay     = 2 * time.Second
	maxRetryDelay         = 30 * time.Second
	maxIsolatedRetryDelay = 4 * time.Second
)

// Peer is what a node holds of another one, for operators.
type Peer struct {
	ID     string
	Zone   string
	Status Status
	// Leaving tells that the platform lists the VM as leaving.
	Leaving bool
}

// Peers returns the peers that were tried, in order of their IDs.
func (r *Replica) Peers() []Peer {
	peers := make([]Peer, 0, len(r.peers))
	for id, p := range r.peers {
		leaving := p.vm.State == fleet.VMLeaving
		peers = append(peers, Peer{ID: id, Zone: p.vm.Zone, Status: p.status, Leaving: leaving})
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

func (r *Replica) peer(vm fleet.VM) *peer {
	p := r.peers[vm.ID]
	if p == nil {
		p = &peer{}
		r.peers[vm.ID] = p
	}
	p.vm = vm
	return p
}

func (r *Replica) backingOff(now time.Time, id string) bool {
	p := r.peers[id]
	return p != nil && now.Before(p.retryAt)
}

func (r *Replica) setStatus(p *peer, status Status) {
	if p.status == status {
		return
	}
	r.emit(PeerChanged{Peer: p.vm.ID, Before: p.status, Status: status})
	p.status = status
}

// recordFailure notes that the peer could not be polled.
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

func (r *Replica) recordAnswer(p *peer) {
	r.setStatus(p, StatusLive)
	p.failures = 0
	p.retryAt = time.Time{}
}

// removeUnlistedPeers drops the peers that the list of their zone no longer holds.
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
