package store

import (
	"maps"
	"slices"
	"strconv"
)

// headerEra is the header of each response that holds the store's era.
const headerEra = "Store-Era"

// Era returns the era of the store. It begins at 1 and rises with each restore.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Revision returns the current revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.revision
}

// Get returns the value of a key, and whether it exists.
func (s *Store) Get(key string) (value []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.current.items[key]
	return it.Value, ok
}

// Keys returns the keys of all values.
func (s *Store) Keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.current.items))
}

// Restore replaces the content by a copy that was made at the given revision, and begins
// a new era.
func (s *Store) Restore(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := state{revision: revision, items: make(map[string]item), compactedRevision: min(revision, s.current.compactedRevision)}
	if end := slices.IndexFunc(s.log, func(it item) bool { return it.Revision > revision }); end >= 0 {
		s.log = s.log[:end:end]
	}
	for _, it := range s.log {
		if it.Deleted {
			delete(copied.items, it.Key)
		} else {
			copied.items[it.Key] = it
		}
		if it.Revision > copied.compactedRevision {
			copied.history = append(copied.history, it)
		}
	}
	s.current, s.staleState = copied, nil
	s.era++
	s.notifyWatches()
}

func formatEra(era int64) string {
	return strconv.FormatInt(era, 10)
}
