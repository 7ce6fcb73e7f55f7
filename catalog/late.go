package catalog

import "time"

// Late changes are changes of the state of a settling tracker that no write to the store
// caused: the tracker believes the restored store in what it had withheld or kept. Such a
// change has the store's position at that time. A peer may have that position without the
// change, so that the changes after its position do not tell it. Therefore late changes are
// part of each answer to peers until the tracker settles; from one that has settled they
// read everything.

// addLate records late changes, which add has recorded as well.
func (j *journal) addLate(changes []Change) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range changes {
		j.late[changes[i].Value.Key] = changes[i].Value
	}
}

// keepLate drops the late changes that the current values contradict.
func (j *journal) keepLate(position Position) {
	for key, v := range j.late {
		current, ok := j.values[key]
		if position.Era != j.position.Era || ok == v.Removed || ok && current.Position != v.Position {
			delete(j.late, key)
		}
	}
}

// lateChanges returns the late changes for a peer in the given era.
func (j *journal) lateChanges(era int64) []Value {
	j.mu.Lock()
	defer j.mu.Unlock()
	if era != j.position.Era {
		return nil
	}
	values := make([]Value, 0, len(j.late))
	for _, v := range j.late {
		values = append(values, v)
	}
	return values
}

// ApplyLate applies the late changes of a peer at the given position, which read the store
// at confirmedAt, and reports whether any of them affected the catalog. It ignores them if
// the tracker is at another position, or has settled.
func (t *Tracker) ApplyLate(position Position, changes []Change, confirmedAt time.Duration) bool {
	if !t.settling.active || position != t.position {
		return false
	}
	var relevant []Change
	for i := range changes {
		c := &changes[i]
		known, ok := t.applied[c.Value.Key]
		if position.Before(c.Value.Position) || ok && !known.Value.Position.Before(c.Value.Position) {
			continue
		}
		if t.applyChange(c, confirmedAt) {
			relevant = append(relevant, *c)
		}
	}
	return t.publishLate(relevant, confirmedAt)
}

// publishLate publishes late changes that were applied, and reports whether there are any.
func (t *Tracker) publishLate(changes []Change, confirmedAt time.Duration) bool {
	if len(changes) == 0 {
		return false
	}
	t.settling.deviates = true
	t.journal.add(t.position, changes, max(confirmedAt, t.confirmedAt))
	t.journal.addLate(changes)
	t.shareSettling()
	t.publish(t.position, max(confirmedAt, t.confirmedAt))
	return true
}
