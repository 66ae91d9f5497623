package cluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is one program under test. Set the exported fields before Start.
type Process struct {
	Name string
	Path string
	Args []string
	Dir  string // where its log goes, as NAME.log

	Descriptors int // open descriptors that it may have; 0 for no limit of its own

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// NotRunningError says that a process was signalled that is not running.
type NotRunningError struct{ Name string }

// Error implements error.
func (e *NotRunningError) Error() string { return fmt.Sprintf("process %q is not running", e.Name) }

// Start starts the process, its output appended to its log.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := p.command()
	cmd.Stdout = out
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("process %q: %w", p.Name, err)
	}
	p.cmd = cmd
	p.done = make(chan struct{})
	go p.wait(cmd, p.done)
	return nil
}

// command returns what starts the program. A shell sets the limit of descriptors and then becomes the program.
func (p *Process) command() *exec.Cmd {
	if p.Descriptors == 0 {
		return exec.Command(p.Path, p.Args...)
	}
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, p.Descriptors)
	return exec.Command("/bin/sh", append([]string{"-c", script, p.Path}, p.Args...)...)
}

func (p *Process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(done)
}

// LogFile returns the path of the process's log.
func (p *Process) LogFile() string { return filepath.Join(p.Dir, p.Name+".log") }

// Signal sends sig to the process.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return &NotRunningError{p.Name}
	}
	err := cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return &NotRunningError{p.Name}
	}
	return err
}

// Exited waits up to timeout for the process to end and reports whether it did.
func (p *Process) Exited(timeout time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-t.C:
		return false
	}
}

// PID returns the ID of the process, or 0 before it was started.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// ExitCode returns how the process ended, -1 by a signal or while it runs.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.ProcessState == nil {
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// Kill ends the process at once, as when its VM dies.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	p.Exited(killTimeout)
	return nil
}

const killTimeout = 10 * time.Second
