// Package blackboard implements the blackboard pattern: controllers that read
// and write shared state, the board.
//
// One goroutine owns the board. It applies events, runs every controller and
// passes the effects that they return to an executor. Controllers get the time
// as an argument, do no I/O and start no goroutines, so that a test can run
// them with its own clock and order of events.
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

// Effect is an action that a controller requests of an Executor.
type Effect any

// Executor carries out effects. It must not block.
type Executor interface {
	Execute(effect Effect)
}

// Config holds the settings of an Engine.
type Config struct {
	// Tick is the maximum time between two steps.
	Tick time.Duration
	// QueueSize is the maximum number of queued events.
	QueueSize int
}

// DefaultConfig returns settings for both roles, entry and agent.
func DefaultConfig() Config {
	return Config{
		Tick:      50 * time.Millisecond,
		QueueSize: 4096,
	}
}

// Engine owns a board and runs the controllers over it.
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

// Post queues an event without blocking. If the queue is full, it drops the
// event and returns false. Callers send full state rather than differences, so
// the next event makes up for a dropped one.
func (e *Engine[B]) Post(event Event[B]) bool {
	select {
	case e.queue <- event:
		return true
	default:
		return false
	}
}

// Deliver queues an event that must not be dropped. It blocks while the queue
// is full, until ctx ends.
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

// Run calls Step whenever events are queued and on every tick, until ctx ends.
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
