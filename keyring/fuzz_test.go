package keyring_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/keyring"
)

// FuzzParse checks that only valid sets of keys are accepted, and that each
// error message is one line and contains no secret.
func FuzzParse(f *testing.F) {
	f.Add([]byte(keyFile(1, "1")))
	f.Add([]byte(keyFile(2, "1", "2")))
	f.Add([]byte("[keys]\nactive = 1\n[key 1]\nsecret = zz\n"))
	f.Add([]byte("[key 1\n"))
	f.Add([]byte("[keys]\nactive = 0\n[key 0]\nsecret = " + strings.Repeat("AB", 32) + "\n[key 0]\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		keys, err := keyring.Parse("keys.ini", content)
		if err == nil {
			must.NoError(t, keys.Validate())
			must.NoError(t, keys.CheckRotation(keys))
			must.True(t, keys.Equal(keys))
			return
		}
		must.StrNotContains(t, err.Error(), "\n")
		for _, secret := range possibleSecrets(string(content)) {
			must.StrNotContains(t, err.Error(), secret)
		}
	})
}

// possibleSecrets returns the runs of hex digits that have the length of a
// secret.
func possibleSecrets(content string) []string {
	runs := strings.FieldsFunc(content, func(r rune) bool {
		return !strings.ContainsRune("0123456789abcdefABCDEF", r)
	})
	return slices.DeleteFunc(runs, func(run string) bool { return len(run) != 2*keyring.SecretSize })
}
