package integration

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// reapTimeout bounds the wait for a killed process.
const reapTimeout = 5 * time.Second

// process is one run of a program. Its standard output and error go to a file.
type process struct {
	name string
	log  string // file
	cmd  *exec.Cmd
	done chan struct{} // closed once the process has ended
	err  error         // of Wait; read after done
}

// startProcess starts a program and appends its output to the log of earlier runs.
func startProcess(dir, name, program string, args ...string) (*process, error) {
	p := &process{name: name, log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		defer close(p.done)
		p.err = p.cmd.Wait()
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// isRunning reports whether the process has not ended; a stopped one is running.
func (p *process) isRunning() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for it.
func (p *process) kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	_, err := p.exitCode(reapTimeout)
	return err
}

// exitCode waits for the end of the process. The code of a process that a signal ended is -1.
func (p *process) exitCode(limit time.Duration) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-time.After(limit):
		return 0, fmt.Errorf("process %s runs after %v", p.name, limit)
	}
}
