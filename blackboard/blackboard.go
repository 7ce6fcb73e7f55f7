// Package blackboard runs controllers over a shared board of typed facts.
//
// One goroutine owns the board: it applies events, runs every controller and
// hands the effects that they decided on to an executor. Controllers get the
// time as an argument, do no I/O and start no goroutine, so the same code
// runs under a test's clock and event order.
package blackboard

import (
	"context"
	"time"
)

// Event is an input that changes the board. B is the board's type.
type Event[B any] interface {
	Apply(now time.Time, board B)
}

// Controller reads and writes the board and returns the effects to carry
// out.
type Controller[B any] interface {
	Step(now time.Time, board B) []Effect
}

// Effect is a typed decision for an Executor.
type Effect any

// Executor carries out effects. It must not block.
type Executor interface {
	Execute(effect Effect)
}

// Config holds the settings of an Engine.
type Config struct {
	// Tick is the longest time between two steps.
	Tick time.Duration
	// QueueSize is the number of events that wait at most.
	QueueSize int
}

// DefaultConfig returns settings that fit both roles.
func DefaultConfig() Config {
	return Config{
		Tick:      50 * time.Millisecond,
		QueueSize: 4096,
	}
}

// Engine owns a board.
type Engine[B any] struct {
	config      Config
	board       B
	controllers []Controller[B]
	executor    Executor
	queue       chan Event[B]
}

// New returns an engine over the board.
func New[B any](config Config, board B, executor Executor, controllers ...Controller[B]) *Engine[B] {
	return &Engine[B]{
		config:      config,
		board:       board,
		controllers: controllers,
		executor:    executor,
		queue:       make(chan Event[B], config.QueueSize),
	}
}

// Post queues an event. It reports false when the queue is full, and the
// event is lost: adapters send state and not differences, so the next one
// makes up for it.
func (e *Engine[B]) Post(event Event[B]) bool {
	select {
	case e.queue <- event:
		return true
	default:
		return false
	}
}

// Deliver queues an event that must not be lost, and waits for room until ctx
// ends.
func (e *Engine[B]) Deliver(ctx context.Context, event Event[B]) {
	select {
	case e.queue <- event:
	case <-ctx.Done():
	}
}

// Step applies the events and runs every controller once.
func (e *Engine[B]) Step(now time.Time, events ...Event[B]) {
	for _, event := range events {
		event.Apply(now, e.board)
	}
	for _, controller := range e.controllers {
		for _, effect := range controller.Step(now, e.board) {
			e.executor.Execute(effect)
		}
	}
}

// Run steps until ctx ends.
func (e *Engine[B]) Run(ctx context.Context) {
	ticker := time.NewTicker(e.config.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.Step(time.Now(), e.drain(nil)...)
		case event := <-e.queue:
			e.Step(time.Now(), e.drain([]Event[B]{event})...)
		}
	}
}

func (e *Engine[B]) drain(events []Event[B]) []Event[B] {
	for {
		select {
		case event := <-e.queue:
			events = append(events, event)
		default:
			return events
		}
	}
}
