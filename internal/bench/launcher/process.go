package launcher

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"damaskpick.example/damaskpick/internal/control/modeler"
)

// Process is a node or stand-in that runs as an operating system process.
type Process struct {
	Name       string
	DataCentre modeler.DataCentreID
	// Address is the address for callers or clients.
	Address string
	// PeerAddress is the address for peers; it is set only for nodes.
	PeerAddress string
	// Arguments is the command line, starting with the path of the binary.
	Arguments []string
	// LogFile is the file to which the output of all starts is appended.
	LogFile string

	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	exitCode int
}

// URL returns the base URL of the process.
func (p *Process) URL() string { return "http://" + p.Address }

// Start starts the process. It may be called again after the process has exited.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(filepath.Clean(p.LogFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	command := exec.Command(p.Arguments[0], p.Arguments[1:]...) //nolint:gosec,noctx // the arguments are the layout's own
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return errors.Join(fmt.Errorf("start %s: %w", p.Name, err), logFile.Close())
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	go func() {
		_ = command.Wait()
		p.mu.Lock()
		p.exitCode = command.ProcessState.ExitCode()
		p.mu.Unlock()
		_ = logFile.Close()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process, unless it has exited or never started.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// Pid returns the process ID of the last start.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}

// Wait waits up to limit for the process to exit. It returns the exit code, or -1 if the process is still running, was killed by a signal
// or never started.
func (p *Process) Wait(limit time.Duration) int {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return -1
	}
	select {
	case <-exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.exitCode
	case <-time.After(limit):
		return -1
	}
}

// kill sends SIGKILL, after SIGCONT in case the process is stopped, and waits up to 1 s for the exit.
func (p *Process) kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.Wait(time.Second)
}
