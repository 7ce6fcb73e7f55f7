package datagram

import (
	"slices"
	"time"

	"github.com/pkg/errors"
)

// CheckRequests compares the counters of requests and the scheduler's lists with the
// flows. If ticked is set, the agent has just been ticked: no slot is taken for free and
// no request waits while the host has room.
func (a *Agent) CheckRequests(now time.Duration, ticked bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	open, pending, waiting := 0, 0, 0
	for key, fl := range a.flows {
		if fl.state != flowClosed {
			open++
		}
		if fl.requestPending {
			pending++
		}
		if fl.waiting {
			waiting++
		}
		switch {
		case fl.waiting && !fl.requestPending, fl.waiting != (len(fl.held) > 0), len(fl.held) > maxHeldPackets:
			return errors.Errorf("%v: waiting %v, pending %v, %d packets held", key, fl.waiting, fl.requestPending, len(fl.held))
		case fl.requestPending && fl.state == flowClosed:
			return errors.Errorf("%v: closed with a pending request", key)
		}
	}
	s := &a.scheduler
	if open != a.openFlows || pending != a.unansweredRequests || waiting != s.queue.Len() || waiting > maxHeldRequests {
		return errors.Errorf("flows: %d open, %d pending, %d waiting; counters: %d, %d, %d", open, pending, waiting, a.openFlows, a.unansweredRequests, s.queue.Len())
	}
	for i, r := range s.running {
		if a.flows[r.key] != r.flow || !r.flow.requestPending || r.flow.waiting {
			return errors.Errorf("%v: running, but its flow has no request at the host", r.key)
		}
		if ticked && i < a.hostSlots() && !r.started {
			return errors.Errorf("%v: running request %d is not in service", r.key, i)
		}
		if slices.ContainsFunc(s.running[i+1:], func(other runningRequest) bool { return other.key == r.key }) {
			return errors.Errorf("%v: running twice", r.key)
		}
	}
	if ticked && waiting > 0 && a.hasRoom(now) {
		return errors.Errorf("%d requests wait although the host has room", waiting)
	}
	return nil
}

// RouteTimes returns the number of routes whose service times are known.
func (a *Agent) RouteTimes() int { return len(a.scheduler.routeTimes) }
