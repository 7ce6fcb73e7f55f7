// Package scenarios_test runs the scripts of this folder over real processes.
package scenarios_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/internal/scenario"
	"github.com/turmericrock/turmericrock/internal/standin/world"
)

// maxParallel bounds the worlds that run side by side.
const maxParallel = 3

func TestScenarios(t *testing.T) {
	binary, err := world.Build(t.TempDir())
	must.NoError(t, err)
	files, err := filepath.Glob("*.txtar")
	must.NoError(t, err)
	semaphore := make(chan struct{}, maxParallel)
	for _, file := range files {
		name := strings.TrimSuffix(file, ".txtar")
		if strings.HasPrefix(name, "cli_") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			testscript.RunT(subtest{t}, scenario.Params(binary, []string{file}))
		})
	}
}

// subtest runs the one script of a test in the test itself, so that the
// script waits for the test's turn.
type subtest struct {
	*testing.T
}

// Parallel implements testscript.T.
func (subtest) Parallel() {}

// Run implements testscript.T.
func (t subtest) Run(_ string, f func(testscript.T)) {
	f(t)
}

// Verbose implements testscript.T.
func (subtest) Verbose() bool {
	return testing.Verbose()
}
