// Package scenario is a small test language of verbs over a world of real
// processes. scenarios/README.md lists the verbs.
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
	seed     = 5_000
	sprayLag = time.Second
)

// stageKey is the key of the stage among a script's values.
type stageKey struct{}

// stage is the state of one running script.
type stage struct {
	config  world.Config
	world   *world.World
	ctx     context.Context
	cancel  context.CancelFunc
	loads   map[string]*callers.LoadGenerator
	excuses []callers.Disruption
	sinks   map[string]*world.Sink
	marks   map[string]mark
	// fallen holds the fallen requests of a host at a mark.
	fallen map[string]int
}

// mark remembers how many requests hosts had begun.
type mark struct {
	nodes []*world.Node
	begun int
}

// Params returns the parameters for the scripts. Each runs the binary.
func Params(binary string, files []string) testscript.Params {
	return testscript.Params{
		Files: files,
		Cmds:  commands(),
		Setup: func(env *testscript.Env) error {
			s, err := newStage(binary)
			if err != nil {
				return err
			}
			env.Values[stageKey{}] = s
			env.Defer(s.close)
			return nil
		},
	}
}

func newStage(binary string) (*stage, error) {
	folder, err := os.MkdirTemp("", "scenario-")
	if err != nil {
		return nil, err
	}
	s := &stage{
		config: world.Config{Binary: binary, Folder: folder, Seed: seed, FabricUpdateDelay: sprayLag},
		loads:  make(map[string]*callers.LoadGenerator),
		sinks:  make(map[string]*world.Sink),
		marks:  make(map[string]mark),
		fallen: make(map[string]int),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// close ends all that the script started.
func (s *stage) close() {
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

// zone declares a zone that is not declared yet.
func (s *stage) zone(name string) {
	for _, zone := range s.config.Zones {
		if zone.Name == name {
			return
		}
	}
	number := uint8(len(s.config.Zones) + 1)
	s.config.Zones = append(s.config.Zones, fleet.Zone{Name: name, Region: "region", Number: number})
}

// open starts the world at the first verb that needs it.
func (s *stage) open() error {
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

// node returns a node by its name.
func (s *stage) node(name string) (*world.Node, error) {
	if s.world != nil {
		if node := s.world.Node(name); node != nil {
			return node, nil
		}
	}
	return nil, &UsageError{Verb: "node", Argument: name, Allowed: "the name of a started node"}
}
