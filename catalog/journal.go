package catalog

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/turmericrock/turmericrock/steering/pacing"
)

// journalSize is the number of recent changes that a process keeps for its
// peers.
const journalSize = 1024

// journal holds the state that a process serves to its peers: the current value
// of each key and the most recent changes. It is safe for concurrent use.
type journal struct {
	mu sync.Mutex
	// position is the store's position up to which the journal is complete.
	position Position
	// discarded is the position after which all changes are in recent.
	discarded Position
	// settling, deviates and settlesAt are those of the tracker.
	settling, deviates bool
	settlesAt          time.Duration
	// restored is set once the store began a new era.
	restored    bool
	confirmedAt time.Duration
	values      map[string]Value
	recent      []Value
	// late holds, by key, the late changes.
	late map[string]Value
	// compressed holds the compressed data of current values.
	compressed map[string]compressedData
	// changed is closed and replaced at each change.
	changed chan struct{}
	// held is set while peers are not told of changes, and withheld once there was one.
	held, withheld bool
}

func newJournal() *journal {
	return &journal{values: make(map[string]Value), late: make(map[string]Value), compressed: make(map[string]compressedData), changed: make(chan struct{})}
}

// replace sets the state to the result of a full read.
func (j *journal) replace(position Position, changes []Change, readAt time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.values = make(map[string]Value, len(changes))
	for i := range changes {
		j.put(changes[i].Value)
	}
	j.restored = j.restored || j.position != Position{} && j.position.Era != position.Era
	j.recent, j.discarded = nil, position
	j.keepLate(position)
	j.position, j.confirmedAt = position, readAt
	j.notifyChange()
}

// add records the changes of an incremental read that affected the catalog.
func (j *journal) add(position Position, changes []Change, readAt time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range changes {
		j.put(changes[i].Value)
		delete(j.late, changes[i].Value.Key)
		j.recent = append(j.recent, changes[i].Value)
	}
	if excess := len(j.recent) - journalSize; excess > 0 {
		j.discarded = j.recent[excess-1].Position
		j.recent = append([]Value(nil), j.recent[excess:]...)
	}
	regained := readAt-j.confirmedAt > pacing.MaxPeerAge
	j.position, j.confirmedAt = position, readAt
	if len(changes) > 0 || regained {
		j.notifyChange()
	}
}

// put sets or removes the current value of a key.
func (j *journal) put(v Value) {
	if v.Removed {
		delete(j.values, v.Key)
		return
	}
	j.values[v.Key] = v
}

// setSettling records the state of the tracker's settling.
func (j *journal) setSettling(active, deviates bool, until time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.settling, j.deviates, j.settlesAt = active, deviates, until
	if !active {
		clear(j.late)
	}
}

// settlingFor returns the time until the tracker settles, which is positive while it has
// not, and whether its state differs from what the store says.
func (j *journal) settlingFor(now time.Duration) (left time.Duration, deviates bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.settling {
		return 0, false
	}
	return max(time.Millisecond, j.settlesAt-now), j.deviates
}

// wakePeers makes the requests of peers that wait look again.
func (j *journal) wakePeers() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.notifyChange()
}

// hold makes peers that wait see the next changes as one, once release is called.
func (j *journal) hold() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.held = true
}

// release ends hold.
func (j *journal) release() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.held = false
	if j.withheld {
		j.withheld = false
		j.notifyChange()
	}
}

func (j *journal) notifyChange() {
	if j.held {
		j.withheld = true
		return
	}
	close(j.changed)
	j.changed = make(chan struct{})
}

// peerPosition is the position that a peer has. Peers of earlier versions do not name
// the era.
type peerPosition struct {
	Position
	eraUnknown bool
}

// changesSince returns the changes after a position, or all values if some of
// those changes have been discarded (full). It also returns the position and
// the time up to which the result is complete, and a channel that is closed at
// the next change.
func (j *journal) changesSince(after peerPosition) (values []Value, full bool, position Position, confirmedAt time.Duration, next <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if after.eraUnknown {
		after.Era = j.position.Era
	}
	full = after.Before(j.discarded)
	if !full {
		values = j.changesAfter(after.Position)
		// The peer may have the revision from before the restore and lack changes.
		full = after.eraUnknown && j.restored && len(values) > 0
	}
	if full {
		values = slices.Collect(maps.Values(j.values))
	}
	return values, full, j.position, j.confirmedAt, j.changed
}

// changesAfter returns the recent changes after a position but those that were
// superseded.
func (j *journal) changesAfter(after Position) []Value {
	var values []Value
	for _, v := range j.recent {
		if after.Before(v.Position) && !j.superseded(v) {
			values = append(values, v)
		}
	}
	return values
}

// superseded reports whether a later change replaced the value. During a series of
// changes, peers need only the last one of each key.
func (j *journal) superseded(v Value) bool {
	current, ok := j.values[v.Key]
	return ok && v.Position.Before(current.Position)
}
