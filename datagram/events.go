package datagram

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/flow"
)

// DropReason is a reason for dropping a datagram. The one exception is
// CountLookups.
type DropReason int

// The counted reasons.
const (
	// DropMalformed: the data is not a valid frame or packet.
	DropMalformed DropReason = iota
	// DropForged: the frame was not sent by its stated sender, or the packet has
	// flags that a requester cannot set.
	DropForged
	// DropNoCatalog: no catalog snapshot is known yet.
	DropNoCatalog
	// DropNoRoute: there is no route for an opening, but the snapshot may be
	// outdated.
	DropNoRoute
	// DropNoAgents: the catalog lists no agents.
	DropNoAgents
	// DropNoOwner: a limit on hops or on the packets of a search was reached, or
	// an agent could not tell whether its host, of another service than the route's,
	// holds the flow, and may not try this packet there.
	DropNoOwner
	// DropSend: the socket did not accept the datagram.
	DropSend
	// DropPanic: an unexpected error occurred while the datagram was processed.
	DropPanic
	// CountLookups counts packets for which an entry looked up the owner. It is no
	// drop, but shares the counters and, as "finds", the metric of the drops.
	CountLookups
	dropReasons
)

var dropNames = [dropReasons]string{
	"malformed", "forged", "no_catalog", "no_route", "no_agents", "no_owner", "send_failed", "unexpected_error", "finds",
}

// Event is the name of a logged decision about a flow or the host.
type Event string

// The logged decisions.
const (
	// EventPlaced: an entry has chosen a host for a new flow.
	EventPlaced Event = "flow_placed"
	// EventOwnerFound: an entry has learnt the owner of a flow that it had not
	// cached.
	EventOwnerFound Event = "flow_found"
	// EventOpened: the requester has confirmed a flow that the host accepted.
	EventOpened Event = "flow_opened"
	// EventRefused: an opening was answered with a reset.
	EventRefused Event = "flow_refused"
	// EventForwarded: an agent has forwarded an opening to another host.
	EventForwarded Event = "flow_passed_on"
	// EventAdopted: an agent has registered a flow that its host has held since
	// before the agent's start.
	EventAdopted Event = "flow_adopted"
	// EventLost: the host of an owned flow has stopped or no longer holds it, or a
	// search found that no host holds the flow.
	EventLost Event = "flow_lost"
	// EventSearchStarted: an agent is asking all agents whose hosts may hold the
	// flow for its owner.
	EventSearchStarted Event = "flow_probed"
	// EventOwnerUndecided: a search has found no owner, but the flow cannot be
	// declared lost yet, because an agent has not answered or the host list may be
	// incomplete.
	EventOwnerUndecided Event = "flow_unsettled"
	// EventAgentSilent: a retransmitted opening shows that the chosen agent did
	// not answer.
	EventAgentSilent Event = "agent_silent"
	// EventPanic: an unexpected error occurred while a datagram was processed or
	// during periodic work. The process goes on.
	EventPanic Event = "unexpected_error"
	// EventRequestLate: a request was released too late for its objective.
	EventRequestLate Event = "request_late"
	// EventRequestExpired: the time limit of a request passed while it waited.
	EventRequestExpired Event = "request_expired"
	// EventRequestCanceled: the requester ended or reset the flow of a request that
	// waited.
	EventRequestCanceled Event = "request_canceled"
	// EventRequestOverflow: a request was given to the host because the queue was full.
	EventRequestOverflow Event = "request_overflow"
	// EventAdmissionLevel: the lowest priority that the host admits has changed.
	EventAdmissionLevel Event = "admission_level"
	// EventHostFailing and EventHostRecovered: the host starts or stops counting
	// as failing (see steering.FailureTracker).
	EventHostFailing   Event = "host_failing"
	EventHostRecovered Event = "host_well"
)

// eventsPerSecond limits the log lines per event name and second.
const eventsPerSecond = 20

// Events counts dropped datagrams and logs decisions at a limited rate per
// event name. It is safe for concurrent use.
type Events struct {
	log *logrus.Entry
	// counters holds the counts of drops and lookups.
	counters [dropReasons]atomic.Int64

	mu      sync.Mutex
	budgets map[Event]*eventBudget
}

// eventBudget limits the log lines of one event and counts all its occurrences.
type eventBudget struct {
	// remaining is the number of lines that may still be logged before the next
	// Refill, omitted the number left out since the last line.
	remaining, omitted int
	total              int64
}

// NewEvents returns zero counters that log to the given logger.
func NewEvents(log *logrus.Entry) *Events {
	return &Events{log: log, budgets: make(map[Event]*eventBudget)}
}

// Drop counts a datagram that was dropped.
func (e *Events) Drop(reason DropReason) { e.counters[reason].Add(1) }

// Count counts an event that is not a drop and is not logged.
func (e *Events) Count(reason DropReason) { e.counters[reason].Add(1) }

// Log counts and logs a decision with its inputs, given as pairs of names and
// values. The flow is logged unless the key is zero. Lines beyond the limit
// are left out, and the next line of the event reports how many.
func (e *Events) Log(event Event, key flow.Key, pairs ...any) {
	e.mu.Lock()
	b := e.budgets[event]
	if b == nil {
		b = &eventBudget{remaining: eventsPerSecond}
		e.budgets[event] = b
	}
	b.total++
	overBudget := b.remaining <= 0
	omitted := 0
	if overBudget {
		b.omitted++
	} else {
		b.remaining--
		omitted, b.omitted = b.omitted, 0
	}
	e.mu.Unlock()
	if overBudget {
		return
	}
	fields := logrus.Fields{}
	if key != (flow.Key{}) {
		fields["flow"] = key.String()
	}
	if omitted > 0 {
		fields["omitted_before"] = omitted
	}
	for i := 0; i+1 < len(pairs); i += 2 {
		if name, ok := pairs[i].(string); ok {
			fields[name] = pairs[i+1]
		}
	}
	e.log.WithFields(fields).Info(string(event))
}

// Refill resets the rate limits. It is called once a second.
func (e *Events) Refill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range e.budgets {
		b.remaining = eventsPerSecond
	}
}

// Totals returns the counters of drops and lookups that are not zero, and the
// event counters, by name.
func (e *Events) Totals() map[string]int64 {
	totals := make(map[string]int64)
	for i := range e.counters {
		if n := e.counters[i].Load(); n > 0 {
			totals[dropNames[i]] = n
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for event, b := range e.budgets {
		totals[string(event)] = b.total
	}
	return totals
}
