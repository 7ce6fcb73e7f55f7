package inifile_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzParse checks that every error message is one line that begins with the
// name of the file.
func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add(valid + "count = 3\nwait = 1s\nflag = yes\nstate = out\nwords = a, b\n")
	f.Add("[s]\n[s]\nname\n")
	f.Add("name = \"a\nb\"\n[s.t]\n")
	f.Add("[s]\nname = `a\nb`\n")
	f.Fuzz(func(t *testing.T, content string) {
		_, err := readAll(content)
		if err == nil {
			return
		}
		must.StrHasPrefix(t, "f.ini: ", err.Error())
		must.False(t, strings.ContainsAny(err.Error(), "\n\r"))
	})
}
