// Package testbed starts wardspool's programs and the stand-ins as separate
// processes on loopback, and kills, freezes and stops them. It is test tooling for
// `make demo`, the end-to-end tests and measurements; the production programs do not
// use it.
package testbed

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// ProcessError reports that a process could not be started or signalled, or that it
// did not exit as expected.
type ProcessError struct {
	// Name is the process's name within the testbed.
	Name string
	// Op is "start", "signal" or "exit".
	Op  string
	Err error
	// Output is the end of the process's output.
	Output string
}

// Error implements error.
func (e *ProcessError) Error() string {
	return fmt.Sprintf("%s: %s: %v\n%s", e.Name, e.Op, e.Err, e.Output)
}

// Unwrap returns the cause.
func (e *ProcessError) Unwrap() error { return e.Err }

// Process is one running program.
type Process struct {
	// Name is unique in the testbed, for example "hall-a-entry-1".
	Name string
	// Address is the address of its main protocol, "IP:port".
	Address string

	cmd    *exec.Cmd
	output *tail
	done   chan struct{}

	mu     sync.Mutex
	err    error
	frozen bool
}

// start runs a program and keeps its output in memory and in a log file.
func start(name, address, logDir, program string, args ...string) (*Process, error) {
	return StartProcess(nil, name, address, logDir, program, args...)
}

// StartProcess runs a program like those of a fleet, with additional environment
// variables ("NAME=value"). Errors are *ProcessError.
func StartProcess(env []string, name, address, logDir, program string, args ...string) (*Process, error) {
	logFile, err := os.Create(filepath.Join(logDir, name+".log"))
	if err != nil {
		return nil, &ProcessError{Name: name, Op: "start", Err: err}
	}
	p := &Process{Name: name, Address: address, output: &tail{}, done: make(chan struct{})}
	p.cmd = exec.Command(program, args...)
	p.cmd.Env = append(os.Environ(), env...)
	out := &tee{file: logFile, tail: p.output}
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	// The process must not outlive a testbed that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		_ = logFile.Close()
		return nil, &ProcessError{Name: name, Op: "start", Err: err}
	}
	go p.wait(logFile)
	return p, nil
}

func (p *Process) wait(logFile *os.File) {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	_ = logFile.Close()
	close(p.done)
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Output returns the last lines of the process's output.
func (p *Process) Output() string { return p.output.String() }

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL to the process, if it is running, and waits for its exit.
func (p *Process) Kill() error {
	if !p.Running() {
		return nil
	}
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Freeze suspends the process (SIGSTOP) until Thaw.
func (p *Process) Freeze() error {
	p.mu.Lock()
	p.frozen = true
	p.mu.Unlock()
	return p.signal(syscall.SIGSTOP)
}

// Thaw resumes a frozen process (SIGCONT).
func (p *Process) Thaw() error {
	p.mu.Lock()
	p.frozen = false
	p.mu.Unlock()
	return p.signal(syscall.SIGCONT)
}

// Signal sends a signal that the program handles.
func (p *Process) Signal(s syscall.Signal) error { return p.signal(s) }

// Terminate asks the process to shut down (SIGTERM).
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// WaitExit waits for the process to exit and returns nil if its exit code was 0,
// otherwise a *ProcessError. A process that does not exit within the limit is
// killed, and the error is os.ErrDeadlineExceeded.
func (p *Process) WaitExit(limit time.Duration) error {
	select {
	case <-p.done:
	case <-time.After(limit):
		_ = p.Kill()
		return &ProcessError{Name: p.Name, Op: "exit", Err: os.ErrDeadlineExceeded, Output: p.Output()}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return &ProcessError{Name: p.Name, Op: "exit", Err: p.err, Output: p.Output()}
	}
	return nil
}

func (p *Process) signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return &ProcessError{Name: p.Name, Op: "signal", Err: err}
	}
	return nil
}

// tailBytes bounds how much of a process's output is kept in memory.
const tailBytes = 16 << 10

// tail keeps the last tailBytes written to it.
type tail struct {
	mu  sync.Mutex
	buf []byte
}

// Write implements io.Writer.
func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf = append(t.buf, b...)
	if extra := len(t.buf) - tailBytes; extra > 0 {
		t.buf = append(t.buf[:0], t.buf[extra:]...)
	}
	return len(b), nil
}

// String returns the kept output, starting at the first whole line.
func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buf
	if len(b) >= tailBytes {
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			b = b[i+1:]
		}
	}
	return string(b)
}

// tee duplicates writes to a log file and a tail.
type tee struct {
	file *os.File
	tail *tail
}

// Write implements io.Writer.
func (t *tee) Write(b []byte) (int, error) {
	_, _ = t.tail.Write(b)
	return t.file.Write(b)
}
