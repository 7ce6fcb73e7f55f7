// Package scenario implements a scripting language for end-to-end tests. Its
// verbs start, change and check a fleet of real processes on loopback.
// scenarios/README.md lists the verbs.
package scenario

import (
	"context"
	"os"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/turmericrock/turmericrock/fleet"
	"github.com/turmericrock/turmericrock/internal/standin/callers"
	"github.com/turmericrock/turmericrock/internal/standin/world"
)

const (
	seed               = 5_000
	fabricDetectionLag = time.Second
)

// scriptStateKey is the key of the scriptState in testscript.Env.Values.
type scriptStateKey struct{}

// scriptState is the state of a running script.
type scriptState struct {
	config    world.Config
	world     *world.World
	ctx       context.Context
	cancel    context.CancelFunc
	loads     map[string]*callers.LoadGenerator
	tolerated []callers.Disruption
	sinks     map[string]*world.Sink
	marks     map[string]mark
	// overloadsAtMark holds, by host, the number of requests beyond the
	// capacity of a cold backend server at the last mark.
	overloadsAtMark map[string]int
}

// mark records how many requests the nodes had received when the mark was set.
type mark struct {
	nodes    []*world.Node
	requests int
}

// Params returns the testscript parameters to run the files with the given
// turmericrock binary.
func Params(binary string, files []string) testscript.Params {
	return testscript.Params{
		Files: files,
		Cmds:  commands(),
		Setup: func(env *testscript.Env) error {
			s, err := newScriptState(binary)
			if err != nil {
				return err
			}
			env.Values[scriptStateKey{}] = s
			env.Defer(s.close)
			return nil
		},
	}
}

func newScriptState(binary string) (*scriptState, error) {
	folder, err := os.MkdirTemp("", "scenario-")
	if err != nil {
		return nil, err
	}
	s := &scriptState{
		config:          world.Config{Binary: binary, Folder: folder, Seed: seed, FabricUpdateDelay: fabricDetectionLag},
		loads:           make(map[string]*callers.LoadGenerator),
		sinks:           make(map[string]*world.Sink),
		marks:           make(map[string]mark),
		overloadsAtMark: make(map[string]int),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// close stops everything that the script started and removes its files.
func (s *scriptState) close() {
	s.cancel()
	for _, load := range s.loads {
		load.Stop()
	}
	for _, sink := range s.sinks {
		sink.Close()
	}
	if s.world != nil {
		s.world.Close()
	}
	_ = os.RemoveAll(s.config.Folder)
}

// declareZone adds a zone to the configuration unless it is already there.
func (s *scriptState) declareZone(name string) {
	for _, zone := range s.config.Zones {
		if zone.Name == name {
			return
		}
	}
	number := uint8(len(s.config.Zones) + 1)
	s.config.Zones = append(s.config.Zones, fleet.Zone{Name: name, Region: "region", Number: number})
}

// startWorld starts the simulated environment when the first verb needs it.
// Services and zones cannot be declared afterwards.
func (s *scriptState) startWorld() error {
	if s.world != nil {
		return nil
	}
	w, err := world.New(s.config)
	if err != nil {
		return err
	}
	s.world = w
	return nil
}

// node returns the started node with the given ID.
func (s *scriptState) node(name string) (*world.Node, error) {
	if s.world != nil {
		if node := s.world.Node(name); node != nil {
			return node, nil
		}
	}
	return nil, &UsageError{Verb: "node", Argument: name, Allowed: "the name of a started node"}
}
