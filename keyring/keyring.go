// Package keyring holds the secret keys that all nodes of the fleet share. A
// ring accepts up to two generations of keys and uses the active one for new
// connection IDs, tokens and tunnel packets, so that keys rotate without
// breaking flows.
package keyring

import (
	"crypto/hkdf"
	"crypto/sha256"
	"sync/atomic"

	"github.com/pkg/errors"
)

// MaxGeneration is the highest generation; the lowest is 0. A connection ID
// carries the generation in its first three bits.
const MaxGeneration = 7

// MaxKeys is the maximum number of generations that a ring accepts at a time.
const MaxKeys = 2

// SecretSize is the length of a secret in bytes.
const SecretSize = 32

// Key is the fleet's secret of one generation.
type Key struct {
	Generation uint8
	Secret     [SecretSize]byte
}

// Derive returns size bytes that HKDF-SHA256 derives from the secret for the
// purpose.
func (k Key) Derive(purpose string, size int) ([]byte, error) {
	out, err := hkdf.Key(sha256.New, k.Secret[:], nil, "turmericrock "+purpose, size)
	return out, errors.WithStack(err)
}

// Keys is an immutable set of keys, each of another generation.
type Keys struct {
	// Active is the generation used for new connection IDs, tokens and tunnel
	// packets.
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

// ActiveKey returns the key of the active generation, or the zero Key if there
// is none.
func (k Keys) ActiveKey() Key {
	for _, key := range k.Keys {
		if key.Generation == k.Active {
			return key
		}
	}
	return Key{}
}

// Ring holds the current Keys. It is safe for concurrent use.
type Ring struct {
	keys atomic.Pointer[Keys]
}

// NewRing returns a ring that holds the keys. The error is a *KeysError.
func NewRing(keys Keys) (*Ring, error) {
	if err := keys.Validate(); err != nil {
		return nil, err
	}
	ring := &Ring{}
	ring.keys.Store(&keys)
	return ring, nil
}

// Load returns the current keys. The pointer changes whenever Store replaces
// them, so a caller can compare pointers to detect a change.
func (r *Ring) Load() *Keys {
	return r.keys.Load()
}

// Store replaces the keys without checking the rotation. The error is a
// *KeysError.
func (r *Ring) Store(keys Keys) error {
	if err := keys.Validate(); err != nil {
		return err
	}
	r.keys.Store(&keys)
	return nil
}
