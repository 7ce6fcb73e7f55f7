package agent

import (
	"strconv"
	"time"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/audit"
)

// limitRecordGap is the least time between two records of the learned limit,
// so that a ramp does not fill the trail.
const limitRecordGap = 5 * time.Second

// LimitSeen brings the number of requests that the host admits at a time.
type LimitSeen struct {
	Limit int
}

// Apply implements blackboard.Event.
func (e LimitSeen) Apply(_ time.Time, board *Board) {
	board.Limit = e.Limit
}

// Limits is the controller that notes changes of the declared limits and of
// the one learned from the traffic in the audit trail.
type Limits struct {
	slots       int
	connections int
	learned     int
	recordedAt  time.Time
}

// Step implements blackboard.Controller.
func (l *Limits) Step(now time.Time, board *Board) []blackboard.Effect {
	config := board.Node.Holder.Config()
	if config == nil {
		return nil
	}
	if service, found := config.Service(board.Config.Self.Service); found {
		l.declared(now, board, service)
	}
	l.record(now, board)
	return nil
}

func (l *Limits) declared(now time.Time, board *Board, service fleet.Service) {
	note := func(name string, held *int, declared int) {
		if *held != declared {
			noteLimit(now, board, name, *held, declared, "published")
			*held = declared
		}
	}
	note("slots", &l.slots, service.Slots)
	note("connections", &l.connections, service.Connections)
}

func (l *Limits) record(now time.Time, board *Board) {
	if board.Limit == l.learned || now.Sub(l.recordedAt) < limitRecordGap {
		return
	}
	noteLimit(now, board, "requests", l.learned, board.Limit, "learned")
	l.learned = board.Limit
	l.recordedAt = now
}

func noteLimit(now time.Time, board *Board, name string, from, to int, cause string) {
	board.Node.Audit(now, audit.Limit.Of(name), strconv.Itoa(from), strconv.Itoa(to), cause, "self")
}
