package inifile_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/inifile"
)

// readAll reads every setting that the files of the tests may contain.
func readAll(content string) (*inifile.File, error) {
	f, err := inifile.Parse("f.ini", []byte(content))
	if err != nil {
		return nil, err
	}
	f.Required("s", "name", "a name")
	f.Number("s", "count", 1, 1, 9)
	f.Duration("s", "wait", time.Second, 0, time.Minute)
	f.Bool("s", "flag", false)
	f.OneOf("s", "state", "in", "in", "out")
	f.AddrPort("s", "address", "IP:port")
	f.Prefixes("s", "networks", "networks")
	f.List("s", "words")
	return f, f.Finish()
}

const valid = "[s]\nname = a#b %(x)s\naddress = 10.0.0.1:1\nnetworks = 10.0.0.0/8, 192.168.0.0/16\n"

func TestErrorsAreOneLineWithLocation(t *testing.T) {
	cases := map[string]struct{ content, want string }{
		"unknown section":    {valid + "[t]\nx = 1\n", `f.ini: [t] is not known; allowed is one of [s]`},
		"unknown key":        {valid + "nmae = 1\n", `f.ini: [s] nmae = "1" is not known; allowed is one of name, count, wait, flag, state, address, networks, words`},
		"repeated section":   {valid + "[s]\ncount = 1\n", `f.ini: [s] is there more than once; allowed is one section of a name`},
		"repeated key":       {valid + "name = b\n", `f.ini: [s] name = "a#b %(x)s" is there more than once; allowed is one value for a key`},
		"key before section": {"x = 1\n" + valid, `f.ini: x = "1" is not known; allowed is a key within a section`},
		"missing":            {"[s]\naddress = 10.0.0.1:1\nnetworks = ::/0\n", `f.ini: [s] name is missing; allowed is a name`},
		"empty":              {"[s]\nname =\n", `f.ini: [s] name = "" is not valid; allowed is a name`},
		"number":             {valid + "count = 10\n", `f.ini: [s] count = "10" is not valid; allowed is a whole number, 1 to 9`},
		"duration":           {valid + "wait = 5\n", `f.ini: [s] wait = "5" is not valid; allowed is a duration with its unit, 0s to 1m0s`},
		"bool":               {valid + "flag = maybe\n", `f.ini: [s] flag = "maybe" is not valid; allowed is yes or no`},
		"one of":             {valid + "state = gone\n", `f.ini: [s] state = "gone" is not valid; allowed is in or out`},
		"address":            {"[s]\nname = a\naddress = host:1\n", `f.ini: [s] address = "host:1" is not valid; allowed is IP:port`},
		"no section":         {"", `f.ini: [s] name is missing; allowed is a name`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := readAll(c.content)
			must.EqError(t, err, c.want)
		})
	}
}

func TestUnreadableFileIsOneLine(t *testing.T) {
	_, err := readAll("[s\nname")
	must.Error(t, err)
	must.False(t, strings.Contains(err.Error(), "\n"))
	must.StrHasPrefix(t, "f.ini: cannot be read", err.Error())
}

func TestValuesAreReadVerbatim(t *testing.T) {
	f, err := readAll(valid + "words = a, b c\n; comment\ncount = 3 ; three\n")
	must.NoError(t, err)
	must.Eq(t, "a#b %(x)s", f.Text("s", "name", ""))
	must.Eq(t, []string{"a", "b", "c"}, f.List("s", "words"))
	must.Eq(t, 3, f.Number("s", "count", 1, 1, 9))
}

func TestHiddenValuesStayOutOfErrors(t *testing.T) {
	f, err := inifile.Parse("k.ini", []byte("[key 1]\nsecert = hunter2\n"))
	must.NoError(t, err)
	f.HideValues()
	f.Text("key 1", "secret", "")
	must.StrNotContains(t, f.Finish().Error(), "hunter2")
}
