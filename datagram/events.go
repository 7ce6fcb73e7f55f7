package datagram

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/flow"
)

// DropReason is a reason for which a datagram is dropped.
type DropReason int

// The reasons for dropping a datagram.
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

// Event is a decision that touches a flow.
type Event string

// The decisions that are logged.
const (
	EventPlaced        Event = "flow_placed"
	EventFound         Event = "flow_found"
	EventOpened        Event = "flow_opened"
	EventRefused       Event = "flow_refused"
	EventPassedOn      Event = "flow_passed_on"
	EventAdopted       Event = "flow_adopted"
	EventLost          Event = "flow_lost"
	EventProbed        Event = "flow_probed"
	EventUnsettled     Event = "flow_unsettled"
	EventAgentSilent   Event = "agent_silent"
	EventHostFailing   Event = "host_failing"
	EventHostRecovered Event = "host_well"
)

// eventsPerSecond bounds the lines of each kind of event.
const eventsPerSecond = 20

// Events counts what is dropped and logs decisions, a bounded number of lines
// of each kind a second. It is safe for concurrent use.
type Events struct {
	log   *logrus.Entry
	drops [dropReasons]atomic.Int64

	mu      sync.Mutex
	budgets map[Event]*eventBudget
}

type eventBudget struct {
	remaining, omitted int
	total              int64
}

// NewEvents returns counters that log to the logger.
func NewEvents(log *logrus.Entry) *Events {
	return &Events{log: log, budgets: make(map[Event]*eventBudget)}
}

// Drop counts a datagram that was dropped.
func (e *Events) Drop(reason DropReason) { e.drops[reason].Add(1) }

// Count counts an event without a line in the log.
func (e *Events) Count(reason DropReason) { e.drops[reason].Add(1) }

// Log logs a decision with its flow, if it touches one, and the inputs, as pairs
// of names and values, unless too many lines of the kind were written this second.
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

// Refill allows the next second's lines.
func (e *Events) Refill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range e.budgets {
		b.remaining = eventsPerSecond
	}
}

// Totals returns the counters by name.
func (e *Events) Totals() map[string]int64 {
	totals := make(map[string]int64)
	for i := range e.drops {
		if n := e.drops[i].Load(); n > 0 {
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
