// Package audit keeps the trail of changes: of configuration, membership,
// zone state, limits and keys.
package audit

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

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

// Trail logs records and keeps the latest ones in memory.
type Trail struct {
	mu      sync.Mutex
	log     *logrus.Logger
	records []Record
	next    int
	size    int
}

// NewTrail returns a trail that keeps size records.
func NewTrail(log *logrus.Logger, size int) *Trail {
	return &Trail{log: log, records: make([]Record, 0, size), size: size}
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
	if len(t.records) < t.size {
		t.records = append(t.records, r)
		return
	}
	t.records[t.next] = r
	t.next = (t.next + 1) % t.size
}

// Records returns the records kept, oldest first.
func (t *Trail) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.records))
	out = append(out, t.records[t.next:]...)
	return append(out, t.records[:t.next]...)
}
