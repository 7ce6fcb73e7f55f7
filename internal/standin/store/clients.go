package store

import (
	"maps"
	"slices"
	"sync"
)

// Clients are the operators and hosts that write to a store. They remember what they
// want it to hold, so that they can write again what it has lost. Clients is safe for
// concurrent use.
type Clients struct {
	store *Store

	mu     sync.Mutex
	wanted map[string]string
}

// NewClients returns the clients of a store that want it to be empty.
func NewClients(s *Store) *Clients {
	return &Clients{store: s, wanted: make(map[string]string)}
}

// Put writes a value and returns its revision.
func (c *Clients) Put(key string, value []byte) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wanted[key] = string(value)
	return c.store.Put(key, value)
}

// Delete removes a value.
func (c *Clients) Delete(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.wanted, key)
	c.store.Delete(key)
}

// Wants reports whether the store should hold a key.
func (c *Clients) Wants(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.wanted[key]
	return ok
}

// Lost returns the keys, sorted, of which the store does not hold what is wanted.
func (c *Clients) Lost() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys := append(slices.Collect(maps.Keys(c.wanted)), c.store.Keys()...)
	slices.Sort(keys)
	return slices.DeleteFunc(slices.Compact(keys), func(key string) bool { return c.holds(key) })
}

// holds reports whether the store holds what is wanted of a key.
func (c *Clients) holds(key string) bool {
	wanted, ok := c.wanted[key]
	present, exists := c.store.Get(key)
	return ok == exists && wanted == string(present)
}

// Rewrite makes the store hold what is wanted of a key, and reports whether it did not.
func (c *Clients) Rewrite(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holds(key) {
		return false
	}
	if wanted, ok := c.wanted[key]; ok {
		c.store.Put(key, []byte(wanted))
	} else {
		c.store.Delete(key)
	}
	return true
}
