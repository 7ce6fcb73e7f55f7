package datagram

import "time"

// Alarm passes the times at which an Agent is to be called from the agent to its Node.
type Alarm struct {
	times chan time.Duration
}

// NewAlarm returns an Alarm.
func NewAlarm() *Alarm { return &Alarm{times: make(chan time.Duration, 1)} }

// WakeAt asks for a call at the given time. It does not block: while an earlier request has
// not been received, a further one is dropped, and the agent repeats it when it is called.
func (a *Alarm) WakeAt(at time.Duration) {
	select {
	case a.times <- at:
	default:
	}
}
