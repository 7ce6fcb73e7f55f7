package keyring

import (
	"fmt"
	"strings"
)

// String returns the generations of the set. It never returns secrets.
func (k Keys) String() string {
	accepted := make([]string, 0, len(k.Keys))
	for _, key := range k.Keys {
		accepted = append(accepted, fmt.Sprint(key.Generation))
	}
	return fmt.Sprintf("active=%d accepted=%s", k.Active, strings.Join(accepted, ","))
}

// String returns the generation without the secret.
func (k Key) String() string {
	return fmt.Sprintf("key %d", k.Generation)
}

// GoString returns the generation without the secret.
func (k Key) GoString() string {
	return k.String()
}

// Equal reports whether both sets have the same active generation and the same
// keys, in any order.
func (k Keys) Equal(other Keys) bool {
	if k.Active != other.Active || len(k.Keys) != len(other.Keys) {
		return false
	}
	for _, key := range k.Keys {
		if match, found := other.byGeneration(key.Generation); !found || match != key {
			return false
		}
	}
	return true
}

// CheckRotation checks that established flows survive a change from k to next.
// A generation must keep its secret, and both sets must contain the active
// generation of k and that of next, because nodes apply the change at different
// times. The error is a *RotationError.
func (k Keys) CheckRotation(next Keys) error {
	for _, key := range k.Keys {
		if other, found := next.byGeneration(key.Generation); found && other != key {
			return &RotationError{Reason: "the secret of a generation has changed"}
		}
	}
	if _, found := next.byGeneration(k.Active); !found {
		return &RotationError{Reason: "the generation that is active now has no key"}
	}
	if _, found := k.byGeneration(next.Active); !found {
		return &RotationError{Reason: "the new active generation was not accepted before"}
	}
	return nil
}

func (k Keys) byGeneration(generation uint8) (Key, bool) {
	for _, key := range k.Keys {
		if key.Generation == generation {
			return key, true
		}
	}
	return Key{}, false
}
