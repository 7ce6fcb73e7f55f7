package keyring_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/keyring"
)

// keyFile returns the content of a key file. The secret of a generation is made
// from its number; a suffix, as in "1/9", makes a different secret.
func keyFile(active int, generations ...string) string {
	content := fmt.Sprintf("[keys]\nactive = %d\n", active)
	for _, g := range generations {
		number, suffix, _ := strings.Cut(g, "/")
		secret := strings.Repeat(number+suffix, 64)[:64]
		content += fmt.Sprintf("\n[key %s]\nsecret = %s\n", number, secret)
	}
	return content
}

func mustParse(t *testing.T, content string) keyring.Keys {
	keys, err := keyring.Parse("keys.ini", []byte(content))
	must.NoError(t, err)
	return keys
}

func TestInvalidKeyFiles(t *testing.T) {
	secret := strings.Repeat("ab", 32)
	cases := map[string]string{
		"no active":        "[key 1]\nsecret = " + secret + "\n",
		"active of no key": keyFile(2, "1"),
		"no key":           "[keys]\nactive = 1\n",
		"three keys":       keyFile(1, "1", "2", "3"),
		"generation":       keyFile(1, "1", "8"),
		"short secret":     "[keys]\nactive = 1\n[key 1]\nsecret = " + secret[2:] + "\n",
		"unknown key":      keyFile(1, "1") + "sceret = " + secret + "\n",
		"unknown section":  keyFile(1, "1") + "[kye 2]\nsecret = " + secret + "\n",
		"not INI":          "[keys\n" + secret,
	}
	for name, content := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := keyring.Parse("keys.ini", []byte(content))
			must.Error(t, err)
			must.StrNotContains(t, err.Error(), secret[4:])
			must.StrNotContains(t, err.Error(), "\n")
		})
	}
	_, err := keyring.LoadFile(filepath.Join(t.TempDir(), "none"))
	var fileErr *keyring.FileError
	must.True(t, errors.As(err, &fileErr))
}

func TestSecretsAreNeverPrinted(t *testing.T) {
	keys := mustParse(t, keyFile(1, "1", "2"))
	must.Eq(t, "active=1 accepted=1,2", keys.String())
	must.Eq(t, "[key 1 key 2]", fmt.Sprint(keys.Keys))
	must.Eq(t, "key 1", fmt.Sprintf("%#v", keys.Keys[0]))
}

func TestCheckRotation(t *testing.T) {
	cases := map[string]struct {
		from, to string
		allowed  bool
	}{
		"add":                {keyFile(1, "1"), keyFile(1, "1", "2"), true},
		"use":                {keyFile(1, "1", "2"), keyFile(2, "1", "2"), true},
		"drop":               {keyFile(2, "1", "2"), keyFile(2, "2"), true},
		"same":               {keyFile(1, "1", "2"), keyFile(1, "2", "1"), true},
		"add and use":        {keyFile(1, "1"), keyFile(2, "1", "2"), false},
		"replace":            {keyFile(1, "1"), keyFile(2, "2"), false},
		"use and drop":       {keyFile(1, "1", "2"), keyFile(2, "2"), false},
		"new secret":         {keyFile(1, "1"), keyFile(1, "1/9"), false},
		"new unused secret":  {keyFile(1, "1", "2"), keyFile(1, "1", "2/9"), false},
		"replace the spare":  {keyFile(1, "1", "2"), keyFile(1, "1", "3"), true},
		"back to the former": {keyFile(2, "1", "2"), keyFile(1, "1", "2"), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := mustParse(t, c.from).CheckRotation(mustParse(t, c.to))
			must.Eq(t, c.allowed, err == nil)
		})
	}
}

// watcherFixture holds a Watcher of a temporary file and records its callbacks.
type watcherFixture struct {
	t       *testing.T
	path    string
	ring    *keyring.Ring
	watcher *keyring.Watcher
	changes []string
	errors  []error
}

func newWatcherFixture(t *testing.T, content string) *watcherFixture {
	w := &watcherFixture{t: t, path: filepath.Join(t.TempDir(), "keys.ini")}
	w.write(content)
	keys, err := keyring.LoadFile(w.path)
	must.NoError(t, err)
	w.ring, err = keyring.NewRing(keys)
	must.NoError(t, err)
	w.watcher = keyring.NewWatcher(w.path, w.ring,
		func(from, to keyring.Keys) { w.changes = append(w.changes, from.String()+" -> "+to.String()) },
		func(err error) { w.errors = append(w.errors, err) })
	return w
}

func (w *watcherFixture) write(content string) {
	must.NoError(w.t, os.WriteFile(w.path, []byte(content), 0o600))
}

func TestWatcherAppliesEachRotationStep(t *testing.T) {
	w := newWatcherFixture(t, keyFile(1, "1"))
	w.watcher.Check()
	must.SliceEmpty(t, w.changes)
	for _, step := range []string{keyFile(1, "1", "2"), keyFile(2, "1", "2"), keyFile(2, "2")} {
		w.write(step)
		w.watcher.Check()
		w.watcher.Check()
	}
	must.Eq(t, []string{
		"active=1 accepted=1 -> active=1 accepted=1,2",
		"active=1 accepted=1,2 -> active=2 accepted=1,2",
		"active=2 accepted=1,2 -> active=2 accepted=2",
	}, w.changes)
	must.SliceEmpty(t, w.errors)
	must.Eq(t, 2, w.ring.Load().Active)
}

func TestWatcherKeepsKeysOnInvalidFile(t *testing.T) {
	w := newWatcherFixture(t, keyFile(1, "1"))
	before := w.ring.Load()
	for _, invalid := range []string{"[keys\n", keyFile(2, "2"), keyFile(1, "1/9")} {
		w.write(invalid)
		w.watcher.Check()
		w.watcher.Check()
	}
	must.NoError(t, os.Remove(w.path))
	w.watcher.Check()
	w.watcher.Check()
	must.Len(t, 4, w.errors)
	must.Eq(t, before, w.ring.Load())
	w.write(keyFile(1, "1", "2"))
	w.watcher.Check()
	must.Len(t, 1, w.changes)
}
