// Package scenarios_test runs the scripts in this folder against real
// processes.
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

// maxParallel is the number of scripts that run at the same time.
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

// subtest runs a script within the current test instead of a parallel subtest,
// so that the script starts only after the test has acquired the semaphore.
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
