// Package audit keeps an audit trail of changes to the configuration, membership,
// zone state, limits, keys and certificates.
package audit

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Subject is a kind of object whose changes are audited. Record.What is a subject,
// or a subject and an object's name, separated by a slash.
type Subject string

// Subjects of audit records.
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
	// AdmissionLevel and HostFailing are subjects of agents of opaque flows, which only
	// log them.
	AdmissionLevel Subject = "admission_level"
	HostFailing    Subject = "host_failing"
)

// Of returns the value of Record.What for the object with the given name.
func (s Subject) Of(name string) string {
	return string(s) + "/" + name
}

// Record describes one change.
type Record struct {
	At time.Time `json:"at"`
	// What identifies the object that changed.
	What string `json:"what"`
	From string `json:"from"`
	To   string `json:"to"`
	// Revision is the configuration revision in force.
	Revision uint64 `json:"revision"`
	Cause    string `json:"cause"`
	// Confirmed is the source that confirmed the change.
	Confirmed string `json:"confirmed"`
}

// Trail logs audit records and keeps the latest ones in memory. It is safe for
// concurrent use.
type Trail struct {
	log      *logrus.Logger
	capacity int

	mu      sync.Mutex
	records []Record
	// oldest is the index of the oldest record once the trail is full.
	oldest int
	added  uint64
}

// NewTrail returns a trail that keeps the latest capacity records.
func NewTrail(log *logrus.Logger, capacity int) *Trail {
	return &Trail{log: log, capacity: capacity}
}

// Add logs the record and stores it, replacing the oldest one if the trail is full.
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

// Records returns the stored records, oldest first.
func (t *Trail) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.records))
	out = append(out, t.records[t.oldest:]...)
	return append(out, t.records[:t.oldest]...)
}

// Added returns the number of records added so far, including those no longer
// stored.
func (t *Trail) Added() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.added
}
