package catalog

import (
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/turmericrock/turmericrock/internal/metrics"
)

// maxRejectedKeys is the number of keys of rejected values that are remembered, so that
// each value is logged once. If there are more, some are logged again.
const maxRejectedKeys = 1024

// RejectedValues counts the values that cannot be decoded, and logs each once. Anyone who
// can write to the store can leave such a value, and it is read again and again. It is
// safe for concurrent use.
type RejectedValues struct {
	log *logrus.Entry

	mu sync.Mutex
	// logged holds, by key, the position of the value that was logged last.
	logged map[string]Position
	total  int64
}

// NewRejectedValues returns a RejectedValues that logs to the given logger.
func NewRejectedValues(log *logrus.Entry) *RejectedValues {
	return &RejectedValues{log: log, logged: make(map[string]Position)}
}

// Record records a value that cannot be decoded, with the cause.
func (r *RejectedValues) Record(v Value, err error) {
	if !r.isNew(&v) {
		return
	}
	r.log.WithError(err).WithFields(logrus.Fields{
		"key": v.Key, "era": v.Era, "revision": v.Revision, "bytes": len(v.Data),
	}).Warn("value_rejected")
}

// isNew reports whether the value was not recorded before.
func (r *RejectedValues) isNew(v *Value) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if logged, ok := r.logged[v.Key]; ok && logged == v.Position {
		return false
	}
	if len(r.logged) >= maxRejectedKeys {
		clear(r.logged)
	}
	r.logged[v.Key] = v.Position
	return true
}

// Collect implements metrics.Source. It emits how often a value was rejected.
func (r *RejectedValues) Collect(emit func(metrics.Sample)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	emit(metrics.Sample{Name: "catalog_values_rejected", Value: r.total})
}
