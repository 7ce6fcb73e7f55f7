package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// restartDelay is the time between the exit of a process and its restart.
	restartDelay = 300 * time.Millisecond
	// terminationGrace is the time between SIGTERM and SIGKILL.
	terminationGrace = 6 * time.Second
)

// process supervises one process of the system under test and restarts it when
// it exits.
type process struct {
	name, binary, command, settings string
	log                             *os.File
	// onUnexpectedExit is called with the process's name when it ends although it was not
	// told to.
	onUnexpectedExit func(name string)

	mu      sync.Mutex
	current *exec.Cmd
	// toldToEnd reports that the current process was killed or told to stop, and
	// loggedBefore is the size of the log when it started.
	toldToEnd    bool
	loggedBefore int64
	stopped      bool
	done         chan struct{}
}

func startProcess(binary, command, dir, name string, settings []byte, onUnexpectedExit func(name string)) (*process, error) {
	p := &process{
		name: name, binary: binary, command: command, settings: filepath.Join(dir, name+".json"), done: make(chan struct{}),
		onUnexpectedExit: onUnexpectedExit,
	}
	if err := os.WriteFile(p.settings, settings, 0o600); err != nil {
		return nil, errors.WithStack(err)
	}
	var err error
	if p.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := p.start(); err != nil {
		return nil, err
	}
	go p.supervise()
	return p, nil
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = exec.Command(p.binary, p.command, "-settings", p.settings)
	p.current.Stdout, p.current.Stderr = p.log, p.log
	p.toldToEnd, p.loggedBefore = false, p.logSize()
	return errors.WithStack(p.current.Start())
}

func (p *process) supervise() {
	defer close(p.done)
	for {
		p.mu.Lock()
		current := p.current
		p.mu.Unlock()
		_ = current.Wait() // The process logs why it ended.
		p.mu.Lock()
		expected := p.toldToEnd || p.hungUpBeforeMain(current)
		p.mu.Unlock()
		if !expected {
			p.onUnexpectedExit(p.name)
		}
		time.Sleep(restartDelay)
		p.mu.Lock()
		stopped := p.stopped
		p.mu.Unlock()
		if stopped || p.start() != nil {
			return
		}
	}
}

// hungUpBeforeMain reports whether a process was ended by a SIGHUP before it wrote its first
// line. No program can handle a signal before it has run an instruction of its own.
func (p *process) hungUpBeforeMain(ended *exec.Cmd) bool {
	status, ok := ended.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGHUP && p.logSize() == p.loggedBefore
}

// logSize returns the size of the log in bytes, or 0 if it cannot be told.
func (p *process) logSize() int64 {
	info, err := p.log.Stat()
	if err != nil {
		return 0
	}
	return info.Size()
}

// signal sends a signal to the current process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.toldToEnd = p.toldToEnd || s == syscall.SIGKILL || s == syscall.SIGTERM
	// The error is ignored: a process that has just ended is restarted anyway.
	_ = p.current.Process.Signal(s)
}

// terminate sends SIGTERM and, after terminationGrace, SIGKILL, as the
// platform does.
func (p *process) terminate() {
	p.mu.Lock()
	stopping := p.current
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	time.AfterFunc(terminationGrace, func() {
		_ = stopping.Process.Kill() // Usually the process has already ended.
	})
}

// stop kills the process and ends its supervision.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
	_ = p.log.Close() // Only the process writes to the log, so no data is pending here.
}
