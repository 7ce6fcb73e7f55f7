// Package audit keeps the trail of changes: of configuration, membership,
// zone state, limits, keys and certificates.
package audit

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Subject names a kind of thing that changes. A record's What is a subject,
// or a subject with the thing's own name after a slash.
type Subject string

// Subjects.
const (
	Configuration       Subject = "configuration"
	Zone                Subject = "zone"
	VMList              Subject = "vm_list"
	Host                Subject = "host"
	HostState           Subject = "host_state"
	Peer                Subject = "peer"
	Process             Subject = "process"
	InvariantViolations Subject = "invariant_violations"
	Limit               Subject = "limit"
	Keys                Subject = "keys"
	Certificate         Subject = "certificate"
)

// Of returns the What for one thing of the kind.
func (s Subject) Of(name string) string {
	return string(s) + "/" + name
}

// Record is one change.
type Record struct {
	At time.Time `json:"at"`
	// What names the thing that changed.
	What string `json:"what"`
	From string `json:"from"`
	To   string `json:"to"`
	// Revision is the configuration revision in force.
	Revision uint64 `json:"revision"`
	Cause    string `json:"cause"`
	// Confirmed names who confirmed the change.
	Confirmed string `json:"confirmed"`
}

// Trail logs records and keeps the latest ones in memory. It is safe for
// concurrent use.
type Trail struct {
	log      *logrus.Logger
	capacity int

	mu      sync.Mutex
	records []Record
	// oldest is the place of the oldest record once the trail is full.
	oldest int
	added  uint64
}

// NewTrail returns a trail that keeps size records.
func NewTrail(log *logrus.Logger, capacity int) *Trail {
	return &Trail{log: log, capacity: capacity}
}

// Add logs and keeps the record.
func (t *Trail) Add(r Record) {
	t.log.WithFields(logrus.Fields{
		"what":      r.What,
		"from":      r.From,
		"to":        r.To,
		"revision":  r.Revision,
		"cause":     r.Cause,
		"confirmed": r.Confirmed,
	}).Info("audit")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.added++
	if len(t.records) < t.capacity {
		t.records = append(t.records, r)
		return
	}
	t.records[t.oldest] = r
	t.oldest = (t.oldest + 1) % t.capacity
}

// Records returns the records kept, oldest first.
func (t *Trail) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.records))
	out = append(out, t.records[t.oldest:]...)
	return append(out, t.records[:t.oldest]...)
}

// Added returns the number of records so far, those no longer kept included.
func (t *Trail) Added() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.added
}
