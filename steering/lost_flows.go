package steering

import (
	"time"

	"github.com/turmericrock/turmericrock/catalog"
)

// FlowActivity is what an entry knows of the requests on a flow.
type FlowActivity struct {
	// Awaiting reports that the requester has sent data and acknowledged nothing
	// new since, and SentAt is when it first sent that data.
	Awaiting bool
	SentAt   time.Duration
}

// ShouldResetLost reports whether the flow of a silent agent is reset. The caller of
// a request that may be repeated can try again at once, and an idle flow would cost
// its next request. A request that must not run twice is left to wait: its agent may
// wake and deliver the answer, which nobody else has.
func (f FlowActivity) ShouldResetLost(route *catalog.Route, now time.Duration) bool {
	if route == nil || route.Retryable || !f.Awaiting {
		return true
	}
	return route.Timeout > 0 && now-f.SentAt > route.Timeout
}
