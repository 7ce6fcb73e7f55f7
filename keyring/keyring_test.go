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

// text returns a key file. Each generation's secret follows from its number,
// and from a mark that makes another secret.
func text(active int, generations ...string) string {
	content := fmt.Sprintf("[keys]\nactive = %d\n", active)
	for _, g := range generations {
		number, mark, _ := strings.Cut(g, "/")
		secret := strings.Repeat(number+mark, 64)[:64]
		content += fmt.Sprintf("\n[key %s]\nsecret = %s\n", number, secret)
	}
	return content
}

func parse(t *testing.T, content string) keyring.Keys {
	keys, err := keyring.Parse("keys.ini", []byte(content))
	must.NoError(t, err)
	return keys
}

func TestInvalidKeyFiles(t *testing.T) {
	secret := strings.Repeat("ab", 32)
	cases := map[string]string{
		"no active":        "[key 1]\nsecret = " + secret + "\n",
		"active of no key": text(2, "1"),
		"no key":           "[keys]\nactive = 1\n",
		"three keys":       text(1, "1", "2", "3"),
		"generation":       text(1, "1", "8"),
		"short secret":     "[keys]\nactive = 1\n[key 1]\nsecret = " + secret[2:] + "\n",
		"unknown key":      text(1, "1") + "sceret = " + secret + "\n",
		"unknown section":  text(1, "1") + "[kye 2]\nsecret = " + secret + "\n",
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
	var file *keyring.FileError
	must.True(t, errors.As(err, &file))
}

func TestSecretsAreNeverPrinted(t *testing.T) {
	keys := parse(t, text(1, "1", "2"))
	must.Eq(t, "active=1 accepted=1,2", keys.String())
	must.Eq(t, "[key 1 key 2]", fmt.Sprint(keys.Keys))
	must.Eq(t, "key 1", fmt.Sprintf("%#v", keys.Keys[0]))
}

func TestStepsOfARotation(t *testing.T) {
	cases := map[string]struct {
		from, to string
		allowed  bool
	}{
		"add":                {text(1, "1"), text(1, "1", "2"), true},
		"use":                {text(1, "1", "2"), text(2, "1", "2"), true},
		"drop":               {text(2, "1", "2"), text(2, "2"), true},
		"same":               {text(1, "1", "2"), text(1, "2", "1"), true},
		"add and use":        {text(1, "1"), text(2, "1", "2"), false},
		"replace":            {text(1, "1"), text(2, "2"), false},
		"use and drop":       {text(1, "1", "2"), text(2, "2"), false},
		"new secret":         {text(1, "1"), text(1, "1/9"), false},
		"new unused secret":  {text(1, "1", "2"), text(1, "1", "2/9"), false},
		"replace the spare":  {text(1, "1", "2"), text(1, "1", "3"), true},
		"back to the former": {text(2, "1", "2"), text(1, "1", "2"), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := parse(t, c.from).CheckRotation(parse(t, c.to))
			must.Eq(t, c.allowed, err == nil)
		})
	}
}

// watched is a watcher of a file whose calls are noted.
type watched struct {
	t       *testing.T
	path    string
	ring    *keyring.Ring
	watcher *keyring.Watcher
	changes []string
	errors  []error
}

func newWatched(t *testing.T, content string) *watched {
	w := &watched{t: t, path: filepath.Join(t.TempDir(), "keys.ini")}
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

func (w *watched) write(content string) {
	must.NoError(w.t, os.WriteFile(w.path, []byte(content), 0o600))
}

func TestWatcherTakesEachStep(t *testing.T) {
	w := newWatched(t, text(1, "1"))
	w.watcher.Check()
	must.SliceEmpty(t, w.changes)
	for _, step := range []string{text(1, "1", "2"), text(2, "1", "2"), text(2, "2")} {
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

func TestWatcherKeepsKeysWhenTheFileIsBad(t *testing.T) {
	w := newWatched(t, text(1, "1"))
	before := w.ring.Load()
	for _, bad := range []string{"[keys\n", text(2, "2"), text(1, "1/9")} {
		w.write(bad)
		w.watcher.Check()
		w.watcher.Check()
	}
	must.NoError(t, os.Remove(w.path))
	w.watcher.Check()
	w.watcher.Check()
	must.Len(t, 4, w.errors)
	must.Eq(t, before, w.ring.Load())
	w.write(text(1, "1", "2"))
	w.watcher.Check()
	must.Len(t, 1, w.changes)
}
