package catalog

import "strconv"

// firstEra is the era of a store that was never restored.
const firstEra = 1

// Position is a point in the history of the store. Revisions alone do not name one: a
// store that is restored from a copy gives out the revisions after the copy again.
type Position struct {
	// Era counts the restores of the store. It is 0 if the store or the peer does not
	// report it.
	Era int64
	// Revision is the store's revision in that era.
	Revision int64
}

// String returns the position for logs and errors.
func (p Position) String() string {
	return "revision " + strconv.FormatInt(p.Revision, 10) + " of era " + strconv.FormatInt(p.Era, 10)
}

// Before reports whether the position precedes another one. Each restore begins a new
// era, so a later era comes after every revision of the earlier ones.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}
