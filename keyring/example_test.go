package keyring_test

import (
	"fmt"

	"github.com/turmericrock/turmericrock/keyring"
)

// Up to two generations are accepted at a time, so a rotation takes three
// steps: add the new key, make it active, and remove the old one.
func Example() {
	first := keyring.Key{Generation: 1, Secret: [keyring.SecretSize]byte{1}}
	second := keyring.Key{Generation: 2, Secret: [keyring.SecretSize]byte{2}}
	ring, err := keyring.NewRing(keyring.Keys{Active: 1, Keys: []keyring.Key{first}})
	if err != nil {
		fmt.Println(err)
		return
	}
	steps := []keyring.Keys{
		{Active: 1, Keys: []keyring.Key{first, second}},
		{Active: 2, Keys: []keyring.Key{first, second}},
		{Active: 2, Keys: []keyring.Key{second}},
	}
	for _, next := range steps {
		if err := ring.Load().CheckRotation(next); err != nil {
			fmt.Println(err)
			return
		}
		if err := ring.Store(next); err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(ring.Load())
	}
	invalidStep := keyring.Keys{Active: 1, Keys: []keyring.Key{first}}
	fmt.Println(ring.Load().CheckRotation(invalidStep))
	// Output:
	// active=1 accepted=1,2
	// active=2 accepted=1,2
	// active=2 accepted=2
	// key rotation refused: the generation that is active now has no key
}
