package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// startWindow is the time after a start, and after the signals are caught, in which early
	// signals are sent.
	startWindow = 20 * time.Millisecond
	// maxUptime is the longest time from the start of a process to its stop.
	maxUptime = time.Second
	// maxHangupDelay is the longest time from SIGTERM to a SIGHUP that follows it.
	maxHangupDelay = 30 * time.Millisecond
)

// StopsReport is the result of Stops.
type StopsReport struct {
	// Stops is the number of processes that were told to stop, Early the number of those that
	// were within startWindow after their start, and Caught within startWindow after their
	// package signals was initialised.
	Stops, Early, Caught int
	// EarlyHangups is the number of processes that got a SIGHUP within one of these windows,
	// and LateHangups of those that got one while they stopped.
	EarlyHangups, LateHangups int
	// BeforeCatch is the number of processes that a signal ended before the package signals
	// was initialised, which no Go program can avoid.
	BeforeCatch int
	// Served is the number of requests served meanwhile.
	Served int
	// Failures describes each process that did not end with status 0 in its grace period.
	Failures []string
}

// stops is the state of Stops.
type stops struct {
	*run
	count     int64
	begun     atomic.Int64
	processes []*stoppable

	mu     sync.Mutex
	report StopsReport
}

// stoppable is a process that is stopped and started again and again.
type stoppable struct {
	name, command, settings string
	log                     *os.File
	random                  *rand.Rand
}

// Stops starts the system, stops and restarts its processes under load until count of them
// were told to stop, and checks how each ends. config gives no faults and no restores. It
// returns an error if the system cannot be started.
func Stops(ctx context.Context, config Config, count int) (StopsReport, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, storeAddress, err := newRun(ctx, config)
	if err != nil {
		return StopsReport{}, err
	}
	s := &stops{run: r, count: int64(count)}
	defer r.stop()
	if err := r.start(storeAddress, s.add); err != nil {
		return StopsReport{}, err
	}
	var group sync.WaitGroup
	for _, p := range s.processes {
		group.Go(func() { s.play(p) })
	}
	group.Wait()
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	s.report.Served = r.checker.served
	return s.report, nil
}

// add prepares a process; play starts it.
func (s *stops) add(command, name string, settings []byte) error {
	p := &stoppable{
		name: name, command: command, settings: filepath.Join(s.Dir, name+".json"),
		random: rand.New(rand.NewPCG(s.Seed, uint64(len(s.processes))+2)),
	}
	if err := os.WriteFile(p.settings, settings, 0o600); err != nil {
		return errors.WithStack(err)
	}
	var err error
	p.log, err = os.Create(filepath.Join(s.Dir, name+".log"))
	s.processes = append(s.processes, p)
	return errors.WithStack(err)
}

// play starts and stops a process until enough have been stopped.
func (s *stops) play(p *stoppable) {
	defer func() { _ = p.log.Close() }() // The processes have ended.
	for s.ctx.Err() == nil && s.begun.Add(1) <= s.count {
		if err := s.stopOnce(p); err != nil {
			s.mu.Lock()
			s.report.Failures = append(s.report.Failures, p.name+": "+err.Error())
			s.mu.Unlock()
		}
	}
}

// UncleanEndError reports a process that did not end in order after it was told to stop.
type UncleanEndError struct {
	Cause string
	// Uptime is the time from the start to the signal to stop, Took that from there to the end.
	Uptime, Took time.Duration
	// Log is the end of the process's log.
	Log string
}

// Error implements error.
func (e *UncleanEndError) Error() string {
	return fmt.Sprintf("%s, told to stop after %v, ended after %v: %s", e.Cause, e.Uptime, e.Took, e.Log)
}

// catchTrace is what the program writes once its package signals is initialised, if it is
// started with GODEBUG=inittrace=1.
var catchTrace = []byte("/internal/signals @")

// output holds what a process writes, and passes it on to its log.
type output struct {
	log     io.Writer
	written []byte
	// caught is closed once the signals of the process are caught.
	caught chan struct{}
}

// Write implements io.Writer.
func (o *output) Write(data []byte) (int, error) {
	before := bytes.Contains(o.written, catchTrace)
	o.written = append(o.written, data...)
	if !before && bytes.Contains(o.written, catchTrace) {
		close(o.caught)
	}
	return o.log.Write(data)
}

// plan says when a process gets which signals.
type plan struct {
	// early is set if the process is told to stop within startWindow. The window begins at
	// the start, or if fromCatch is set, once signals are caught.
	early, fromCatch        bool
	uptime                  time.Duration
	earlyHangup, lateHangup bool
	earlyDelay, lateDelay   time.Duration
}

func newPlan(random *rand.Rand) plan {
	p := plan{
		early: random.IntN(3) == 0, fromCatch: random.IntN(2) == 0, uptime: time.Duration(random.Int64N(int64(maxUptime))),
		earlyHangup: random.IntN(3) == 0, lateHangup: random.IntN(3) == 0,
		earlyDelay: time.Duration(random.Int64N(int64(startWindow))), lateDelay: time.Duration(random.Int64N(int64(maxHangupDelay))),
	}
	if p.early {
		p.uptime = time.Duration(random.Int64N(int64(startWindow)))
	}
	return p
}

func (s *stops) countPlan(p *plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Stops++
	s.report.Early += countIf(p.early && !p.fromCatch)
	s.report.Caught += countIf(p.early && p.fromCatch)
	s.report.EarlyHangups += countIf(p.earlyHangup)
	s.report.LateHangups += countIf(p.lateHangup)
}

// stopOnce starts a process and stops it as a random plan says.
func (s *stops) stopOnce(p *stoppable) error {
	plan := newPlan(p.random)
	s.countPlan(&plan)
	out := &output{log: p.log, caught: make(chan struct{})}
	process := exec.Command(s.Binary, p.command, "-settings", p.settings)
	process.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	process.Stdout, process.Stderr = out, out
	if err := process.Start(); err != nil {
		return errors.WithStack(err)
	}
	if plan.fromCatch {
		select {
		case <-out.caught:
		case <-time.After(terminationGrace): // The process is killed below.
		}
	}
	started := time.Now()
	// Errors of signals are ignored: how the process has ended is checked below.
	if plan.earlyHangup {
		sleep(s.ctx, plan.earlyDelay)
		_ = process.Process.Signal(syscall.SIGHUP)
	}
	sleep(s.ctx, plan.uptime-time.Since(started))
	told := time.Now()
	_ = process.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(terminationGrace, func() { _ = process.Process.Kill() })
	defer kill.Stop()
	if plan.lateHangup {
		sleep(s.ctx, plan.lateDelay)
		_ = process.Process.Signal(syscall.SIGHUP)
	}
	if err := process.Wait(); err != nil {
		return s.checkEnd(err, out.written, told.Sub(started), time.Since(told))
	}
	return nil
}

// checkEnd returns an *UncleanEndError, unless a signal ended the process before it was caught.
func (s *stops) checkEnd(end error, written []byte, uptime, took time.Duration) error {
	var exit *exec.ExitError
	if errors.As(end, &exit) && wasEndedBeforeCatch(exit, written) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.report.BeforeCatch++
		return nil
	}
	const maxLog = 4000 // bytes, enough for a report of the race detector
	return errors.WithStack(&UncleanEndError{Cause: end.Error(), Uptime: uptime, Took: took, Log: string(written[max(0, len(written)-maxLog):])})
}

// wasEndedBeforeCatch reports whether the default action of SIGTERM or SIGHUP ended a process
// before its trace named the package signals.
func wasEndedBeforeCatch(exit *exec.ExitError, written []byte) bool {
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && (status.Signal() == syscall.SIGTERM || status.Signal() == syscall.SIGHUP) &&
		!bytes.Contains(written, catchTrace)
}

func countIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
