package catalog

import (
	"cmp"
	"slices"
)

// holderOf returns the entry that holds the address of a machine, of those that give it. At
// most one host runs at an address, but anyone may write an entry, and the entries of a host
// that restarts under a new ID lie side by side until the old one expires.
//
// The evidence is when an entry was created and last written, and the start that it states.
// If a process does not know when all of them were created, the latest start holds, and of
// equal starts the entry that was written last.
func holderOf(entries []*Host) *Host {
	if slices.ContainsFunc(entries, func(h *Host) bool { return h.Created == Position{} }) {
		return slices.MaxFunc(entries, func(a, b *Host) int {
			return cmp.Or(cmp.Compare(a.StartUnixMilli, b.StartUnixMilli), comparePositions(a.Position, b.Position), cmp.Compare(a.ID, b.ID))
		})
	}
	ordered := slices.SortedFunc(slices.Values(entries), func(a, b *Host) int {
		return cmp.Or(comparePositions(a.Created, b.Created), cmp.Compare(a.ID, b.ID))
	})
	holder := ordered[0]
	for _, h := range ordered[1:] {
		if h.replaces(holder) {
			holder = h
		}
	}
	return holder
}

// replaces reports whether an entry shows that the host of an entry that was created before
// has ended. A later start does, unless the earlier host wrote its entry again since. The same
// start does not: a host has one ID for each start, so the later entry repeats the earlier one.
// Entries without a start cannot be told apart by it; the later one is taken for a restart.
func (h *Host) replaces(holder *Host) bool {
	isCopy := h.StartUnixMilli == holder.StartUnixMilli && h.StartUnixMilli != 0
	if isCopy || h.StartUnixMilli < holder.StartUnixMilli {
		return false
	}
	return !h.Position.Before(holder.Position)
}

// keepCreation takes over when the entry was created from what is known of it, if it is the
// same entry and its creation is not told, as by peers of an earlier build, or is told in a
// later era, because the store was restored. The copy of the store then holds the entry, or its
// host has written it again. Otherwise another writer's entry that is kept at first, or written
// again before it, would count as the first. Without a start, an entry with another creation may
// be that of a host that has restarted.
func (h *Host) keepCreation(known *Host) {
	if known == nil || known.StartUnixMilli != h.StartUnixMilli || (known.Created == Position{}) {
		return
	}
	isUntold, isLaterEra := h.Created == Position{}, known.Created.Era < h.Created.Era
	isSameEntry := h.StartUnixMilli != 0 || known.Created.Revision == h.Created.Revision
	if (isUntold || isLaterEra) && isSameEntry {
		h.Created = known.Created
	}
}

func comparePositions(a, b Position) int {
	return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Revision, b.Revision))
}
