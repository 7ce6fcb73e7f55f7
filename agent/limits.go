package agent

import (
	"strconv"
	"time"

	"github.com/turmericrock/turmericrock/blackboard"
	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/audit"
)

// limitAuditInterval is the minimum time between two audit records of the learned
// limit, so that a gradual rise of the limit does not fill the audit trail.
const limitAuditInterval = 5 * time.Second

// LimitSampled is the event of a sample of the host's concurrency limit.
type LimitSampled struct {
	// Limit is the number of concurrent requests that the host admits.
	Limit int
}

// Apply implements blackboard.Event.
func (e LimitSampled) Apply(_ time.Time, board *Board) {
	board.Limit = e.Limit
}

// LimitAuditor is the controller that records changes of the declared limits, and
// of the limit learned from the traffic, in the audit trail.
type LimitAuditor struct {
	slots            int
	connections      int
	learned          int
	learnedAuditedAt time.Time
}

// Step implements blackboard.Controller.
func (l *LimitAuditor) Step(now time.Time, board *Board) []blackboard.Effect {
	config := board.Node.Holder.Config()
	if config == nil {
		return nil
	}
	if service, found := config.Service(board.Config.Self.Service); found {
		l.auditDeclared(now, board, service)
	}
	l.auditLearned(now, board)
	return nil
}

func (l *LimitAuditor) auditDeclared(now time.Time, board *Board, service fleet.Service) {
	auditChange := func(name string, previous *int, current int) {
		if *previous != current {
			auditLimit(now, board, name, *previous, current, "published")
			*previous = current
		}
	}
	auditChange("slots", &l.slots, service.Slots)
	auditChange("connections", &l.connections, service.Connections)
}

func (l *LimitAuditor) auditLearned(now time.Time, board *Board) {
	if board.Limit == l.learned || now.Sub(l.learnedAuditedAt) < limitAuditInterval {
		return
	}
	auditLimit(now, board, "requests", l.learned, board.Limit, "learned")
	l.learned = board.Limit
	l.learnedAuditedAt = now
}

func auditLimit(now time.Time, board *Board, name string, from, to int, cause string) {
	board.Node.Audit(now, audit.Limit.Of(name), strconv.Itoa(from), strconv.Itoa(to), cause, "self")
}
