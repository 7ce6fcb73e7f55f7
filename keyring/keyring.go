// Package keyring holds the fleet's secrets. A ring accepts up to two
// generations and uses one of them for what it issues, so that keys rotate
// without breaking flows.
package keyring

import (
	"crypto/hkdf"
	"crypto/sha256"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Generations are numbered 0 to MaxGeneration, since the number travels in
// the first three bits of a connection ID.
const MaxGeneration = 7

// MaxKeys is the number of generations that a ring accepts at a time.
const MaxKeys = 2

// SecretSize is the length of a secret in bytes.
const SecretSize = 32

// Key is one generation of the fleet's secret.
type Key struct {
	Generation uint8
	Secret     [SecretSize]byte
}

// Derive returns size bytes bound to the purpose.
func (k Key) Derive(purpose string, size int) ([]byte, error) {
	out, err := hkdf.Key(sha256.New, k.Secret[:], nil, "turmericrock "+purpose, size)
	return out, errors.WithStack(err)
}

// Keys is an immutable set of generations.
type Keys struct {
	// Active is the generation used for what is issued.
	Active uint8
	Keys   []Key
}

// Validate checks the set. The error is a *KeysError.
func (k Keys) Validate() error {
	if len(k.Keys) == 0 || len(k.Keys) > MaxKeys {
		return &KeysError{Reason: "there must be one or two keys"}
	}
	active := false
	seen := [MaxGeneration + 1]bool{}
	for _, key := range k.Keys {
		if key.Generation > MaxGeneration {
			return &KeysError{Reason: "a generation must be 0 to 7"}
		}
		if seen[key.Generation] {
			return &KeysError{Reason: "two keys have the same generation"}
		}
		seen[key.Generation] = true
		active = active || key.Generation == k.Active
	}
	if !active {
		return &KeysError{Reason: "the active generation has no key"}
	}
	return nil
}

// ActiveKey returns the key of the active generation.
func (k Keys) ActiveKey() Key {
	for _, key := range k.Keys {
		if key.Generation == k.Active {
			return key
		}
	}
	return Key{}
}

// Ring publishes the current Keys to traffic goroutines.
type Ring struct {
	keys atomic.Pointer[Keys]
}

// NewRing returns a ring that holds the keys.
func NewRing(keys Keys) (*Ring, error) {
	if err := keys.Validate(); err != nil {
		return nil, err
	}
	ring := &Ring{}
	ring.keys.Store(&keys)
	return ring, nil
}

// Load returns the current keys. The pointer changes when they do.
func (r *Ring) Load() *Keys {
	return r.keys.Load()
}

// Store replaces the keys.
func (r *Ring) Store(keys Keys) error {
	if err := keys.Validate(); err != nil {
		return err
	}
	r.keys.Store(&keys)
	return nil
}
