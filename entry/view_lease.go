package entry

import (
	"sync/atomic"
	"time"

	"github.com/turmericrock/turmericrock/blackboard"
)

const (
	// viewLeaseDuration is how long a view may be used after the control
	// goroutine last found the entry's state current. A process that was
	// paused for longer drops packets until the control goroutine has run and
	// found the state current again.
	viewLeaseDuration = 1500 * time.Millisecond
	// viewLeaseRenewInterval is the minimum time between two renewals.
	viewLeaseRenewInterval = 100 * time.Millisecond
)

// ViewLeaseRenewed is the effect that lets forwarding goroutines use the view
// until the given time on the monotonic clock.
type ViewLeaseRenewed struct {
	Until time.Time
}

// ViewLeaseRenewer is the controller that extends the time for which the view
// may be used while the entry's state is current.
type ViewLeaseRenewer struct {
	renewedAt time.Time
}

// Step implements blackboard.Controller.
func (r *ViewLeaseRenewer) Step(now time.Time, board *Board) []blackboard.Effect {
	if now.Sub(r.renewedAt) < viewLeaseRenewInterval || !board.Node.Current(now) {
		return nil
	}
	r.renewedAt = now
	return []blackboard.Effect{ViewLeaseRenewed{Until: now.Add(viewLeaseDuration)}}
}

// viewDeadline is the time until which the view may be used, as set by the
// control goroutine and read by forwarding goroutines.
type viewDeadline struct {
	start time.Time
	until atomic.Int64
}

func newViewDeadline(start time.Time) *viewDeadline {
	return &viewDeadline{start: start}
}

func (d *viewDeadline) extend(until time.Time) {
	d.until.Store(int64(until.Sub(d.start)))
}

func (d *viewDeadline) passed(now time.Time) bool {
	return int64(now.Sub(d.start)) >= d.until.Load()
}
