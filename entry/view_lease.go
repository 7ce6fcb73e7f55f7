package entry

import (
	"sync/atomic"
	"time"

	"github.com/turmericrock/turmericrock/blackboard"
)

const (
	// viewLeaseDuration is how long a view may be used after control last found
	// the facts current. A process that was paused for longer drops packets
	// until control has run and found them current again.
	viewLeaseDuration = 1500 * time.Millisecond
	// viewLeaseRenewInterval is the time between two extensions.
	viewLeaseRenewInterval = 100 * time.Millisecond
)

// ViewLeaseRenewed is the effect that lets traffic goroutines use the view until
// the time given, on the monotonic clock.
type ViewLeaseRenewed struct {
	Until time.Time
}

// ViewLeaseRenewer is the controller that extends the view's validity while the facts
// are current.
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

// viewDeadline is the end of the view's validity, shared between control and
// traffic goroutines.
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
