// Package revision decides which configuration is in force. Revisions only
// rise: the highest one that validates wins, whole or not at all, whoever
// brought it.
package revision

import (
	"time"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/invariant"
)

// Verdict tells what became of an offer.
type Verdict uint8

// Verdicts.
const (
	// Accepted means that the offer is now in force.
	Accepted Verdict = iota + 1
	// Confirmed means that the offer equals what is in force.
	Confirmed
	// Stale means that the offer has a lower revision.
	Stale
	// Conflicting means that the offer has the revision in force and other
	// content. What is in force stays.
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

// Holder holds the configuration in force. It belongs to the control
// goroutine.
type Holder struct {
	config    *fleet.Config
	confirmed time.Time
	conflicts uint64
}

// Evaluate returns the verdict that an offer of the revision with the digest
// would get. It changes nothing.
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

// Offer considers a validated configuration that was current at the time
// given by asOf, and returns the verdict.
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

// adoptMoreComplete takes an offer that equals what is in force and holds more of its
// services.
func (h *Holder) adoptMoreComplete(config *fleet.Config) {
	if len(config.Services()) > len(h.config.Services()) {
		h.config = config
	}
}

// Confirm notes that the revision was current at the time given by asOf. A
// confirmation of another revision than the one in force is ignored.
func (h *Holder) Confirm(revision uint64, asOf time.Time) {
	if h.config == nil || revision != h.config.Revision() {
		return
	}
	if asOf.After(h.confirmed) {
		h.confirmed = asOf
	}
}

// Config returns the configuration in force, or nil.
func (h *Holder) Config() *fleet.Config {
	return h.config
}

// Revision returns the revision in force, or 0.
func (h *Holder) Revision() uint64 {
	if h.config == nil {
		return 0
	}
	return h.config.Revision()
}

// Age returns how long ago the configuration in force was last confirmed.
func (h *Holder) Age(now time.Time) time.Duration {
	return now.Sub(h.confirmed)
}

// ConfirmedAt returns the latest time at which the configuration in force is
// known to have been current.
func (h *Holder) ConfirmedAt() time.Time {
	return h.confirmed
}

// Conflicts counts offers with the revision in force and other content.
func (h *Holder) Conflicts() uint64 {
	return h.conflicts
}
