package declare_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/declare"
	"github.com/turmericrock/turmericrock/platform"
)

// designServiceCount is the number of services that the system is designed for.
const designServiceCount = 1_600

func serviceSection(i, slots int) string {
	return fmt.Sprintf("[customer-%d/service-%d]\naddress = 10.%d.%d.1:443\nslots = %d\nconnections = 2000\nzones = mid-1\ndrain = 2h\nstreams = /feed\n",
		i%7, i, i/250, i%250, slots)
}

// writeServices returns a new folder that declares n services, 20 per file.
func writeServices(tb testing.TB, n int) string {
	folder := tb.TempDir()
	files := map[string]*strings.Builder{}
	for i := range n {
		name := fmt.Sprintf("team-%d.service.ini", i/20)
		if files[name] == nil {
			files[name] = &strings.Builder{}
		}
		files[name].WriteString(serviceSection(i, 5))
	}
	for name, text := range files {
		must.NoError(tb, os.WriteFile(filepath.Join(folder, name), []byte(text.String()), 0o600))
	}
	must.NoError(tb, os.WriteFile(filepath.Join(folder, "zones.ini"), []byte(zones), 0o600))
	return folder
}

func newBundle(t testingT, d *declare.Declarations, revision uint64) *declare.Bundle {
	b, err := declare.NewBundle(d, revision)
	must.NoError(t, err)
	return b
}

// testingT is the part of *testing.T and *rapid.T that package must uses.
type testingT interface {
	Helper()
	Fatalf(string, ...any)
}

func TestBundleDoesNotDependOnFileLayout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "services")
		order := rapid.Permutation(indices(n)).Draw(t, "order")
		perFile := rapid.IntRange(1, n).Draw(t, "per file")
		first := newBundle(t, loadInOrder(t, indices(n), 1), 7)
		second := newBundle(t, loadInOrder(t, order, perFile), 7)
		must.Eq(t, string(first.EncodedManifest), string(second.EncodedManifest))
		must.Eq(t, first.Parts, second.Parts)
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// loadInOrder writes the services in the given order, perFile to a file, and
// loads them.
func loadInOrder(t *rapid.T, order []int, perFile int) *declare.Declarations {
	folder, err := os.MkdirTemp("", "bundle-")
	must.NoError(t, err)
	defer func() { _ = os.RemoveAll(folder) }()
	for start := 0; start < len(order); start += perFile {
		var text strings.Builder
		for _, i := range order[start:min(start+perFile, len(order))] {
			text.WriteString(serviceSection(i, 5))
		}
		path := filepath.Join(folder, fmt.Sprintf("%d.service.ini", start))
		must.NoError(t, os.WriteFile(path, []byte(text.String()), 0o600))
	}
	must.NoError(t, os.WriteFile(filepath.Join(folder, "zones.ini"), []byte(zones), 0o600))
	d, err := declare.Load(folder)
	must.NoError(t, err)
	return d
}

func TestChangeOfOneServiceChangesOnePart(t *testing.T) {
	d, err := declare.Load(writeServices(t, designServiceCount))
	must.NoError(t, err)
	before := newBundle(t, d, 1)
	for i := 0; i < designServiceCount; i += 100 {
		d.Services[i].Slots++
		after := newBundle(t, d, 2)
		changed := after.ChangedParts(before.Manifest)
		must.Len(t, 1, changed)
		ref, found := after.Manifest.PartFor(d.Services[i].ID)
		must.True(t, found)
		must.Eq(t, changed[0], ref)
		before = after
	}
}

func TestValuesStayWithinPlatformLimit(t *testing.T) {
	d, err := declare.Load(writeServices(t, 120))
	must.NoError(t, err)
	for i := range d.Services {
		d.Services[i].Streams = []string{"/" + strings.Repeat("x", 300<<10)}
	}
	b := newBundle(t, d, 1)
	must.LessEq(t, platform.MaxValue, b.LargestPart())
	must.LessEq(t, platform.MaxValue, len(b.EncodedManifest))
	ref, found := b.Manifest.PartFor(d.Services[0].ID)
	must.True(t, found)
	must.NotEq(t, fleet.PartName(d.Services[0].ID, fleet.MinPartCount), ref.Name)

	d.Services = d.Services[:1]
	d.Services[0].Streams = []string{"/" + strings.Repeat("x", platform.MaxValue)}
	_, err = declare.NewBundle(d, 1)
	must.ErrorContains(t, err, "allowed are 1048576")
}

func BenchmarkLoad(b *testing.B) {
	folder := writeServices(b, designServiceCount)
	for b.Loop() {
		_, err := declare.Load(folder)
		must.NoError(b, err)
	}
}

func BenchmarkBundle(b *testing.B) {
	d, err := declare.Load(writeServices(b, designServiceCount))
	must.NoError(b, err)
	var bundle *declare.Bundle
	for b.Loop() {
		bundle, err = declare.NewBundle(d, 1)
		must.NoError(b, err)
	}
	b.ReportMetric(float64(len(bundle.EncodedManifest)), "manifest_bytes")
	b.ReportMetric(float64(bundle.LargestPart()), "largest_part_bytes")
	b.ReportMetric(float64(len(bundle.Parts)), "parts")
}

func BenchmarkValidate(b *testing.B) {
	d, err := declare.Load(writeServices(b, designServiceCount))
	must.NoError(b, err)
	for b.Loop() {
		must.NoError(b, fleet.Validate(d.Zones, d.Services))
	}
}
