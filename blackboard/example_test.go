package blackboard_test

import (
	"fmt"
	"time"

	"github.com/turmericrock/turmericrock/blackboard"
)

type board struct {
	temperature int
}

type measured struct {
	temperature int
}

func (m measured) Apply(_ time.Time, b *board) { b.temperature = m.temperature }

type alarm struct{}

type thermostat struct{}

func (thermostat) Step(_ time.Time, b *board) []blackboard.Effect {
	if b.temperature > 30 {
		return []blackboard.Effect{alarm{}}
	}
	return nil
}

type printer struct{}

func (printer) Execute(effect blackboard.Effect) { fmt.Printf("%T\n", effect) }

// An event changes the board, a controller returns an effect, and the executor
// carries it out.
func Example() {
	engine := blackboard.New(blackboard.DefaultConfig(), &board{}, printer{}, thermostat{})
	engine.Step(time.Now(), measured{temperature: 20})
	engine.Step(time.Now(), measured{temperature: 31})
	// Output: blackboard_test.alarm
}
