package datagram

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/flow"
)

// DropReason is a reason for dropping a datagram. CountLookups shares the type
// and counts lookups, not drops.
type DropReason int

// The counted reasons.
const (
	DropMalformed DropReason = iota
	DropForged
	DropNoCatalog
	DropNoRoute
	DropNoAgents
	DropNoOwner
	DropSend
	CountLookups
	dropReasons
)

var dropNames = [dropReasons]string{
	"malformed", "forged", "no_catalog", "no_route", "no_agents", "no_owner", "send_failed", "finds",
}

// Event is the name of a logged decision about a flow or the host.
type Event string

// The logged decisions.
const (
	EventPlaced         Event = "flow_placed"
	EventOwnerFound     Event = "flow_found"
	EventOpened         Event = "flow_opened"
	EventRefused        Event = "flow_refused"
	EventForwarded      Event = "flow_passed_on"
	EventAdopted        Event = "flow_adopted"
	EventLost           Event = "flow_lost"
	EventSearchStarted  Event = "flow_probed"
	EventOwnerUndecided Event = "flow_unsettled"
	EventAgentSilent    Event = "agent_silent"
	EventHostFailing    Event = "host_failing"
	EventHostRecovered  Event = "host_well"
)

// eventsPerSecond limits the log lines per event name and second.
const eventsPerSecond = 20

// Events counts dropped datagrams and logs decisions at a limited rate per
// event name. It is safe for concurrent use.
type Events struct {
	log      *logrus.Entry
	counters [dropReasons]atomic.Int64

	mu      sync.Mutex
	budgets map[Event]*eventBudget
}

type eventBudget struct {
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

// Totals returns the drop counters that are not zero and the event counters,
// by name.
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
