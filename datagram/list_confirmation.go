package datagram

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
)

// ListConfirmer finds out whether the list of hosts is complete. A *catalog.Confirmer implements
// it.
type ListConfirmer interface {
	// Latest returns the latest confirmation.
	Latest() catalog.Confirmation
	// Request asks for one as of a time, which has passed, or a later one. It must not block.
	Request(asOf time.Duration)
}

// isListCompleteAsOf reports whether the list is known to hold all hosts that were listed at a
// time, and asks for a confirmation if it is not. Agents of other zones may list a host, and
// entries send it flows, before the list of this one does, for as long as its reader is cut off
// from the store.
func (a *Agent) isListCompleteAsOf(c *catalog.Catalog, at time.Duration) bool {
	confirmer := a.config.ListConfirmer
	if confirmer == nil {
		return false
	}
	if c.IsCompleteAsOf(at, confirmer.Latest()) {
		return true
	}
	confirmer.Request(at)
	return false
}

// lostFlowsPeriod is how long after a lost flow others are expected.
const lostFlowsPeriod = 2 * time.Second

// requestConfirmation asks for a confirmation of the list of hosts at the start of a search, which
// takes about as long, so that the requester of a lost flow need not wait for it.
//
// Load pattern: all machines lose power and return, and each request on a flow from before leads to
// a search that finds it lost. Where flows are found, as after a kill of all processes, no
// confirmation is needed.
func (a *Agent) requestConfirmation(now time.Duration) {
	if a.config.ListConfirmer != nil && a.lostAt > 0 && now-a.lostAt < lostFlowsPeriod {
		a.config.ListConfirmer.Request(now)
	}
}

// ListConfirmed resets the flows of searches that have waited for a confirmation of the list of
// hosts.
func (a *Agent) ListConfirmed(now time.Duration, out Output) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.sendQuestions(now, out)
	a.pause.observe(now)
	c := a.config.Catalog()
	if c == nil {
		return
	}
	for key, s := range a.searches {
		a.settleSearch(now, c, key, s, out)
	}
}
