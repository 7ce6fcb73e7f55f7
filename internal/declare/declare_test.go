package declare_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/declare"
)

const zones = "[mid-1]\nregion = midlands\nnumber = 1\nstate = in\n"

const proofs = "[quillhaven/proofs]\naddress = 192.0.2.1:443\nslots = 5\nconnections = 2000\nzones = mid-1\n"

// writeFiles writes the files, keyed by path, to a new folder and returns it.
func writeFiles(t *testing.T, files map[string]string) string {
	folder := t.TempDir()
	for name, content := range files {
		path := filepath.Join(folder, name)
		must.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		must.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	}
	return folder
}

func TestInvalidDeclarations(t *testing.T) {
	cases := map[string]struct {
		files map[string]string
		want  string
	}{
		"no files": {nil, "has no *.service.ini and no zones.ini"},
		"no zones": {map[string]string{"a.service.ini": proofs}, "declares no availability zone"},
		"undeclared zone": {
			map[string]string{"zones.ini": zones, "a.service.ini": strings.Replace(proofs, "mid-1", "mid-2", 1)},
			`a.service.ini: [quillhaven/proofs] zones = "mid-2" is not valid; allowed is names in zones.ini: mid-1`,
		},
		"address of another": {
			map[string]string{"zones.ini": zones, "a.service.ini": proofs, "b.service.ini": strings.Replace(proofs, "quillhaven", "teifi", 1)},
			`b.service.ini: [teifi/proofs] address = "192.0.2.1:443" is not valid; allowed is one of its own; [quillhaven/proofs] in `,
		},
		"service twice": {
			map[string]string{"zones.ini": zones, "a.service.ini": proofs, "b/a.service.ini": proofs},
			`b/a.service.ini: [quillhaven/proofs] is not valid; allowed is a name of its own; [quillhaven/proofs] in `,
		},
		"zone twice": {
			map[string]string{"zones.ini": zones, "b/zones.ini": zones, "a.service.ini": proofs},
			`[mid-1] is not valid; allowed is a name of its own`,
		},
		"zone number twice": {
			map[string]string{"zones.ini": zones + strings.Replace(zones, "mid-1", "mid-2", 1)},
			`[mid-2] number = "1" is not valid`,
		},
		"zone without state": {
			map[string]string{"zones.ini": strings.Replace(zones, "state = in\n", "", 1)},
			`zones.ini: [mid-1] state is missing; allowed is in or out`,
		},
		"section": {
			map[string]string{"zones.ini": zones, "a.service.ini": "[proofs]\n"},
			`[proofs] is not valid; allowed is [customer/name]`,
		},
		"slots": {
			map[string]string{"zones.ini": zones, "a.service.ini": strings.Replace(proofs, "= 5", "= 0", 1)},
			`slots = "0" is not valid; allowed is a whole number, 1 to 10000`,
		},
		"stream": {
			map[string]string{"zones.ini": zones, "a.service.ini": proofs + "streams = feed\n"},
			`streams = "feed" is not valid`,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := declare.Load(writeFiles(t, c.files))
			must.ErrorContains(t, err, c.want)
			must.StrNotContains(t, err.Error(), "\n")
		})
	}
}

func TestTwoCustomersMayUseOneServiceName(t *testing.T) {
	other := strings.NewReplacer("quillhaven", "teifi", ".1:", ".2:").Replace(proofs)
	folder := writeFiles(t, map[string]string{
		"zones.ini":         zones,
		"q/p.service.ini":   proofs,
		"all.service.ini":   other + "drain = 5m\nidempotent = yes\nstreams = /feed, /a\n",
		"readme.ini.backup": "not read",
	})
	d, err := declare.Load(folder)
	must.NoError(t, err)
	must.Len(t, 2, d.Services)
	service, found := d.Service(fleet.ServiceID{Customer: "teifi", Name: "proofs"})
	must.True(t, found)
	must.True(t, service.Idempotent)
	must.Eq(t, []string{"/a", "/feed"}, service.Streams)
	must.Eq(t, "5m0s", service.Drain.String())
}
