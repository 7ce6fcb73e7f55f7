package world

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// process is one turmericrock process. It can be started again with the same
// settings.
type process struct {
	binary string
	role   string
	path   string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// writeSettings writes the settings. The log stands beside them.
func (p *process) writeSettings(binary, role, path, settings string) error {
	p.binary, p.role, p.path = binary, role, path
	return errors.WithStack(os.WriteFile(path+".ini", []byte(settings), 0o600))
}

// LogPath returns the file that holds the process's log.
func (p *process) LogPath() string {
	return p.path + ".log"
}

// Start starts the process. A process that ended may be started again.
func (p *process) Start() error {
	log, err := os.OpenFile(p.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.WithStack(err)
	}
	command := exec.Command(p.binary, p.role, "-settings", p.path+".ini")
	command.Stdout = log
	command.Stderr = log
	// A group of its own keeps a terminal's interrupt from the process, which
	// the world ends itself.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return errors.WithStack(err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.command, p.done = command, done
	p.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// Running reports whether the process lives.
func (p *process) Running() bool {
	command, done := p.current()
	if command == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// KillProcess ends the process at once.
func (p *process) KillProcess() {
	command, done := p.current()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	select {
	case <-done:
	case <-time.After(killTimeout):
	}
}

// Stop asks the process to end gracefully and reports whether it did within
// the time.
func (p *process) Stop(timeout time.Duration) bool {
	command, done := p.current()
	if command == nil {
		return true
	}
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Suspend stops the process without its notice.
func (p *process) Suspend() {
	p.signal(syscall.SIGSTOP)
}

// Resume ends a freeze.
func (p *process) Resume() {
	p.signal(syscall.SIGCONT)
}

func (p *process) signal(signal syscall.Signal) {
	if command, _ := p.current(); command != nil {
		_ = command.Process.Signal(signal)
	}
}

func (p *process) current() (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command, p.done
}

// pid returns the process's ID, or 0 before the first start.
func (p *process) pid() int {
	command, _ := p.current()
	if command == nil {
		return 0
	}
	return command.Process.Pid
}
