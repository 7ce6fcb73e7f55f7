// Package revision decides which configuration is in force. The revision number
// never decreases: the valid configuration with the highest revision replaces
// the previous one as a whole, regardless of where it came from.
package revision

import (
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/invariant"
)

// Verdict is the result of offering a configuration.
type Verdict uint8

// The possible verdicts.
const (
	// Accepted means that the offered configuration is now in force.
	Accepted Verdict = iota + 1
	// Confirmed means that the offer has the revision and the digest of the
	// configuration in force.
	Confirmed
	// Stale means that the offer has a lower revision and is ignored.
	Stale
	// Conflicting means that the offer has the revision in force but different
	// content. It is ignored.
	Conflicting
)

// String returns the verdict's name for logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "accepted"
	case Confirmed:
		return "confirmed"
	case Stale:
		return "stale"
	case Conflicting:
		return "conflicting"
	default:
		return "unknown"
	}
}

// Holder holds the configuration in force. It is not safe for concurrent use;
// only the control goroutine may access it.
type Holder struct {
	config    *fleet.Config
	confirmed time.Time
	conflicts uint64
}

// Evaluate returns the verdict that an offer with the given revision and digest
// would get. It does not change the configuration in force.
func (h *Holder) Evaluate(number uint64, digest string) Verdict {
	switch {
	case h.config == nil || number > h.config.Revision():
		return Accepted
	case number < h.config.Revision():
		return Stale
	case digest != h.config.Digest:
		return Conflicting
	default:
		return Confirmed
	}
}

// Offer offers a validated configuration that was current at the time asOf, puts
// it into force if its revision is the highest, and returns the verdict.
func (h *Holder) Offer(config *fleet.Config, asOf time.Time) Verdict {
	verdict := h.Evaluate(config.Revision(), config.Digest)
	switch verdict {
	case Accepted:
		invariant.Check("revision_rises", config.Revision() > h.Revision())
		h.config = config
		h.confirmed = asOf
	case Confirmed:
		h.adoptMoreComplete(config)
		h.Confirm(config.Revision(), asOf)
	case Conflicting:
		h.conflicts++
	}
	return verdict
}

// adoptMoreComplete replaces the configuration in force with one of the same
// revision and digest if that contains more of its services.
func (h *Holder) adoptMoreComplete(config *fleet.Config) {
	if len(config.Services()) > len(h.config.Services()) {
		h.config = config
	}
}

// Confirm records that the revision was current at the time asOf. It is ignored
// if the revision is not the one in force.
func (h *Holder) Confirm(revision uint64, asOf time.Time) {
	if h.config == nil || revision != h.config.Revision() {
		return
	}
	if asOf.After(h.confirmed) {
		h.confirmed = asOf
	}
}

// Config returns the configuration in force, or nil if there is none.
func (h *Holder) Config() *fleet.Config {
	return h.config
}

// Revision returns the revision in force, or 0 if there is none.
func (h *Holder) Revision() uint64 {
	if h.config == nil {
		return 0
	}
	return h.config.Revision()
}

// Age returns the time since ConfirmedAt.
func (h *Holder) Age(now time.Time) time.Duration {
	return now.Sub(h.confirmed)
}

// ConfirmedAt returns the latest time at which the configuration in force is
// known to have been current.
func (h *Holder) ConfirmedAt() time.Time {
	return h.confirmed
}

// Conflicts returns the number of offers that had the revision in force but
// different content.
func (h *Holder) Conflicts() uint64 {
	return h.conflicts
}
