package entry

import (
	"sync/atomic"
	"time"

	"github.com/turmericrock/turmericrock/blackboard"
)

const (
	// viewLifetime is how long a view may be used after control last found
	// the facts current. A process that was paused for longer drops packets
	// until control has run and found them current again.
	viewLifetime = 1500 * time.Millisecond
	// extendInterval is the time between two extensions.
	extendInterval = 100 * time.Millisecond
)

// ViewExtended is the effect that lets traffic goroutines use the view until
// the time given, on the monotonic clock.
type ViewExtended struct {
	Until time.Time
}

// Validity is the controller that extends the view's validity while the facts
// are current.
type Validity struct {
	extended time.Time
}

// Step implements blackboard.Controller.
func (v *Validity) Step(now time.Time, board *Board) []blackboard.Effect {
	if now.Sub(v.extended) < extendInterval || !board.Node.Current(now) {
		return nil
	}
	v.extended = now
	return []blackboard.Effect{ViewExtended{Until: now.Add(viewLifetime)}}
}

// deadline is the end of the view's validity, shared between control and
// traffic goroutines.
type deadline struct {
	start time.Time
	until atomic.Int64
}

func newDeadline(start time.Time) *deadline {
	return &deadline{start: start}
}

func (d *deadline) extend(until time.Time) {
	d.until.Store(int64(until.Sub(d.start)))
}

func (d *deadline) passed(now time.Time) bool {
	return int64(now.Sub(d.start)) >= d.until.Load()
}
