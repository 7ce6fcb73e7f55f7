package world

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// process is one turmericrock process, which can be restarted with the same
// settings.
type process struct {
	binary string
	role   string
	path   string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// writeSettings writes the settings file. The log file is created beside it.
func (p *process) writeSettings(binary, role, path, settings string) error {
	p.binary, p.role, p.path = binary, role, path
	return errors.WithStack(os.WriteFile(path+".ini", []byte(settings), 0o600))
}

// LogPath returns the path of the process's log file.
func (p *process) LogPath() string {
	return p.path + ".log"
}

// Start starts the process, also again after it has ended.
func (p *process) Start() error {
	log, err := os.OpenFile(p.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.WithStack(err)
	}
	command := exec.Command(p.binary, p.role, "-settings", p.path+".ini")
	command.Stdout = log
	command.Stderr = log
	// The process gets its own process group, so that an interrupt from the
	// terminal does not reach it: the world ends its processes itself.
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

// Running reports whether the process is running.
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

// KillProcess kills the process, even if it is suspended, and waits for its
// exit up to killTimeout.
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

// Stop sends SIGTERM and reports whether the process ended within the timeout.
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

// Suspend suspends the process with SIGSTOP, which the process cannot notice.
func (p *process) Suspend() {
	p.signal(syscall.SIGSTOP)
}

// Resume resumes a suspended process.
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

// pid returns the process ID, or 0 before the first start.
func (p *process) pid() int {
	command, _ := p.current()
	if command == nil {
		return 0
	}
	return command.Process.Pid
}
