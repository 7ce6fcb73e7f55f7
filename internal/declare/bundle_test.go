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

// fullSize is the number of services to design for.
const fullSize = 1_600

func serviceText(i, slots int) string {
	return fmt.Sprintf("[customer-%d/service-%d]\naddress = 10.%d.%d.1:443\nslots = %d\nconnections = 2000\nzones = mid-1\ndrain = 2h\nstreams = /feed\n",
		i%7, i, i/250, i%250, slots)
}

// fullFolder returns a folder with n services, 20 in a file.
func fullFolder(tb testing.TB, n int) string {
	folder := tb.TempDir()
	files := map[string]*strings.Builder{}
	for i := range n {
		name := fmt.Sprintf("team-%d.service.ini", i/20)
		if files[name] == nil {
			files[name] = &strings.Builder{}
		}
		files[name].WriteString(serviceText(i, 5))
	}
	for name, text := range files {
		must.NoError(tb, os.WriteFile(filepath.Join(folder, name), []byte(text.String()), 0o600))
	}
	must.NoError(tb, os.WriteFile(filepath.Join(folder, "zones.ini"), []byte(zones), 0o600))
	return folder
}

func bundleOf(t require, d *declare.Declarations, revision uint64) *declare.Bundle {
	b, err := declare.NewBundle(d, revision)
	must.NoError(t, err)
	return b
}

// require is what must needs of a test.
type require interface {
	Helper()
	Fatalf(string, ...any)
}

func TestBundleDoesNotDependOnFiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "services")
		order := rapid.Permutation(indices(n)).Draw(t, "order")
		perFile := rapid.IntRange(1, n).Draw(t, "per file")
		first := bundleOf(t, loadOrder(t, indices(n), 1), 7)
		second := bundleOf(t, loadOrder(t, order, perFile), 7)
		must.Eq(t, string(first.Root), string(second.Root))
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

// loadOrder writes the services in the order, perFile in a file.
func loadOrder(t *rapid.T, order []int, perFile int) *declare.Declarations {
	folder, err := os.MkdirTemp("", "bundle-")
	must.NoError(t, err)
	defer func() { _ = os.RemoveAll(folder) }()
	for start := 0; start < len(order); start += perFile {
		var text strings.Builder
		for _, i := range order[start:min(start+perFile, len(order))] {
			text.WriteString(serviceText(i, 5))
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
	d, err := declare.Load(fullFolder(t, fullSize))
	must.NoError(t, err)
	before := bundleOf(t, d, 1)
	for i := 0; i < fullSize; i += 100 {
		d.Services[i].Slots++
		after := bundleOf(t, d, 2)
		changed := after.Changed(before.Manifest)
		must.Len(t, 1, changed)
		ref, found := after.Manifest.PartFor(d.Services[i].ID)
		must.True(t, found)
		must.Eq(t, changed[0], ref)
		before = after
	}
}

func TestValuesStayUnderThePlatformsLimit(t *testing.T) {
	d, err := declare.Load(fullFolder(t, 120))
	must.NoError(t, err)
	for i := range d.Services {
		d.Services[i].Streams = []string{"/" + strings.Repeat("x", 300<<10)}
	}
	b := bundleOf(t, d, 1)
	must.LessEq(t, platform.MaxValue, b.Largest())
	must.LessEq(t, platform.MaxValue, len(b.Root))
	ref, found := b.Manifest.PartFor(d.Services[0].ID)
	must.True(t, found)
	must.NotEq(t, fleet.PartName(d.Services[0].ID, fleet.PartCount), ref.Name)

	d.Services = d.Services[:1]
	d.Services[0].Streams = []string{"/" + strings.Repeat("x", platform.MaxValue)}
	_, err = declare.NewBundle(d, 1)
	must.ErrorContains(t, err, "allowed are 1048576")
}

func BenchmarkLoad(b *testing.B) {
	folder := fullFolder(b, fullSize)
	for b.Loop() {
		_, err := declare.Load(folder)
		must.NoError(b, err)
	}
}

func BenchmarkBundle(b *testing.B) {
	d, err := declare.Load(fullFolder(b, fullSize))
	must.NoError(b, err)
	var bundle *declare.Bundle
	for b.Loop() {
		bundle, err = declare.NewBundle(d, 1)
		must.NoError(b, err)
	}
	b.ReportMetric(float64(len(bundle.Root)), "manifest_bytes")
	b.ReportMetric(float64(bundle.Largest()), "largest_part_bytes")
	b.ReportMetric(float64(len(bundle.Parts)), "parts")
}

func BenchmarkValidate(b *testing.B) {
	d, err := declare.Load(fullFolder(b, fullSize))
	must.NoError(b, err)
	for b.Loop() {
		must.NoError(b, fleet.Validate(d.Zones, d.Services))
	}
}
